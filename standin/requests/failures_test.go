package requests

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	get  = http.MethodGet
	post = http.MethodPost
)

// TestFailuresOfAServer checks the outcome that a caller receives for each kind of server
// failure, with and without a second, healthy server.
func TestFailuresOfAServer(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbell"
	tests := []struct {
		name string
		make func(s *scriptedServer) handler
		// alone and withSpare are the outcomes of a POST without and with a second server. A
		// GET is always answered if there is one.
		alone, withSpare string
		// status is the status code of the POST without a second server.
		status int
		// executions is how often the failing server executes the POST.
		executions int
	}{
		{"closes before reading", nil, "Unknown", "Unknown", 504, 0},
		{"closes after reading", func(s *scriptedServer) handler { return s.respondWith("", false) }, "Unknown", "Unknown", 504, 1},
		{"truncates its response in the body", func(s *scriptedServer) handler {
			return s.respondWith("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", false)
		}, "Unknown", "Unknown", 504, 1},
		{"truncates its response in the headers", func(s *scriptedServer) handler { return s.respondWith("HTTP/1.1 200 OK\r\nConte", false) }, "Unknown", "Unknown", 504, 1},
		{"truncates its response between chunks", func(s *scriptedServer) handler {
			return s.respondWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbell\r\n", false)
		}, "Unknown", "Unknown", 504, 1},
		{"sends no length", func(s *scriptedServer) handler { return s.respondWith("HTTP/1.1 200 OK\r\n\r\nbell", false) }, "Unknown", "Unknown", 504, 1},
		{"sends two lengths", func(s *scriptedServer) handler {
			return s.respondWith("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbell", false)
		}, "Unknown", "Unknown", 504, 1},
		{"switches the protocol", func(s *scriptedServer) handler {
			return s.respondWith("HTTP/1.1 101 Switching Protocols\r\n\r\n", false)
		}, "Unknown", "Unknown", 504, 1},
		{"sends a response above the size limit", func(s *scriptedServer) handler {
			return s.respondWith("HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n"+string(make([]byte, 70000)), true)
		}, "Unknown", "Unknown", 504, 1},
		{"hangs", func(s *scriptedServer) handler { return s.neverRespond }, "Unknown", "Unknown", 504, 1},
		{"refuses without effect", func(*scriptedServer) handler { return refuseUnexecuted }, "NotRun", "Answered", 503, 0},
		{"refuses and leaves", func(*scriptedServer) handler { return refuseAndClose }, "NotRun", "Answered", 503, 0},
		{"refuses with effect", func(s *scriptedServer) handler {
			return s.respondWith("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", true)
		}, "Answered", "Answered", 503, 1},
		{"sends Not-Run with a success status", func(s *scriptedServer) handler {
			return s.respondWith("HTTP/1.1 200 OK\r\nNot-Run: true\r\nContent-Length: 0\r\n\r\n", true)
		}, "Answered", "Answered", 200, 1},
		{"sends an interim response first", func(s *scriptedServer) handler {
			return s.respondWith("HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n"+whole, true)
		}, "Answered", "Answered", 200, 1},
	}
	for _, test := range tests {
		for _, spare := range []bool{false, true} {
			for _, method := range []string{get, post} {
				t.Run(test.name+map[bool]string{true: " beside another, "}[spare]+method, func(t *testing.T) {
					t.Parallel()
					tb := newTestbed(t)
					e := tb.addEntry("entry-1", "Palermo")
					// Servers are chosen in the order of their names, so this one comes first.
					s := tb.addScriptedServer("server-0")
					s.setOnAccept(func(net.Conn) bool { return test.make != nil })
					if test.make != nil {
						s.setScript(test.make(s))
					}
					if spare {
						o := tb.addScriptedServer("server-1")
						o.setScript(o.echo)
					}
					a := e.send(request{method: method, deadline: 1500 * time.Millisecond})
					want := test.alone
					if spare {
						want = test.withSpare
					}
					if method == get && spare {
						want = "Answered"
					}
					require.Equal(t, want, a.outcome, "%+v", a)
					if !spare {
						require.Equal(t, test.status, a.status)
					}
					if method == post {
						require.Equal(t, test.executions, s.executionCount())
					}
					require.Equal(t, want == "NotRun", a.retryIn != "", "Retry-After is set on refusals only")
				})
			}
		}
	}
}

