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

// act is what a server does with a request that it has read. It reports whether
// the connection goes on.
type act func(c net.Conn, r *http.Request, body string) bool

// server is a backend server that follows a script.
type server struct {
	address string
	mu      sync.Mutex
	// script has one act for each request; the last one stays.
	script []act
	// ran counts the requests that were read whole and executed, by key.
	ran map[string]int
	// requests has the heads of all requests that were read.
	requests []*http.Request
	accepted atomic.Int64
	// atAccept is done to each new connection before anything is read; it
	// reports whether the connection goes on.
	atAccept func(c net.Conn) bool
}

// addScript starts and lists a server.
func (w *world) addScript(id string, script ...act) *server {
	l := w.listen("Palermo")
	s := &server{address: l.Addr().String(), script: script, ran: make(map[string]int)}
	go s.serve(l)
	w.addServer(id, "Palermo", s.address)
	return s
}

func (s *server) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.accepted.Add(1)
		go s.handle(c)
	}
}

func (s *server) handle(c net.Conn) {
	defer func() { _ = c.Close() }()
	s.mu.Lock()
	atAccept := s.atAccept
	s.mu.Unlock()
	if atAccept != nil && !atAccept(c) {
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
		if !s.next(req)(c, req, string(body)) {
			return
		}
	}
}

func (s *server) next(req *http.Request) act {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, req)
	a := s.script[0]
	if len(s.script) > 1 {
		s.script = s.script[1:]
	}
	return func(c net.Conn, r *http.Request, body string) bool { return a(c, r, body) }
}

// executed counts an execution.
func (s *server) executed(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran[r.Header.Get("Idempotency-Key")]++
}

// runs returns the number of executions under all keys.
func (s *server) runs() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, k := range s.ran {
		n += k
	}
	return n
}

// setAccept says what is done to new connections.
func (s *server) setAccept(f func(c net.Conn) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.atAccept = f
}

// heads returns the number of requests that were read.
func (s *server) heads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

// setScript replaces the script.
func (s *server) setScript(script ...act) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.script = script
}

// write returns an act that executes the request and writes the text.
func (s *server) write(text string, goOn bool) act {
	return func(c net.Conn, r *http.Request, _ string) bool {
		s.executed(r)
		_, _ = io.WriteString(c, text)
		return goOn
	}
}

// ok executes and answers with the method, path and key.
func (s *server) ok(c net.Conn, r *http.Request, _ string) bool {
	s.executed(r)
	body := r.Method + " " + r.URL.Path + " " + r.Header.Get("Idempotency-Key")
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
	if r.Method != http.MethodHead {
		_, _ = io.WriteString(c, body)
	}
	return true
}

// refuse says that nothing was done.
func refuse(c net.Conn, _ *http.Request, _ string) bool {
	_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: true\r\nContent-Length: 0\r\n\r\n")
	return true
}

// leave says that nothing was done and that the server goes.
func leave(c net.Conn, _ *http.Request, _ string) bool {
	_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: true\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	return false
}

// hang executes and never answers.
func (s *server) hang(c net.Conn, r *http.Request, _ string) bool {
	s.executed(r)
	_, _ = io.Copy(io.Discard, c)
	return false
}
