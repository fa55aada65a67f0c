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

// resultTimeout bounds how long a publication waits for its result.
const resultTimeout = 10 * time.Second

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

// Config configures a server.
type Config struct {
	Log     logrus.FieldLogger
	Name    inventory.EntryID
	Metrics *metric.Registry
	State   *view.Value[follower.State]
	Records RecordAppender
	// Ready returns the reason why the host is not ready, or an empty string.
	Ready func() string
	// Routes are additional routes of other tasks.
	Routes []Route
}

// Server serves the operators' HTTP interface.
type Server struct {
	cfg    Config
	routes map[string]fasthttp.RequestHandler
}

// NewServer returns a server with its own routes and those of the configuration.
func NewServer(cfg Config) *Server {
	s := &Server{cfg: cfg, routes: make(map[string]fasthttp.RequestHandler)}
	ownRoutes := []Route{
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
	for _, r := range append(ownRoutes, cfg.Routes...) {
		s.routes[r.Method+" "+r.Path] = r.Handle
	}
	return s
}

// HTTP returns a fasthttp server with the limits of the interface.
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

// Serve accepts connections on the listener until it is closed.
func (s *Server) Serve(l net.Listener) error {
	return s.HTTP().Serve(l)
}

// Handle responds to one request.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	h, ok := s.routes[string(ctx.Method())+" "+string(ctx.Path())]
	if !ok {
		WriteError(ctx, fasthttp.StatusNotFound, "no such path")
		return
	}
	h(ctx)
}

func (s *Server) health(ctx *fasthttp.RequestCtx) {
	WriteJSON(ctx, fasthttp.StatusOK, "alive")
}

func (s *Server) ready(ctx *fasthttp.RequestCtx) {
	if why := s.cfg.Ready(); why != "" {
		WriteError(ctx, fasthttp.StatusServiceUnavailable, why)
		return
	}
	WriteJSON(ctx, fasthttp.StatusOK, "ready")
}

func (s *Server) metricsText(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain; version=0.0.4; charset=utf-8")
	if err := s.cfg.Metrics.WriteText(ctx); err != nil {
		s.cfg.Log.WithError(err).Warn("writing metrics failed")
	}
}

func (s *Server) metricsJSON(ctx *fasthttp.RequestCtx) {
	WriteJSON(ctx, fasthttp.StatusOK, s.cfg.Metrics.Points())
}

func (s *Server) status(ctx *fasthttp.RequestCtx) {
	state := s.cfg.State.Latest()
	WriteJSON(ctx, fasthttp.StatusOK, operation.Status{
		Name: s.cfg.Name, NotReady: s.cfg.Ready(), Version: state.Configuration.Version,
		Next: state.Next, End: state.End, Digest: state.Digest, Counts: state.Counts,
	})
}

// duties responds with the holders of the duties of the global stream, sorted by
// duty.
func (s *Server) duties(ctx *fasthttp.RequestCtx) {
	holdings := s.cfg.State.Latest().Holdings
	out := []operation.Duty{}
	for _, d := range slices.Sorted(maps.Keys(holdings)) {
		out = append(out, operation.Duty{Duty: d, Holding: holdings[d]})
	}
	WriteJSON(ctx, fasthttp.StatusOK, out)
}

// explainRecord responds with the result of the record whose ID is in the query.
func (s *Server) explainRecord(ctx *fasthttp.RequestCtx) {
	id := journal.RecordID(ctx.QueryArgs().Peek("ID"))
	v, ok := s.cfg.State.Latest().ResultOf(id)
	if !ok {
		WriteError(ctx, fasthttp.StatusNotFound, fmt.Sprintf("record %q is not among the last %d of the global stream", id, journal.RecentSize))
		return
	}
	WriteJSON(ctx, fasthttp.StatusOK, v)
}

func (s *Server) configuration(ctx *fasthttp.RequestCtx) {
	WriteJSON(ctx, fasthttp.StatusOK, s.cfg.State.Latest().Configuration)
}

func respondAppendFailed(ctx *fasthttp.RequestCtx, err error) {
	if errors.Is(err, platform.ErrUncertain) {
		WriteError(ctx, fasthttp.StatusGatewayTimeout, err.Error())
		return
	}
	WriteError(ctx, fasthttp.StatusServiceUnavailable, err.Error())
}

// respondWithResult waits until this host has applied the record and responds with
// the result.
func (s *Server) respondWithResult(c context.Context, ctx *fasthttp.RequestCtx, id journal.RecordID) {
	for {
		st, changed := s.cfg.State.Watch()
		if v, ok := st.ResultOf(id); ok {
			status := fasthttp.StatusOK
			if v.Outcome != journal.Accepted {
				status = fasthttp.StatusConflict
			}
			WriteJSON(ctx, status, v)
			return
		}
		select {
		case <-changed:
		case <-c.Done():
			WriteError(ctx, fasthttp.StatusGatewayTimeout, "the record was appended but not read back yet")
			return
		}
	}
}

// WriteJSON responds with a value as JSON.
func WriteJSON(ctx *fasthttp.RequestCtx, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		WriteError(ctx, fasthttp.StatusInternalServerError, err.Error())
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(b, '\n'))
}

// WriteError responds with an error message as JSON.
func WriteError(ctx *fasthttp.RequestCtx, status int, why string) {
	WriteJSON(ctx, status, operation.ErrorResponse{Error: why})
}