// TestUnreachableServer checks that a request is refused while no server can be reached, and
// answered as soon as another one is listed.
func TestUnreachableServer(t *testing.T) {
	tb := newTestbed(t)
	e := tb.addEntry("entry-1", "Palermo")
	l := tb.listen("Palermo")
	tb.addServer("server-0", "Palermo", l.Addr().String())
	require.NoError(t, l.Close())
	a := e.send(request{method: post})
	require.Equal(t, response{status: 503, outcome: "NotRun", reason: "ServersUnreachable", retryIn: a.retryIn, body: a.body}, a)
	o := tb.addScriptedServer("server-1")
	o.setScript(o.echo)
	require.Equal(t, "Answered", e.send(request{method: post}).outcome)
}

// TestLateResponseIsNotDeliveredToAnotherCaller guards against a response that reaches the
// wrong caller: one that arrives after its deadline, or a second one to the same request.
// The second one arrives before the next request is sent, because a surplus response that
// arrives while a request is in flight on the connection can't be told from its response.
func TestLateResponseIsNotDeliveredToAnotherCaller(t *testing.T) {
	tests := []struct {
		name string
		make func(s *scriptedServer, sent chan struct{}) handler
		want string
	}{
		{"late", func(s *scriptedServer, sent chan struct{}) handler {
			return func(c net.Conn, r *http.Request, body string) bool {
				<-sent
				return s.echo(c, r, body)
			}
		}, "Unknown"},
		{"twice", func(s *scriptedServer, sent chan struct{}) handler {
			return func(c net.Conn, r *http.Request, body string) bool {
				defer close(sent)
				return s.echo(c, r, body) && s.echo(c, r, body)
			}
		}, "Answered"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tb := newTestbed(t)
			e := tb.addEntry("entry-1", "Palermo")
			s := tb.addScriptedServer("server-0")
			sent := make(chan struct{})
			s.setScript(test.make(s, sent), s.echo)
			first := e.send(request{method: post, key: "a", path: "/services/Bells/first", deadline: 100 * time.Millisecond})
			require.Equal(t, test.want, first.outcome)
			if test.name == "late" {
				close(sent)
			}
			<-sent
			for range 5 {
				next := e.send(request{method: get, path: "/services/Bells/next"})
				require.Equal(t, "GET /next ", next.body)
			}
		})
	}
}

// TestSilentConnections makes all open connections to a server unresponsive while new ones
// work. Requests must still be answered.
func TestSilentConnections(t *testing.T) {
	for _, method := range []string{get, post} {
		t.Run(method, func(t *testing.T) {
			tb := newTestbed(t)
			e := tb.addEntry("entry-1", "Palermo")
			s := tb.addScriptedServer("server-0")
			s.setScript(s.echo)
			for range 3 {
				require.Equal(t, "Answered", e.send(request{method: get}).outcome)
			}
			tb.net.Silence(s.address)
			for range 3 {
				require.Equal(t, "Answered", e.send(request{method: method, deadline: 2 * time.Second}).outcome)
			}
		})
	}
}

// TestIdleConnectionsAreReplacedAfterOneIsSilent makes several idle connections
// unresponsive. The first request sent on one of them must cause all of them to be
// discarded; it and all later requests use one new connection.
func TestIdleConnectionsAreReplacedAfterOneIsSilent(t *testing.T) {
	const connections = 4
	tb := newTestbed(t)
	e := tb.addEntry("entry-1", "Palermo")
	s := tb.addScriptedServer("server-0")
	var arrived sync.WaitGroup
	arrived.Add(connections)
	s.setScript(func(c net.Conn, r *http.Request, body string) bool {
		arrived.Done()
		arrived.Wait()
		return s.echo(c, r, body)
	})
	var wg sync.WaitGroup
	for range connections {
		wg.Go(func() { e.send(request{method: get}) })
	}
	wg.Wait()
	s.setScript(s.echo)
	require.EqualValues(t, connections, s.accepted.Load())
	tb.net.Silence(s.address)
	for range 2 * connections {
		// A connection is reused only after a short pause.
		time.Sleep(5 * time.Millisecond)
		require.Equal(t, "Answered", e.send(request{method: get, deadline: 2 * time.Second}).outcome)
	}
	require.EqualValues(t, connections+1, s.accepted.Load())
}

