// Package backend stands in for backend servers: each has a number of slots
// and connections and counts how often it executed each request.
package backend

import (
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/standin/fault"
	"github.com/valyala/fasthttp"
)

// Headers that the stand-in reads and writes.
const (
	// HeaderKey identifies a request.
	HeaderKey = "Idempotency-Key"
	// HeaderWork asks for a service time in milliseconds.
	HeaderWork = "Standin-Work"
	// HeaderSize asks for a body of a number of bytes that is made of the key.
	HeaderSize = "Standin-Size"
	// HeaderInstance names the server that answered.
	HeaderInstance = "Standin-Instance"
	// HeaderNotRun marks a refusal that had no effect.
	HeaderNotRun = "Not-Run"
)

// maxSize bounds a body that is asked for, in bytes.
const maxSize = 1 << 20

// Body returns the body of n bytes that a server answers a key with.
func Body(key string, n int) string {
	if key == "" {
		key = "-"
	}
	return strings.Repeat(key+"\n", n/(len(key)+1)+1)[:n]
}

// Options say how a server behaves.
type Options struct {
	ID          inventory.InstanceID
	Service     inventory.ServiceID
	Slots       inventory.Slots
	Connections inventory.Connections
	// Work is the service time of a request that asks for none.
	Work time.Duration
}

// Server is one backend server.
type Server struct {
	o      Options
	Faults *fault.Table
	mu     sync.Mutex
	// executions counts executed requests by key. Only tests and checks read it.
	executions map[string]int
	busy       inventory.Slots
	peak       inventory.Slots
	leaving    bool
}

// New returns a server that executed nothing yet.
func New(o Options) *Server {
	return &Server{o: o, Faults: &fault.Table{}, executions: make(map[string]int)}
}

// ID returns the server's name.
func (s *Server) ID() inventory.InstanceID {
	return s.o.ID
}

// Executions returns how often each key was executed.
func (s *Server) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := make(map[string]int, len(s.executions))
	for k, n := range s.executions {
		c[k] = n
	}
	return c
}

// Leave makes the server say on every answer that it leaves.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Serve answers requests on the listener until it is closed.
func (s *Server) Serve(l net.Listener) error {
	h := &fasthttp.Server{
		Handler:               s.Handle,
		MaxRequestBodySize:    int(64 * inventory.Mebibyte),
		NoDefaultServerHeader: true,
	}
	return h.Serve(&limitListener{Listener: l, limit: s.o.Connections})
}

// Handle answers one request.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	if _, ok := s.Faults.Take(fault.Down, ""); ok {
		drop(ctx)
		return
	}
	if isExcess(ctx.Conn()) {
		s.refuseConnection(ctx)
		return
	}
	if _, ok := s.Faults.Take(fault.Refuse, ""); ok || !s.enter() {
		ctx.Response.Header.Set(HeaderNotRun, "true")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	defer s.exit()
	s.count(string(ctx.Request.Header.Peek(HeaderKey)))
	time.Sleep(s.work(ctx))
	s.reply(ctx)
}

// refuseConnection refuses a request on a connection above the limit and closes it.
func (s *Server) refuseConnection(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set(HeaderNotRun, "true")
	ctx.SetConnectionClose()
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
}

func (s *Server) reply(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set(HeaderInstance, string(s.o.ID))
	ctx.SetContentType("text/plain")
	if n, err := strconv.Atoi(string(ctx.Request.Header.Peek(HeaderSize))); err == nil && n >= 0 && n <= maxSize {
		ctx.SetBodyString(Body(string(ctx.Request.Header.Peek(HeaderKey)), n))
	} else {
		ctx.SetBodyString(string(ctx.Method()) + " " + string(ctx.RequestURI()) + "\n")
	}
	if s.isLeaving() {
		ctx.Response.Header.SetConnectionClose()
	}
	if _, ok := s.Faults.Take(fault.AnswerLost, ""); ok {
		drop(ctx)
		return
	}
	if _, ok := s.Faults.Take(fault.CutAnswer, ""); ok {
		cut(ctx)
	}
}

func (s *Server) work(ctx *fasthttp.RequestCtx) time.Duration {
	d := s.o.Work
	if ms, err := strconv.Atoi(string(ctx.Request.Header.Peek(HeaderWork))); err == nil && ms >= 0 {
		d = time.Duration(ms) * time.Millisecond
	}
	if f, ok := s.Faults.Take(fault.Slow, ""); ok {
		d += f.Delay
	}
	return d
}

func (s *Server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy >= s.o.Slots || s.leaving {
		return false
	}
	s.busy++
	s.peak = max(s.peak, s.busy)
	return true
}

func (s *Server) exit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
}

func (s *Server) count(key string) {
	if key == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions[key]++
}

func (s *Server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// drop closes the connection without an answer.
func drop(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}

// cut sends the beginning of an answer and closes the connection.
func cut(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nhalf"))
		_ = c.Close()
	})
}
