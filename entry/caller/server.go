// Package caller serves callers: it forwards each request to a backend server and reports
// the outcome, including that it is unknown.
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

// maxRefusedBody bounds the body, in bytes, of a request whose service is unknown.
const maxRefusedBody = 4 << 10

// Claimer claims the idempotency keys of requests that must run at most once.
type Claimer interface {
	// Claim returns ClaimGranted to at most one claimant of the key, also while entry
	// hosts start and stop and data centres are partitioned.
	Claim(ctx context.Context, s inventory.ServiceID, k claim.Digest) claimer.Grant
	// Release releases a granted claim under which nothing was sent.
	Release(s inventory.ServiceID, k claim.Digest, g claimer.Grant)
}

// Config has the dependencies of a Server.
type Config struct {
	Log        logrus.FieldLogger
	Metrics    *metric.Registry
	State      *view.Value[follower.State]
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
	cache  *answerCache
	lastID atomic.Uint64
	// inFlight counts requests that are not answered yet.
	inFlight atomic.Int64
}

// NewServer returns a server without connections.
func NewServer(cfg Config) *Server {
	return &Server{cfg: cfg, meters: meters{registry: cfg.Metrics}, cache: newAnswerCache()}
}

// Serve answers on the listener until it is closed.
func (s *Server) Serve(l net.Listener) error {
	return s.HTTP().Serve(l)
}

// HTTP returns the HTTP server. The listener sets the limits per client.
func (s *Server) HTTP() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                      s.Handle,
		HeaderReceived:               s.bodyLimit,
		MaxRequestBodySize:           maxRefusedBody,
		NoDefaultServerHeader:        true,
		NoDefaultContentType:         true,
		DisablePreParseMultipartForm: true,
		CloseOnShutdown:              true,
	}
}

// bodyLimit returns the maximum body size for the service of a request. The tenant is not
// known yet.
func (s *Server) bodyLimit(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	name, _, _ := splitPath(h.RequestURI())
	spec, ok := s.cfg.State.Latest().Configuration.Services[name]
	if !ok {
		return fasthttp.RequestConfig{MaxRequestBodySize: maxRefusedBody}
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
		writeFailure(ctx, e)
	}
	if reason == ReasonMessage || s.cfg.Stopping() {
		ctx.SetConnectionClose()
	}
	s.meters.record(meterKey{t.tenant, t.service, t.class}, e, time.Since(now))
}

// serve answers a request from the answer cache or by a backend server.
func (s *Server) serve(ctx *fasthttp.RequestCtx, t target, now time.Time) dispatch.Completion {
	var fingerprint uint64
	if t.keyed {
		fingerprint = requestFingerprint(&ctx.Request)
		if cached, ok := s.cache.get(t.key); ok {
			return replay(ctx, cached, fingerprint)
		}
	}
	f := &forwarder{
		server: s, target: t, id: admission.RequestID(s.lastID.Add(1)), reply: make(chan dispatch.Action, 1),
		request: newBackendRequest(&ctx.Request, t), answer: &ctx.Response,
	}
	defer fasthttp.ReleaseRequest(f.request)
	e := f.run(now)
	if e.Outcome == retry.Answered {
		prepareAnswer(&ctx.Response)
		if t.keyed {
			s.cache.put(t.key, fingerprint, &ctx.Response)
		}
	}
	return e
}

// replay answers with the cached answer for the key. A different request with the same
// key is refused.
func replay(ctx *fasthttp.RequestCtx, cached *cachedAnswer, fingerprint uint64) dispatch.Completion {
	if cached.fingerprint != fingerprint {
		return dispatch.Completion{Outcome: retry.NotRun, Reason: ReasonKeyOther}
	}
	cached.answer.CopyTo(&ctx.Response)
	ctx.Response.Header.Set(HeaderKept, "true")
	return dispatch.Completion{Outcome: retry.Answered}
}
