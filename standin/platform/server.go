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

// Limits of requests.
const (
	// MaxReadRecords is the maximum number of records of one read.
	MaxReadRecords = 1000
	// MaxWait is the maximum time that a read waits for new records.
	MaxWait = 30 * time.Second
	// maxBodySize is the maximum size of a request's body, in bytes.
	maxBodySize = 32 << 20
)

// Options configure a platform.
type Options struct {
	// Retention is the number of records that each stream keeps; 0 keeps all.
	Retention int
	// AppendsPerSecond is the maximum number of append calls in one second; 0 means no
	// limit.
	AppendsPerSecond int
	// ListDelay is the delay after which changes of the host list become visible.
	ListDelay time.Duration
	// Now is the platform's clock; nil means time.Now.
	Now func() time.Time
}

// Platform simulates all services of the platform.
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
		MaxRequestBodySize:    maxBodySize,
		NoDefaultServerHeader: true,
		Name:                  "platform",
	}
	return s.Serve(l)
}

// Handle answers one request. The first segment of the path is the target whose faults apply
// to the request. The fault AnswerLost doesn't apply to reads.
func (p *Platform) Handle(ctx *fasthttp.RequestCtx) {
	segments := strings.Split(strings.Trim(string(ctx.Path()), "/"), "/")
	target := segments[0]
	if target == "faults" {
		p.handleFaults(ctx)
		return
	}
	if _, ok := p.Faults.Use(fault.Down, target); ok {
		closeConnection(ctx)
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
		closeConnection(ctx)
	}
}

// route calls the handler of the target with the remaining segments of the path.
func (p *Platform) route(ctx *fasthttp.RequestCtx, target string, segments []string) {
	switch target {
	case "log":
		p.handleLog(ctx, segments)
	case "hosts":
		p.handleHosts(ctx, target)
	case "workers":
		p.handleWorkers(ctx, segments)
	case "pools":
		p.handlePools(ctx, segments)
	default:
		writeError(ctx, fasthttp.StatusNotFound, "no such service")
	}
}

// handleHosts answers with the host list, or adds the host in the body to it.
func (p *Platform) handleHosts(ctx *fasthttp.RequestCtx, target string) {
	if string(ctx.Method()) == fasthttp.MethodPost {
		p.listHost(ctx)
		return
	}
	_, frozen := p.Faults.Use(fault.StaleList, target)
	known, _ := strconv.ParseInt(string(ctx.QueryArgs().Peek("Known")), 10, 64)
	writeJSON(ctx, fasthttp.StatusOK, p.Hosts.Update(p.now(), frozen, known))
}

func (p *Platform) listHost(ctx *fasthttp.RequestCtx) {
	var h inventory.ListedHost
	if err := json.Unmarshal(ctx.PostBody(), &h); err != nil || h.ID == "" || h.Role == "" || h.State == "" {
		writeError(ctx, fasthttp.StatusBadRequest, "want {\"ID\":...,\"Role\":...,\"State\":...}")
		return
	}
	p.Hosts.Put(p.now(), h)
	writeJSON(ctx, fasthttp.StatusOK, h)
}

// appendRequest is the body of an append.
type appendRequest struct {
	Records []json.RawMessage
}

// appendAnswer is the answer to an append.
type appendAnswer struct {
	First int64
}

func (p *Platform) handleLog(ctx *fasthttp.RequestCtx, segments []string) {
	if len(segments) != 3 || segments[0] != "streams" || segments[2] != "records" {
		writeError(ctx, fasthttp.StatusNotFound, "want /log/streams/{Stream}/records")
		return
	}
	if string(ctx.Method()) == fasthttp.MethodPost {
		p.appendRecords(ctx, segments[1])
		return
	}
	p.readRecords(ctx, segments[1])
}

func (p *Platform) appendRecords(ctx *fasthttp.RequestCtx, stream string) {
	var r appendRequest
	if err := json.Unmarshal(ctx.PostBody(), &r); err != nil || len(r.Records) == 0 {
		writeError(ctx, fasthttp.StatusBadRequest, "want {\"Records\":[...]}")
		return
	}
	first, ok := p.Log.Append(p.now(), stream, r.Records)
	if !ok {
		writeError(ctx, fasthttp.StatusTooManyRequests, "too many appends in this second")
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, appendAnswer{First: first})
}

func (p *Platform) readRecords(ctx *fasthttp.RequestCtx, stream string) {
	from, err := strconv.ParseInt(string(ctx.QueryArgs().Peek("From")), 10, 64)
	if err != nil || from < 0 {
		writeError(ctx, fasthttp.StatusBadRequest, "From is not an offset")
		return
	}
	limit := min(max(ctx.QueryArgs().GetUintOrZero("Max"), 1), MaxReadRecords)
	wait := min(time.Duration(ctx.QueryArgs().GetUintOrZero("WaitMilliseconds"))*time.Millisecond, MaxWait)
	b, appended := p.Log.Read(stream, from, limit)
	if len(b.Records) == 0 && wait > 0 && from >= b.Oldest {
		t := time.NewTimer(wait)
		defer t.Stop()
		select {
		case <-appended:
		case <-t.C:
		}
		b, _ = p.Log.Read(stream, from, limit)
	}
	if from < b.Oldest {
		writeJSON(ctx, fasthttp.StatusGone, b)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, b)
}

func (p *Platform) handleFaults(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Method()) {
	case fasthttp.MethodPost:
		var f fault.Fault
		if err := json.Unmarshal(ctx.PostBody(), &f); err != nil || f.Kind == "" {
			writeError(ctx, fasthttp.StatusBadRequest, "want {\"Kind\":...,\"Target\":...,\"Count\":...,\"Delay\":...}")
			return
		}
		p.Faults.Set(f)
	case fasthttp.MethodDelete:
		p.Faults.Clear()
	}
	writeJSON(ctx, fasthttp.StatusOK, p.Faults.List())
}

// closeConnection closes the connection without an answer.
func closeConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		writeError(ctx, fasthttp.StatusInternalServerError, err.Error())
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

// errorAnswer is the body of an answer to a rejected request.
type errorAnswer struct {
	Error string
}

func writeError(ctx *fasthttp.RequestCtx, status int, message string) {
	writeJSON(ctx, status, errorAnswer{Error: message})
}
