package platform

import (
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/standin/fault"
	"github.com/valyala/fasthttp"
)

// Limits of the stand-in's interface.
const (
	// MaxReadRecords bounds the records of one read.
	MaxReadRecords = 1000
	// MaxWait bounds how long a read waits for new records.
	MaxWait = 30 * time.Second
	// maxBody bounds a request's body, in bytes.
	maxBody = 32 << 20
)

// Options say how the platform behaves.
type Options struct {
	// Retention is the number of records that each stream keeps; 0 keeps all.
	Retention int
	// AppendsPerSecond bounds append calls; 0 means no limit.
	AppendsPerSecond int
	// ListDelay is how late the host list is.
	ListDelay time.Duration
	// Now is the platform's clock.
	Now func() time.Time
}

// Platform is the stand-in for all services of the platform.
type Platform struct {
	Log    *Log
	Hosts  *HostList
	Fleet  *Fleet
	Faults *fault.Table
	now    func() time.Time
}

// New returns a platform without hosts or records.
func New(o Options) *Platform {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Platform{
		Log:    NewLog(o.Retention, o.AppendsPerSecond),
		Hosts:  NewHostList(o.ListDelay),
		Fleet:  NewFleet(),
		Faults: &fault.Table{},
		now:    o.Now,
	}
}

// Serve answers requests on the listener until it is closed.
func (p *Platform) Serve(l net.Listener) error {
	s := &fasthttp.Server{
		Handler:               p.Handle,
		MaxRequestBodySize:    maxBody,
		NoDefaultServerHeader: true,
		Name:                  "platform",
	}
	return s.Serve(l)
}

// Handle answers one request. Faults of the target named by the first segment
// of the path apply to it.
func (p *Platform) Handle(ctx *fasthttp.RequestCtx) {
	segments := strings.Split(strings.Trim(string(ctx.Path()), "/"), "/")
	target := segments[0]
	if target == "faults" {
		p.handleFaults(ctx)
		return
	}
	if _, ok := p.Faults.Use(fault.Down, target); ok {
		drop(ctx)
		return
	}
	if f, ok := p.Faults.Use(fault.Slow, target); ok {
		time.Sleep(f.Delay)
	}
	p.route(ctx, target, segments[1:])
	if string(ctx.Method()) == fasthttp.MethodGet {
		return
	}
	if _, ok := p.Faults.Use(fault.AnswerLost, target); ok {
		drop(ctx)
	}
}

func (p *Platform) route(ctx *fasthttp.RequestCtx, target string, rest []string) {
	switch target {
	case "log":
		p.handleLog(ctx, rest)
	case "hosts":
		p.handleHosts(ctx, target)
	case "workers":
		p.handleWorkers(ctx, rest)
	case "pools":
		p.handlePools(ctx, rest)
	default:
		refuse(ctx, fasthttp.StatusNotFound, "no such service")
	}
}

// handleHosts tells the host list, or lists a host that the body describes.
func (p *Platform) handleHosts(ctx *fasthttp.RequestCtx, target string) {
	if string(ctx.Method()) == fasthttp.MethodPost {
		p.listHost(ctx)
		return
	}
	_, frozen := p.Faults.Use(fault.StaleList, target)
	known, _ := strconv.ParseInt(string(ctx.QueryArgs().Peek("Known")), 10, 64)
	answer(ctx, fasthttp.StatusOK, p.Hosts.Update(p.now(), frozen, known))
}

func (p *Platform) listHost(ctx *fasthttp.RequestCtx) {
	var h inventory.ListedHost
	if err := json.Unmarshal(ctx.PostBody(), &h); err != nil || h.ID == "" || h.Role == "" || h.State == "" {
		refuse(ctx, fasthttp.StatusBadRequest, "want {\"ID\":...,\"Role\":...,\"State\":...}")
		return
	}
	p.Hosts.Put(p.now(), h)
	answer(ctx, fasthttp.StatusOK, h)
}

// appendRequest is the body of an append.
type appendRequest struct {
	Records []json.RawMessage
}

// appendAnswer is the answer to an append.
type appendAnswer struct {
	First int64
}

func (p *Platform) handleLog(ctx *fasthttp.RequestCtx, rest []string) {
	if len(rest) != 3 || rest[0] != "streams" || rest[2] != "records" {
		refuse(ctx, fasthttp.StatusNotFound, "want /log/streams/{Stream}/records")
		return
	}
	if string(ctx.Method()) == fasthttp.MethodPost {
		p.appendRecords(ctx, rest[1])
		return
	}
	p.readRecords(ctx, rest[1])
}

func (p *Platform) appendRecords(ctx *fasthttp.RequestCtx, stream string) {
	var r appendRequest
	if err := json.Unmarshal(ctx.PostBody(), &r); err != nil || len(r.Records) == 0 {
		refuse(ctx, fasthttp.StatusBadRequest, "want {\"Records\":[...]}")
		return
	}
	first, ok := p.Log.Append(p.now(), stream, r.Records)
	if !ok {
		refuse(ctx, fasthttp.StatusTooManyRequests, "too many appends in this second")
		return
	}
	answer(ctx, fasthttp.StatusOK, appendAnswer{First: first})
}

func (p *Platform) readRecords(ctx *fasthttp.RequestCtx, stream string) {
	from, err := strconv.ParseInt(string(ctx.QueryArgs().Peek("From")), 10, 64)
	if err != nil || from < 0 {
		refuse(ctx, fasthttp.StatusBadRequest, "From is not an offset")
		return
	}
	limit := min(max(ctx.QueryArgs().GetUintOrZero("Max"), 1), MaxReadRecords)
	wait := min(time.Duration(ctx.QueryArgs().GetUintOrZero("WaitMilliseconds"))*time.Millisecond, MaxWait)
	b, grown := p.Log.Read(stream, from, limit)
	if len(b.Records) == 0 && wait > 0 && from >= b.Oldest {
		t := time.NewTimer(wait)
		defer t.Stop()
		select {
		case <-grown:
		case <-t.C:
		}
		b, _ = p.Log.Read(stream, from, limit)
	}
	if from < b.Oldest {
		answer(ctx, fasthttp.StatusGone, b)
		return
	}
	answer(ctx, fasthttp.StatusOK, b)
}

func (p *Platform) handleFaults(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Method()) {
	case fasthttp.MethodPost:
		var f fault.Fault
		if err := json.Unmarshal(ctx.PostBody(), &f); err != nil || f.Kind == "" {
			refuse(ctx, fasthttp.StatusBadRequest, "want {\"Kind\":...,\"Target\":...,\"Count\":...,\"Delay\":...}")
			return
		}
		p.Faults.Set(f)
	case fasthttp.MethodDelete:
		p.Faults.Clear()
	}
	answer(ctx, fasthttp.StatusOK, p.Faults.List())
}

// drop closes the connection without an answer.
func drop(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}

func answer(ctx *fasthttp.RequestCtx, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		refuse(ctx, fasthttp.StatusInternalServerError, err.Error())
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

// refusal is the body of an answer that says what was wrong.
type refusal struct {
	Error string
}

func refuse(ctx *fasthttp.RequestCtx, status int, why string) {
	answer(ctx, status, refusal{Error: why})
}
