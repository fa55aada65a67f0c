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

// TestFailuresOfAServer says for each way in which a server fails what a caller
// is told, with and without another server that works.
func TestFailuresOfAServer(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbell"
	tests := []struct {
		name string
		make func(s *server) act
		// alone and spared are the outcomes of a POST without and with another
		// server; a GET is always answered when there is one.
		alone, spared string
		// status of the POST without another server.
		status int
		// runs is how often the failing server executes the POST.
		runs int
	}{
		{"closes before reading", nil, "Unknown", "Unknown", 504, 0},
		{"closes after reading", func(s *server) act { return s.write("", false) }, "Unknown", "Unknown", 504, 1},
		{"cuts its answer in the body", func(s *server) act { return s.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", false) }, "Unknown", "Unknown", 504, 1},
		{"cuts its answer in the headers", func(s *server) act { return s.write("HTTP/1.1 200 OK\r\nConte", false) }, "Unknown", "Unknown", 504, 1},
		{"cuts its answer between chunks", func(s *server) act {
			return s.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbell\r\n", false)
		}, "Unknown", "Unknown", 504, 1},
		{"tells no length", func(s *server) act { return s.write("HTTP/1.1 200 OK\r\n\r\nbell", false) }, "Unknown", "Unknown", 504, 1},
		{"tells two lengths", func(s *server) act {
			return s.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbell", false)
		}, "Unknown", "Unknown", 504, 1},
		{"changes the protocol", func(s *server) act { return s.write("HTTP/1.1 101 Switching Protocols\r\n\r\n", false) }, "Unknown", "Unknown", 504, 1},
		{"answers more than the limit", func(s *server) act {
			return s.write("HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n"+string(make([]byte, 70000)), true)
		}, "Unknown", "Unknown", 504, 1},
		{"hangs", func(s *server) act { return s.hang }, "Unknown", "Unknown", 504, 1},
		{"refuses without effect", func(*server) act { return refuse }, "NotRun", "Answered", 503, 0},
		{"refuses and leaves", func(*server) act { return leave }, "NotRun", "Answered", 503, 0},
		{"refuses with effect", func(s *server) act { return s.write("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", true) }, "Answered", "Answered", 503, 1},
		{"refuses in words with an answer of success", func(s *server) act {
			return s.write("HTTP/1.1 200 OK\r\nNot-Run: true\r\nContent-Length: 0\r\n\r\n", true)
		}, "Answered", "Answered", 200, 1},
		{"answers after an interim answer", func(s *server) act {
			return s.write("HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n"+whole, true)
		}, "Answered", "Answered", 200, 1},
	}
	for _, test := range tests {
		for _, spare := range []bool{false, true} {
			for _, method := range []string{get, post} {
				t.Run(test.name+map[bool]string{true: " beside another, "}[spare]+method, func(t *testing.T) {
					t.Parallel()
					w := newWorld(t)
					e := w.addEntry("entry-1", "Palermo")
					// The name comes first in order, so that it is chosen first.
					s := w.addScript("server-0")
					s.setAccept(func(net.Conn) bool { return test.make != nil })
					if test.make != nil {
						s.setScript(test.make(s))
					}
					if spare {
						o := w.addScript("server-1")
						o.setScript(o.ok)
					}
					a := e.send(request{method: method, deadline: 1500 * time.Millisecond})
					want := test.alone
					if spare {
						want = test.spared
					}
					if method == get && spare {
						want = "Answered"
					}
					require.Equal(t, want, a.outcome, "%+v", a)
					if !spare {
						require.Equal(t, test.status, a.status)
					}
					if method == post {
						require.Equal(t, test.runs, s.runs())
					}
					require.Equal(t, want == "NotRun", a.retryIn != "", "Retry-After comes with each refusal and nothing else")
				})
			}
		}
	}
}

func TestServerThatCannotBeReached(t *testing.T) {
	w := newWorld(t)
	e := w.addEntry("entry-1", "Palermo")
	l := w.listen("Palermo")
	w.addServer("server-0", "Palermo", l.Addr().String())
	require.NoError(t, l.Close())
	a := e.send(request{method: post})
	require.Equal(t, answer{status: 503, outcome: "NotRun", reason: "ServersUnreachable", retryIn: a.retryIn, body: a.body}, a)
	o := w.addScript("server-1")
	o.setScript(o.ok)
	require.Equal(t, "Answered", e.send(request{method: post}).outcome)
}

// TestLateAnswerReachesNobody lets an answer come after its deadline, and an
// answer that nobody asked for, and looks at what the next callers get. An
// answer that nobody asked for is there before the next request goes out: one
// that comes while a request is out on the same connection can't be told from
// the answer to that request.
func TestLateAnswerReachesNobody(t *testing.T) {
	tests := []struct {
		name string
		make func(s *server, sent chan struct{}) act
		want string
	}{
		{"late", func(s *server, sent chan struct{}) act {
			return func(c net.Conn, r *http.Request, body string) bool {
				<-sent
				return s.ok(c, r, body)
			}
		}, "Unknown"},
		{"twice", func(s *server, sent chan struct{}) act {
			return func(c net.Conn, r *http.Request, body string) bool {
				defer close(sent)
				return s.ok(c, r, body) && s.ok(c, r, body)
			}
		}, "Answered"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t)
			e := w.addEntry("entry-1", "Palermo")
			s := w.addScript("server-0")
			sent := make(chan struct{})
			s.setScript(test.make(s, sent), s.ok)
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

// TestSilentConnections makes all open connections to a server silent for good
// while new ones work.
func TestSilentConnections(t *testing.T) {
	for _, method := range []string{get, post} {
		t.Run(method, func(t *testing.T) {
			w := newWorld(t)
			e := w.addEntry("entry-1", "Palermo")
			s := w.addScript("server-0")
			s.setScript(s.ok)
			for range 3 {
				require.Equal(t, "Answered", e.send(request{method: get}).outcome)
			}
			w.net.Silence(s.address)
			for range 3 {
				require.Equal(t, "Answered", e.send(request{method: method, deadline: 2 * time.Second}).outcome)
			}
		})
	}
}

// TestSiblingsOfASilentConnectionAreSuspected makes several idle connections
// silent. One sending finds out; the others ride on the connection that is new.
func TestSiblingsOfASilentConnectionAreSuspected(t *testing.T) {
	const siblings = 4
	w := newWorld(t)
	e := w.addEntry("entry-1", "Palermo")
	s := w.addScript("server-0")
	var arrived sync.WaitGroup
	arrived.Add(siblings)
	s.setScript(func(c net.Conn, r *http.Request, body string) bool {
		arrived.Done()
		arrived.Wait()
		return s.ok(c, r, body)
	})
	var wg sync.WaitGroup
	for range siblings {
		wg.Go(func() { e.send(request{method: get}) })
	}
	wg.Wait()
	s.setScript(s.ok)
	require.EqualValues(t, siblings, s.accepted.Load())
	w.net.Silence(s.address)
	for range 2 * siblings {
		// A connection rests for a moment before it is used again.
		time.Sleep(5 * time.Millisecond)
		require.Equal(t, "Answered", e.send(request{method: get, deadline: 2 * time.Second}).outcome)
	}
	require.EqualValues(t, siblings+1, s.accepted.Load())
}

// TestLeavingServer looks at what a server gets after each sign of its leaving.
func TestLeavingServer(t *testing.T) {
	tests := []struct {
		name string
		sign func(w *world, s *server)
	}{
		{"the host list says so", func(w *world, _ *server) { w.setState("server-0", "Leaving") }},
		{"a refusal says so", func(_ *world, s *server) { s.setScript(leave) }},
		{"an answer says so", func(_ *world, s *server) {
			s.setScript(s.write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", false))
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t)
			e := w.addEntry("entry-1", "Palermo")
			s, o := w.addScript("server-0"), w.addScript("server-1")
			s.setScript(s.ok)
			o.setScript(o.ok)
			for range 4 {
				require.Equal(t, "Answered", e.send(request{method: post}).outcome)
			}
			require.Positive(t, s.runs())
			test.sign(w, s)
			// The sign may need one more request to show.
			for range 2 {
				require.Equal(t, "Answered", e.send(request{method: post}).outcome)
			}
			before := s.heads()
			for range 10 {
				require.Equal(t, "Answered", e.send(request{method: post}).outcome)
			}
			require.Equal(t, before, s.heads())
		})
	}
}

// TestSlowCallers opens connections on which callers send slowly, or don't take
// their answers. Others are served, and no slot is held.
func TestSlowCallers(t *testing.T) {
	const head = "Host: x\r\nTenant: Secretaries\r\n"
	tests := []struct{ name, message string }{
		{"half a header", "GET /services/Bells/x HTTP/1.1\r\nHost: x\r\nTen"},
		{"half a body", "POST /services/Bells/x HTTP/1.1\r\n" + head + "Content-Length: 100\r\n\r\nhalf"},
		{"an answer that is not taken", "GET /services/Bells/large HTTP/1.1\r\n" + head + "\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t)
			e := w.addEntry("entry-1", "Palermo")
			s := w.addScript("server-0")
			s.setScript(func(c net.Conn, r *http.Request, body string) bool {
				if r.URL.Path == "/large" {
					return s.write("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n"+string(make([]byte, 60000)), true)(c, r, body)
				}
				return s.ok(c, r, body)
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

// TestWhatIsCounted looks at the metrics of one answered and two refused requests.
func TestWhatIsCounted(t *testing.T) {
	w := newWorld(t)
	e := w.addEntry("entry-1", "Palermo")
	s := w.addScript("server-0")
	s.setScript(s.ok)
	e.send(request{method: get})
	e.send(request{method: get, tenant: "Editors", header: map[string]string{"Request-Deadline": "soon"}})
	s.setScript(s.write("", false))
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

// TestEachMethodIsSentAsOftenAsItMay counts what two servers execute of each
// method when the first loses its answers.
func TestEachMethodIsSentAsOftenAsItMay(t *testing.T) {
	for method, outcome := range map[string]string{
		"GET": "Answered", "HEAD": "Answered", "OPTIONS": "Answered", "PUT": "Answered", "DELETE": "Answered",
		"POST": "Unknown", "PATCH": "Unknown", "PURGE": "Unknown",
	} {
		t.Run(method, func(t *testing.T) {
			w := newWorld(t)
			e := w.addEntry("entry-1", "Palermo")
			s, o := w.addScript("server-0"), w.addScript("server-1")
			s.setScript(s.write("", false))
			o.setScript(o.ok)
			require.Equal(t, outcome, e.send(request{method: method}).outcome)
			require.Equal(t, 1, s.runs())
			require.Equal(t, map[string]int{"Answered": 1, "Unknown": 0}[outcome], o.runs())
		})
	}
}
