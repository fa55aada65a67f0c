// Package caller serves callers: it takes their requests, passes each to a
// backend server, and tells truthfully what became of it.
package caller

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/entry/backend"
	"github.com/godwitcross/godwitcross/entry/follower"
	"github.com/godwitcross/godwitcross/entry/metric"
	"github.com/godwitcross/godwitcross/entry/view"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/retry"
	"github.com/godwitcross/godwitcross/fleet/routing"
)

// Headers of the callers' interface.
const (
	// HeaderTenant names the caller's tenant.
	HeaderTenant = "Tenant"
	// HeaderOutcome tells what became of the request.
	HeaderOutcome = "Request-Outcome"
	// HeaderReason tells in one word why a request was refused.
	HeaderReason = "Refusal-Reason"
	// HeaderNotRun is set by a backend server that refused without any effect.
	HeaderNotRun = "Not-Run"
)

// Reason is why a request was not answered by a backend server.
type Reason string

// The reasons of refusals.
const (
	ReasonPath     Reason = "UnknownPath"
	ReasonService  Reason = "UnknownService"
	ReasonTenant   Reason = "UnknownTenant"
	ReasonNotReady Reason = "NotReady"
	ReasonNoServer Reason = "NoServer"
	ReasonNoAnswer Reason = "NoAnswer"
)

// pathPrefix is the first part of every caller's path.
const pathPrefix = "/services/"

// maxTries bounds how often one request is sent.
const maxTries = 3

// Config is what a server is built from.
type Config struct {
	Log        logrus.FieldLogger
	Metrics    *metric.Registry
	DataCentre inventory.DataCentreID
	State      *view.Box[follower.State]
	Hosts      *view.Box[inventory.HostList]
	Pool       *backend.Pool
	// Stopping reports whether a planned stop has begun.
	Stopping func() bool
}

// Server answers callers.
type Server struct {
	cfg Config
	mu  sync.Mutex
	// tables has one entry for each service; guarded by mu.
	tables map[inventory.ServiceID]*routing.Table
	// listAt is the moment of the host list that tables follow.
	listAt time.Time
	// inFlight counts requests that are not answered yet.
	inFlight atomic.Int64
}

// NewServer returns a server without connections.
func NewServer(cfg Config) *Server {
	return &Server{cfg: cfg, tables: make(map[inventory.ServiceID]*routing.Table)}
}

// Serve answers on the listener until it is closed.
func (s *Server) Serve(l net.Listener) error {
	return s.HTTP().Serve(l)
}

// HTTP returns the library's server with the limits of the interface.
func (s *Server) HTTP() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               s.Handle,
		MaxRequestBodySize:    int(configuration.MaxBody),
		NoDefaultServerHeader: true,
		ReadTimeout:           30 * time.Second,
		WriteTimeout:          30 * time.Second,
		IdleTimeout:           60 * time.Second,
		CloseOnShutdown:       true,
	}
}

// InFlight returns how many requests are not answered yet.
func (s *Server) InFlight() int {
	return int(s.inFlight.Load())
}

// target is what a request asks for.
type target struct {
	tenant  inventory.TenantID
	service inventory.ServiceID
	class   inventory.ClassID
	spec    configuration.Service
	path    string
}

// Handle answers one request.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if s.cfg.Stopping() {
		defer ctx.SetConnectionClose()
	}
	now := time.Now()
	t, reason, err := s.resolve(ctx)
	if err != nil {
		s.finish(ctx, t, now, retry.NotRun, reason)
		return
	}
	deadline := now.Add(t.spec.Classes[t.class].Deadline.Std())
	outcome, reason := s.forward(ctx, t, deadline)
	s.finish(ctx, t, now, outcome, reason)
}

// errRefused marks a request that goes to no server.
var errRefused = eris.New("refused")

func (s *Server) resolve(ctx *fasthttp.RequestCtx) (target, Reason, error) {
	cfg := s.cfg.State.Latest().Configuration
	rest, ok := strings.CutPrefix(string(ctx.Path()), pathPrefix)
	if !ok {
		return target{}, ReasonPath, errRefused
	}
	name, path, _ := strings.Cut(rest, "/")
	t := target{tenant: inventory.TenantID(ctx.Request.Header.Peek(HeaderTenant)), service: inventory.ServiceID(name), path: "/" + path}
	tenant, ok := cfg.Tenants[t.tenant]
	if !ok {
		return target{service: t.service}, ReasonTenant, errRefused
	}
	class, ok := tenant.Services[t.service]
	if !ok {
		return target{tenant: t.tenant}, ReasonService, errRefused
	}
	t.spec = cfg.Services[t.service]
	t.class = class
	if class == "" {
		t.class = t.spec.DefaultClass
	}
	return t, "", nil
}

