// Package backend simulates backend servers. Each server has a limited number of
// slots and connections and counts the executions of each request.
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

// HTTP headers that the simulated server reads and writes.
const (
	// HeaderKey carries the idempotency key of a request.
	HeaderKey = "Idempotency-Key"
	// HeaderWork sets the service time of a request in milliseconds.
	HeaderWork = "Standin-Work"
	// HeaderSize sets the size in bytes of the response body, which repeats the key.
	HeaderSize = "Standin-Size"
	// HeaderInstance names the server that sent the response.
	HeaderInstance = "Standin-Instance"
	// HeaderNotRun marks a refused request that was not executed.
	HeaderNotRun = "Not-Run"
)

// maxSize limits the response body that a request can ask for, in bytes.
const maxSize = 1 << 20

// Body returns the response body of n bytes for a request with the key.
func Body(key string, n int) string {
	if key == "" {
		key = "-"
	}
	return strings.Repeat(key+"\n", n/(len(key)+1)+1)[:n]
}

// Options configure a Server.
type Options struct {
	ID          inventory.InstanceID
	Service     inventory.ServiceID
	Slots       inventory.Slots
	Connections inventory.Connections
	// ServiceTime is the service time of a request without HeaderWork.
	ServiceTime time.Duration
}

// Server is one simulated backend server.
type Server struct {
	options Options
	Faults  *fault.Table
	mu      sync.Mutex
	// executions counts the executed requests by idempotency key, for tests and checks.
	executions map[string]int
	busy       inventory.Slots
	peak       inventory.Slots
	leaving    bool
}

// New returns a server without executed requests.
func New(options Options) *Server {
	return &Server{options: options, Faults: &fault.Table{}, executions: make(map[string]int)}
}

// ID returns the instance ID of the server.
func (s *Server) ID() inventory.InstanceID {
	return s.options.ID
}

// Executions returns a copy of the number of executions of each key.
func (s *Server) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := make(map[string]int, len(s.executions))
	for k, n := range s.executions {
		c[k] = n
	}
	return c
}

// Leave starts draining: the server refuses new requests and closes the connection of
// each request that it still answers.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Serve serves requests on the listener until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	h := &fasthttp.Server{
		Handler:               s.Handle,
		MaxRequestBodySize:    int(64 * inventory.Mebibyte),
		NoDefaultServerHeader: true,
	}
	return h.Serve(&limitListener{Listener: l, limit: s.options.Connections})
}

// Handle serves one request.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	if _, ok := s.Faults.Use(fault.Down, ""); ok {
		closeWithoutResponse(ctx)
		return
	}
	if isExcess(ctx.Conn()) {
		s.refuseConnection(ctx)
		return
	}
	if _, ok := s.Faults.Use(fault.Refuse, ""); ok || !s.acquireSlot() {
		ctx.Response.Header.Set(HeaderNotRun, "true")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	defer s.releaseSlot()
	s.recordExecution(string(ctx.Request.Header.Peek(HeaderKey)))
	time.Sleep(s.serviceTime(ctx))
	s.reply(ctx)
}

// refuseConnection refuses a request on a connection above the limit and closes the
// connection.
func (s *Server) refuseConnection(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set(HeaderNotRun, "true")
	ctx.SetConnectionClose()
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
}

func (s *Server) reply(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set(HeaderInstance, string(s.options.ID))
	ctx.SetContentType("text/plain")
	if n, err := strconv.Atoi(string(ctx.Request.Header.Peek(HeaderSize))); err == nil && n >= 0 && n <= maxSize {
		ctx.SetBodyString(Body(string(ctx.Request.Header.Peek(HeaderKey)), n))
	} else {
		ctx.SetBodyString(string(ctx.Method()) + " " + string(ctx.RequestURI()) + "\n")
	}
	if s.isLeaving() {
		ctx.Response.Header.SetConnectionClose()
	}
	if _, ok := s.Faults.Use(fault.AnswerLost, ""); ok {
		closeWithoutResponse(ctx)
		return
	}
	if _, ok := s.Faults.Use(fault.CutAnswer, ""); ok {
		truncateResponse(ctx)
	}
}

// serviceTime returns how long the server takes for the request, including the delay of
// a fault.
func (s *Server) serviceTime(ctx *fasthttp.RequestCtx) time.Duration {
	d := s.options.ServiceTime
	if ms, err := strconv.Atoi(string(ctx.Request.Header.Peek(HeaderWork))); err == nil && ms >= 0 {
		d = time.Duration(ms) * time.Millisecond
	}
	if f, ok := s.Faults.Use(fault.Slow, ""); ok {
		d += f.Delay
	}
	return d
}

// acquireSlot occupies a slot. It returns false if all slots are busy or the server is
// leaving.
func (s *Server) acquireSlot() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy >= s.options.Slots || s.leaving {
		return false
	}
	s.busy++
	s.peak = max(s.peak, s.busy)
	return true
}

func (s *Server) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
}

// recordExecution counts an execution of the key; requests without a key are not counted.
func (s *Server) recordExecution(key string) {
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

// closeWithoutResponse closes the connection without sending a response.
func closeWithoutResponse(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}

// truncateResponse sends the beginning of a response and closes the connection.
func truncateResponse(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nhalf"))
		_ = c.Close()
	})
}