// TestLeavingServer checks that a server receives no requests once it is known to leave, for
// each way in which it is announced.
func TestLeavingServer(t *testing.T) {
	tests := []struct {
		name     string
		announce func(tb *testbed, s *scriptedServer)
	}{
		{"the host list says so", func(tb *testbed, _ *scriptedServer) { tb.setState("server-0", "Leaving") }},
		{"a refusal says so", func(_ *testbed, s *scriptedServer) { s.setScript(refuseAndClose) }},
		{"a response says so", func(_ *testbed, s *scriptedServer) {
			s.setScript(s.respondWith("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", false))
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tb := newTestbed(t)
			e := tb.addEntry("entry-1", "Palermo")
			s, o := tb.addScriptedServer("server-0"), tb.addScriptedServer("server-1")
			s.setScript(s.echo)
			o.setScript(o.echo)
			for range 4 {
				require.Equal(t, "Answered", e.send(request{method: post}).outcome)
			}
			require.Positive(t, s.executionCount())
			test.announce(tb, s)
			// It may take one more request until the announcement is seen.
			for range 2 {
				require.Equal(t, "Answered", e.send(request{method: post}).outcome)
			}
			before := s.requestCount()
			for range 10 {
				require.Equal(t, "Answered", e.send(request{method: post}).outcome)
			}
			require.Equal(t, before, s.requestCount())
		})
	}
}

// TestSlowCallers opens connections whose callers stall while sending a request or don't
// read their responses. Other callers must be served, so no slot may be held for them.
func TestSlowCallers(t *testing.T) {
	const head = "Host: x\r\nTenant: Secretaries\r\n"
	tests := []struct{ name, message string }{
		{"half a header", "GET /services/Bells/x HTTP/1.1\r\nHost: x\r\nTen"},
		{"half a body", "POST /services/Bells/x HTTP/1.1\r\n" + head + "Content-Length: 100\r\n\r\nhalf"},
		{"a response that is not read", "GET /services/Bells/large HTTP/1.1\r\n" + head + "\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tb := newTestbed(t)
			e := tb.addEntry("entry-1", "Palermo")
			s := tb.addScriptedServer("server-0")
			s.setScript(func(c net.Conn, r *http.Request, body string) bool {
				if r.URL.Path == "/large" {
					return s.respondWith("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n"+string(make([]byte, 60000)), true)(c, r, body)
				}
				return s.echo(c, r, body)
			})
			for range 40 {
				c, err := net.Dial("tcp", e.address)
				require.NoError(t, err)
				t.Cleanup(func() { _ = c.Close() })
				_, err = io.WriteString(c, test.message)
				require.NoError(t, err)
			}
			for range 20 {
				require.Equal(t, "Answered", e.send(request{method: get}).outcome)
			}
		})
	}
}

// TestRequestMetrics checks the metrics of an answered, a refused and an unknown request.
func TestRequestMetrics(t *testing.T) {
	tb := newTestbed(t)
	e := tb.addEntry("entry-1", "Palermo")
	s := tb.addScriptedServer("server-0")
	s.setScript(s.echo)
	e.send(request{method: get})
	e.send(request{method: get, tenant: "Editors", header: map[string]string{"Request-Deadline": "soon"}})
	s.setScript(s.respondWith("", false))
	e.send(request{method: post})
	counts := make(map[string]int64)
	for _, p := range e.metrics.Points() {
		counts[p.Name] = p.Value
	}
	const secretaries, editors = `{service="Bells",tenant="Secretaries",class="Standard"`, `{service="Bells",tenant="Editors",class="Urgent"`
	require.Equal(t, map[string]int64{
		"request_microseconds" + secretaries + "}":                         2,
		"request_queue_microseconds" + secretaries + "}":                   2,
		"request_server_microseconds" + secretaries + "}":                  2,
		"requests" + secretaries + `,outcome="Answered",reason=""}`:        1,
		"requests" + secretaries + `,outcome="Unknown",reason="NoAnswer"}`: 1,
		"request_microseconds" + editors + "}":                             1,
		"request_queue_microseconds" + editors + "}":                       0,
		"request_server_microseconds" + editors + "}":                      0,
		"requests" + editors + `,outcome="NotRun",reason="BadDeadline"}`:   1,
	}, counts)
}

// TestOnlyIdempotentMethodsAreRetried counts the executions of each method on two servers
// when the first executes the request but loses its response.
func TestOnlyIdempotentMethodsAreRetried(t *testing.T) {
	for method, outcome := range map[string]string{
		"GET": "Answered", "HEAD": "Answered", "OPTIONS": "Answered", "PUT": "Answered", "DELETE": "Answered",
		"POST": "Unknown", "PATCH": "Unknown", "PURGE": "Unknown",
	} {
		t.Run(method, func(t *testing.T) {
			tb := newTestbed(t)
			e := tb.addEntry("entry-1", "Palermo")
			s, o := tb.addScriptedServer("server-0"), tb.addScriptedServer("server-1")
			s.setScript(s.respondWith("", false))
			o.setScript(o.echo)
			require.Equal(t, outcome, e.send(request{method: method}).outcome)
			require.Equal(t, 1, s.executionCount())
			require.Equal(t, map[string]int{"Answered": 1, "Unknown": 0}[outcome], o.executionCount())
		})
	}
}