// forward sends the request until it is answered, may not be sent again, or
// has run out of tries.
func (s *Server) forward(ctx *fasthttp.RequestCtx, t target, deadline time.Time) (retry.Outcome, Reason) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	ctx.Request.CopyTo(req)
	req.Header.Del(fasthttp.HeaderConnection)
	req.SetRequestURI(t.path)
	req.URI().SetQueryStringBytes(ctx.URI().QueryString())
	req.Header.SetRequestURIBytes(req.URI().RequestURI())
	idempotent := retry.IsIdempotent(t.spec, string(ctx.Method()))
	outcome, reason := retry.NotRun, ReasonNoServer
	avoid := make(map[inventory.InstanceID]bool)
	for range maxTries {
		i, err := s.choose(t, avoid)
		if err != nil {
			return outcome, reason
		}
		avoid[i.ID] = true
		err = s.send(ctx, req, i, t, idempotent, deadline)
		switch {
		case err == nil && len(ctx.Response.Header.Peek(HeaderNotRun)) == 0:
			return retry.Answered, ""
		case err == nil, errors.Is(err, backend.ErrNotSent):
			ctx.Response.Reset()
		case idempotent:
			outcome, reason = retry.Unknown, ReasonNoAnswer
		default:
			return retry.Unknown, ReasonNoAnswer
		}
	}
	return outcome, reason
}

func (s *Server) send(ctx *fasthttp.RequestCtx, req *fasthttp.Request, i routing.Instance, t target, idempotent bool, deadline time.Time) error {
	defer s.done(t.service, i.ID)
	req.SetHost(i.Address)
	return s.cfg.Pool.Do(context.Background(), backend.Request{
		Address:  i.Address,
		Message:  req,
		Answer:   &ctx.Response,
		MaxBody:  int(t.spec.MaxBody),
		Deadline: deadline,
		Fresh:    !idempotent,
	}, time.Now())
}

func (s *Server) choose(t target, avoid map[inventory.InstanceID]bool) (routing.Instance, error) {
	list := s.cfg.Hosts.Latest()
	s.mu.Lock()
	defer s.mu.Unlock()
	if list.At.After(s.listAt) {
		s.update(list)
	}
	table, ok := s.tables[t.service]
	if !ok {
		return routing.Instance{}, routing.ErrNoServer
	}
	return table.Choose(s.cfg.DataCentre, t.spec.Slots, avoid)
}

func (s *Server) update(list inventory.HostList) {
	byService := make(map[inventory.ServiceID][]routing.Instance)
	for _, h := range list.Hosts {
		if h.Role != inventory.RoleBackend {
			continue
		}
		byService[h.Service] = append(byService[h.Service], routing.Instance{
			ID: inventory.InstanceID(h.ID), Service: h.Service, DataCentre: h.DataCentre,
			Address: h.Address, Leaving: h.State == inventory.HostLeaving,
		})
	}
	for id := range s.tables {
		if _, ok := byService[id]; !ok {
			byService[id] = nil
		}
	}
	for id, instances := range byService {
		if s.tables[id] == nil {
			s.tables[id] = routing.NewTable()
		}
		s.tables[id].Update(instances)
	}
	s.listAt = list.At
}

func (s *Server) done(service inventory.ServiceID, id inventory.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tables[service].Done(id)
}

// finish writes the answer of a request that no server answered, and counts
// every request.
func (s *Server) finish(ctx *fasthttp.RequestCtx, t target, began time.Time, outcome retry.Outcome, reason Reason) {
	labels := []metric.Label{{Name: "service", Value: string(t.service)}, {Name: "tenant", Value: string(t.tenant)}, {Name: "class", Value: string(t.class)}}
	s.cfg.Metrics.Observe("request_microseconds", time.Since(began), labels...)
	s.cfg.Metrics.Count("requests", 1, append(labels, metric.Label{Name: "outcome", Value: string(outcome)}, metric.Label{Name: "reason", Value: string(reason)})...)
	if outcome != retry.Answered {
		refuse(ctx, outcome, reason)
	}
	ctx.Response.Header.Set(HeaderOutcome, string(outcome))
}

func refuse(ctx *fasthttp.RequestCtx, outcome retry.Outcome, reason Reason) {
	ctx.Response.Reset()
	switch {
	case outcome == retry.Unknown:
		ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
	case reason == ReasonTenant:
		ctx.SetStatusCode(fasthttp.StatusUnauthorized)
	case reason == ReasonPath || reason == ReasonService:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	default:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, "1")
	}
	ctx.Response.Header.Set(HeaderReason, string(reason))
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBodyString(string(outcome) + ": " + string(reason) + "\n")
}
