// Package operator serves operators, health checks and scrapers.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/entry/follower"
	"github.com/godwitcross/godwitcross/entry/metric"
	"github.com/godwitcross/godwitcross/entry/platform"
	"github.com/godwitcross/godwitcross/entry/view"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/operation"
)

// publishTimeout bounds how long a publication waits for its verdict.
const publishTimeout = 10 * time.Second

// Route is one path of the operators' interface.
type Route struct {
	Method string
	Path   string
	Handle fasthttp.RequestHandler
}

// RecordAppender adds a record to a stream of the log.
type RecordAppender interface {
	Append(ctx context.Context, stream journal.StreamID, r journal.Record) error
}

// Config is what a server is built from.
type Config struct {
	Log     logrus.FieldLogger
	Name    inventory.EntryID
	Metrics *metric.Registry
	State   *view.Box[follower.State]
	Records RecordAppender
	// Ready returns why the host is not ready, or an empty text.
	Ready func() string
	// Routes are those of other tasks.
	Routes []Route
}

// Server answers operators.
type Server struct {
	cfg    Config
	routes map[string]fasthttp.RequestHandler
}

// NewServer returns a server with all routes.
func NewServer(cfg Config) *Server {
	s := &Server{cfg: cfg, routes: make(map[string]fasthttp.RequestHandler)}
	own := []Route{
		{fasthttp.MethodGet, "/health", s.health},
		{fasthttp.MethodGet, "/ready", s.ready},
		{fasthttp.MethodGet, "/metrics", s.metricsText},
		{fasthttp.MethodGet, "/metrics.json", s.metricsJSON},
		{fasthttp.MethodGet, "/status", s.status},
		{fasthttp.MethodGet, "/configuration", s.configuration},
		{fasthttp.MethodGet, "/duties", s.duties},
		{fasthttp.MethodGet, "/explain/record", s.explainRecord},
		{fasthttp.MethodPost, "/changes", s.publish},
		{fasthttp.MethodGet, "/proposals", s.proposals},
		{fasthttp.MethodPost, "/proposals", s.propose},
	}
	for _, r := range append(own, cfg.Routes...) {
		s.routes[r.Method+" "+r.Path] = r.Handle
	}
	return s
}

// HTTP returns the library's server with the limits of the interface.
func (s *Server) HTTP() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               s.Handle,
		MaxRequestBodySize:    configuration.MaxChangeBytes,
		NoDefaultServerHeader: true,
		ReadTimeout:           30 * time.Second,
		IdleTimeout:           60 * time.Second,
		CloseOnShutdown:       true,
	}
}

// Serve answers on the listener until it is closed.
func (s *Server) Serve(l net.Listener) error {
	return s.HTTP().Serve(l)
}

// Handle answers one request.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	h, ok := s.routes[string(ctx.Method())+" "+string(ctx.Path())]
	if !ok {
		Refuse(ctx, fasthttp.StatusNotFound, "no such path")
		return
	}
	h(ctx)
}

func (s *Server) health(ctx *fasthttp.RequestCtx) {
	Answer(ctx, fasthttp.StatusOK, "alive")
}

func (s *Server) ready(ctx *fasthttp.RequestCtx) {
	if why := s.cfg.Ready(); why != "" {
		Refuse(ctx, fasthttp.StatusServiceUnavailable, why)
		return
	}
	Answer(ctx, fasthttp.StatusOK, "ready")
}

func (s *Server) metricsText(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain; version=0.0.4; charset=utf-8")
	if err := s.cfg.Metrics.WriteText(ctx); err != nil {
		s.cfg.Log.WithError(err).Warn("writing metrics failed")
	}
}

func (s *Server) metricsJSON(ctx *fasthttp.RequestCtx) {
	Answer(ctx, fasthttp.StatusOK, s.cfg.Metrics.Points())
}

func (s *Server) status(ctx *fasthttp.RequestCtx) {
	st := s.cfg.State.Latest()
	Answer(ctx, fasthttp.StatusOK, operation.Status{
		Name: s.cfg.Name, NotReady: s.cfg.Ready(), Version: st.Configuration.Version,
		Next: st.Next, End: st.End, Digest: st.Digest, Counts: st.Counts,
	})
}

// duties lists who holds the duties of the global stream, in order.
func (s *Server) duties(ctx *fasthttp.RequestCtx) {
	held := s.cfg.State.Latest().Holdings
	out := []operation.Duty{}
	for _, d := range slices.Sorted(maps.Keys(held)) {
		out = append(out, operation.Duty{Duty: d, Holding: held[d]})
	}
	Answer(ctx, fasthttp.StatusOK, out)
}

// explainRecord answers with the verdict on the record named by the query ID.
func (s *Server) explainRecord(ctx *fasthttp.RequestCtx) {
	id := journal.RecordID(ctx.QueryArgs().Peek("ID"))
	v, ok := s.cfg.State.Latest().ResultOf(id)
	if !ok {
		Refuse(ctx, fasthttp.StatusNotFound, fmt.Sprintf("record %q is not among the last %d of the global stream", id, journal.RecentSize))
		return
	}
	Answer(ctx, fasthttp.StatusOK, v)
}

func (s *Server) configuration(ctx *fasthttp.RequestCtx) {
	Answer(ctx, fasthttp.StatusOK, s.cfg.State.Latest().Configuration)
}

func refuseAppend(ctx *fasthttp.RequestCtx, err error) {
	if errors.Is(err, platform.ErrUncertain) {
		Refuse(ctx, fasthttp.StatusGatewayTimeout, err.Error())
		return
	}
	Refuse(ctx, fasthttp.StatusServiceUnavailable, err.Error())
}

// answerVerdict waits until this host has folded the record.
func (s *Server) answerVerdict(c context.Context, ctx *fasthttp.RequestCtx, id journal.RecordID) {
	for {
		st, changed := s.cfg.State.Watch()
		if v, ok := st.ResultOf(id); ok {
			status := fasthttp.StatusOK
			if v.Outcome != journal.Accepted {
				status = fasthttp.StatusConflict
			}
			Answer(ctx, status, v)
			return
		}
		select {
		case <-changed:
		case <-c.Done():
			Refuse(ctx, fasthttp.StatusGatewayTimeout, "the record was appended but not read back yet")
			return
		}
	}
}

// Answer writes a value as JSON.
func Answer(ctx *fasthttp.RequestCtx, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		Refuse(ctx, fasthttp.StatusInternalServerError, err.Error())
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(b, '\n'))
}

// Refuse writes a refusal.
func Refuse(ctx *fasthttp.RequestCtx, status int, why string) {
	Answer(ctx, status, operation.ErrorResponse{Error: why})
}
