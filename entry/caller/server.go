// Package caller serves callers: it takes their requests, passes each to a
// backend server, and tells truthfully what became of it.
package caller

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/entry/backend"
	"github.com/godwitcross/godwitcross/entry/claimer"
	"github.com/godwitcross/godwitcross/entry/follower"
	"github.com/godwitcross/godwitcross/entry/metric"
	"github.com/godwitcross/godwitcross/entry/view"
	"github.com/godwitcross/godwitcross/fleet/admission"
	"github.com/godwitcross/godwitcross/fleet/claim"
	"github.com/godwitcross/godwitcross/fleet/dispatch"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/retry"
)

// refusedBodyBytes is read of the body of a request that will be refused.
const refusedBodyBytes = 4 << 10

// Claimer claims keys of requests that must run at most once.
type Claimer interface {
	// Claim returns ClaimGranted to one claimant of the key at most, whatever
	// entry hosts come and go and whichever data centres are cut off.
	Claim(ctx context.Context, s inventory.ServiceID, k claim.Digest) claimer.Grant
	// Release gives a granted claim back; nothing was sent under it.
	Release(s inventory.ServiceID, k claim.Digest, g claimer.Grant)
}

// Config is what a server is built from.
type Config struct {
	Log        logrus.FieldLogger
	Metrics    *metric.Registry
	State      *view.Box[follower.State]
	Pool       *backend.Pool
	Dispatcher *Dispatcher
	Claims     Claimer
	// Stopping reports whether a planned stop has begun.
	Stopping func() bool
}

// Server answers callers.
type Server struct {
	cfg    Config
	meters meters
	kept   *keptAnswers
	next   atomic.Uint64
	// inFlight counts requests that are not answered yet.
	inFlight atomic.Int64
}

// NewServer returns a server without connections.
func NewServer(cfg Config) *Server {
	return &Server{cfg: cfg, meters: meters{registry: cfg.Metrics}, kept: newKeptAnswers()}
}

// Serve answers on the listener until it is closed.
func (s *Server) Serve(l net.Listener) error {
	return s.HTTP().Serve(l)
}

// HTTP returns the library's server. Limits on what clients can take from it are
// set by the listener.
func (s *Server) HTTP() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                      s.Handle,
		HeaderReceived:               s.limits,
		MaxRequestBodySize:           refusedBodyBytes,
		NoDefaultServerHeader:        true,
		NoDefaultContentType:         true,
		DisablePreParseMultipartForm: true,
		CloseOnShutdown:              true,
	}
}

// limits returns how much of a request's body is read. It comes before the
// tenant is known.
func (s *Server) limits(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	name, _, _ := splitPath(h.RequestURI())
	spec, ok := s.cfg.State.Latest().Configuration.Services[name]
	if !ok {
		return fasthttp.RequestConfig{MaxRequestBodySize: refusedBodyBytes}
	}
	return fasthttp.RequestConfig{MaxRequestBodySize: int(spec.MaxBody)}
}

// InFlight returns how many requests are not answered yet.
func (s *Server) InFlight() int {
	return int(s.inFlight.Load())
}

// Handle answers one request.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	now := time.Now()
	t, reason := s.resolve(ctx, now)
	e := dispatch.Completion{Outcome: retry.NotRun, Reason: reason}
	if reason == "" {
		e = s.serve(ctx, t, now)
	}
	if e.Outcome != retry.Answered {
		writeEnd(ctx, e)
	}
	if reason == ReasonMessage || s.cfg.Stopping() {
		ctx.SetConnectionClose()
	}
	s.meters.count(kind{t.tenant, t.service, t.class}, e, time.Since(now))
}

// serve answers a request from the kept answers or by a backend server.
func (s *Server) serve(ctx *fasthttp.RequestCtx, t target, now time.Time) dispatch.Completion {
	var request uint64
	if t.keyed {
		request = fingerprint(&ctx.Request)
		if kept, ok := s.kept.get(t.key); ok {
			return repeat(ctx, kept, request)
		}
	}
	f := &forward{
		s: s, t: t, id: admission.RequestID(s.next.Add(1)), reply: make(chan dispatch.Action, 1),
		message: newMessage(&ctx.Request, t), answer: &ctx.Response,
	}
	defer fasthttp.ReleaseRequest(f.message)
	e := f.run(now)
	if e.Outcome == retry.Answered {
		cleanAnswer(&ctx.Response)
		if t.keyed {
			s.kept.put(t.key, request, &ctx.Response)
		}
	}
	return e
}

// repeat gives the answer that was kept for the key.
func repeat(ctx *fasthttp.RequestCtx, kept *keptAnswer, request uint64) dispatch.Completion {
	if kept.request != request {
		return dispatch.Completion{Outcome: retry.NotRun, Reason: ReasonKeyOther}
	}
	kept.answer.CopyTo(&ctx.Response)
	ctx.Response.Header.Set(HeaderKept, "true")
	return dispatch.Completion{Outcome: retry.Answered}
}
