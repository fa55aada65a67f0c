package requests

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// handler handles a request that the server has read. It reports whether the connection stays
// open.
type handler func(c net.Conn, r *http.Request, body string) bool

// scriptedServer is a backend server whose responses a test sets.
type scriptedServer struct {
	address string
	mu      sync.Mutex
	// script holds the handler of each request in order; the last one is kept for all
	// further requests.
	script []handler
	// executions counts the executed requests by idempotency key.
	executions map[string]int
	// requests holds all requests that were read.
	requests []*http.Request
	accepted atomic.Int64
	// onAccept is called for each new connection before anything is read. It reports
	// whether the connection stays open.
	onAccept func(c net.Conn) bool
}

// addScriptedServer starts a scripted server and adds it to the host list.
func (tb *testbed) addScriptedServer(id string, script ...handler) *scriptedServer {
	l := tb.listen("Palermo")
	s := &scriptedServer{address: l.Addr().String(), script: script, executions: make(map[string]int)}
	go s.serve(l)
	tb.addServer(id, "Palermo", s.address)
	return s
}

func (s *scriptedServer) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.accepted.Add(1)
		go s.handle(c)
	}
}

func (s *scriptedServer) handle(c net.Conn) {
	defer func() { _ = c.Close() }()
	s.mu.Lock()
	onAccept := s.onAccept
	s.mu.Unlock()
	if onAccept != nil && !onAccept(c) {
		return
	}
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if !s.nextHandler(req)(c, req, string(body)) {
			return
		}
	}
}

// nextHandler records the request and returns its handler.
func (s *scriptedServer) nextHandler(req *http.Request) handler {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, req)
	a := s.script[0]
	if len(s.script) > 1 {
		s.script = s.script[1:]
	}
	return func(c net.Conn, r *http.Request, body string) bool { return a(c, r, body) }
}

// recordExecution counts an execution of the request's key.
func (s *scriptedServer) recordExecution(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions[r.Header.Get("Idempotency-Key")]++
}

// executionCount returns the number of executions of all keys.
func (s *scriptedServer) executionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, k := range s.executions {
		n += k
	}
	return n
}

// setOnAccept sets the function that is called for new connections.
func (s *scriptedServer) setOnAccept(f func(c net.Conn) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onAccept = f
}

// requestCount returns the number of requests that the server has read.
func (s *scriptedServer) requestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

// setScript replaces the handlers.
func (s *scriptedServer) setScript(script ...handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.script = script
}

// respondWith returns a handler that executes the request and writes the text.
func (s *scriptedServer) respondWith(text string, keepOpen bool) handler {
	return func(c net.Conn, r *http.Request, _ string) bool {
		s.recordExecution(r)
		_, _ = io.WriteString(c, text)
		return keepOpen
	}
}

// echo executes the request and responds with its method, path and key.
func (s *scriptedServer) echo(c net.Conn, r *http.Request, _ string) bool {
	s.recordExecution(r)
	body := r.Method + " " + r.URL.Path + " " + r.Header.Get("Idempotency-Key")
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
	if r.Method != http.MethodHead {
		_, _ = io.WriteString(c, body)
	}
	return true
}

// refuseUnexecuted refuses the request with Not-Run and keeps the connection.
func refuseUnexecuted(c net.Conn, _ *http.Request, _ string) bool {
	_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: true\r\nContent-Length: 0\r\n\r\n")
	return true
}

// refuseAndClose refuses the request with Not-Run and announces that the server is leaving.
func refuseAndClose(c net.Conn, _ *http.Request, _ string) bool {
	_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: true\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	return false
}

// neverRespond executes the request and never responds.
func (s *scriptedServer) neverRespond(c net.Conn, r *http.Request, _ string) bool {
	s.recordExecution(r)
	_, _ = io.Copy(io.Discard, c)
	return false
}
