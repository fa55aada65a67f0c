package listener

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/entry/settings"
)

// testTimeout is how long a test waits for a limit to take effect.
const testTimeout = 10 * time.Second

// smallLimits returns limits that a test reaches quickly. Those that a test does not
// lower lie beyond testTimeout.
func smallLimits() settings.Limits {
	return settings.Limits{
		HeaderBytes: 1 << 10, HeaderTimeout: 2 * testTimeout, BodyTimeout: 2 * testTimeout, ResponseTimeout: 2 * testTimeout, IdleTimeout: 2 * testTimeout,
		Connections: 64, ConnectionsPerAddress: 64,
	}
}

// lockedBuffer is a buffer that goroutines write to while a test reads it.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// testServer is a server with limits on a loopback socket.
type testServer struct {
	address string
	server  *fasthttp.Server
	log     *lockedBuffer
}

// serve starts a server that responds with "ok", or with a large body to /large.
func serve(t testing.TB, l settings.Limits) testServer {
	t.Helper()
	g := testServer{log: &lockedBuffer{}}
	log := logrus.New()
	log.SetOutput(g.log)
	log.SetLevel(logrus.DebugLevel)
	g.server = &fasthttp.Server{MaxRequestBodySize: 1 << 10, Handler: func(ctx *fasthttp.RequestCtx) {
		ctx.SetBodyString("ok")
		if string(ctx.Path()) == "/large" {
			ctx.SetBody(make([]byte, 64<<20))
		}
	}}
	Bound(g.server, log, l)
	s, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g.address = s.Addr().String()
	t.Cleanup(func() { _ = s.Close() })
	go func() { _ = g.server.Serve(s) }()
	return g
}

func (g testServer) dial(t testing.TB) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", g.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	return c
}

// trickle writes one byte at a time until the server closes the connection, and
// reports whether it did.
func trickle(c net.Conn, text string) bool {
	for {
		for i := range len(text) {
			if _, err := c.Write([]byte{text[i]}); err != nil {
				n, ok := err.(net.Error)
				return !ok || !n.Timeout()
			}
			time.Sleep(20 * time.Millisecond)
		}
		text = "X-More: 1\r\n"
	}
}

// trickleAfter sends the headers at once and the body byte by byte.
func trickleAfter(c net.Conn, head string) bool {
	_, _ = io.WriteString(c, head)
	return trickle(c, "body")
}

func TestSlowClientsAreDisconnected(t *testing.T) {
	const bound = 200 * time.Millisecond
	tests := map[string]struct {
		limit func(l *settings.Limits)
		act   func(c net.Conn) bool
	}{
		"nothing is sent": {
			func(l *settings.Limits) { l.HeaderTimeout = bound },
			func(c net.Conn) bool { return serverClosed(c) },
		},
		"headers byte by byte": {
			func(l *settings.Limits) { l.HeaderTimeout = bound },
			func(c net.Conn) bool { return trickle(c, "GET / HTTP/1.1\r\nHost: h\r\n") },
		},
		"a body byte by byte": {
			func(l *settings.Limits) { l.BodyTimeout = bound },
			func(c net.Conn) bool {
				return trickleAfter(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n")
			},
		},
		"a chunked body byte by byte": {
			func(l *settings.Limits) { l.BodyTimeout = bound },
			func(c net.Conn) bool {
				return trickleAfter(c, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n300\r\n")
			},
		},
		"idle after an answer": {
			func(l *settings.Limits) { l.IdleTimeout = bound },
			func(c net.Conn) bool {
				_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				return serverClosed(c)
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := smallLimits()
			test.limit(&l)
			require.True(t, test.act(serve(t, l).dial(t)), "the server closes the connection")
		})
	}
}

// serverClosed reads until the connection ends and reports whether the server
// closed it.
func serverClosed(c net.Conn) bool {
	_, err := io.Copy(io.Discard, c)
	n, ok := err.(net.Error)
	return !ok || !n.Timeout()
}

func TestBodyTimeoutIsSeparateFromHeaderTimeout(t *testing.T) {
	l := smallLimits()
	l.HeaderTimeout = 300 * time.Millisecond
	c := serve(t, l).dial(t)
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n")
	require.NoError(t, err)
	time.Sleep(2 * l.HeaderTimeout)
	_, err = io.WriteString(c, "x")
	require.NoError(t, err)
	status, _ := readResponse(t, c)
	require.Equal(t, fasthttp.StatusOK, status)
}

func TestSlowReaderIsDisconnected(t *testing.T) {
	l := smallLimits()
	l.ResponseTimeout = 200 * time.Millisecond
	g := serve(t, l)
	c := g.dial(t)
	_, err := io.WriteString(c, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return g.server.GetOpenConnectionsCount() == 0 }, testTimeout, 10*time.Millisecond)
}

// readResponse reads a response and returns its status and body.
func readResponse(t testing.TB, c net.Conn) (int, string) {
	t.Helper()
	var r fasthttp.Response
	require.NoError(t, r.Read(bufio.NewReader(c)))
	return r.StatusCode(), string(r.Body())
}

func TestUnreadableRequestsAreAnsweredWithoutTheirContent(t *testing.T) {
	const secret = "token-that-must-not-be-shown"
	tests := map[string]struct {
		request string
		status  int
		text    string
	}{
		"headers too large":         {"GET / HTTP/1.1\r\nHost: h\r\nTenant-Token: " + secret + strings.Repeat("x", 4<<10) + "\r\n\r\n", fasthttp.StatusRequestHeaderFieldsTooLarge, "NotRun: the headers are too large\n"},
		"body too large":            {"POST / HTTP/1.1\r\nHost: h\r\nTenant-Token: " + secret + "\r\nContent-Length: 2000\r\n\r\n", fasthttp.StatusRequestEntityTooLarge, "NotRun: the body is too large\n"},
		"chunks too large":          {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n800\r\n" + strings.Repeat("x", 0x800) + "\r\n0\r\n\r\n", fasthttp.StatusRequestEntityTooLarge, "NotRun: the body is too large\n"},
		"an invalid method":         {"@" + secret + " / HTTP/1.1\r\nHost: h\r\n\r\n", fasthttp.StatusBadRequest, "NotRun: the request is not HTTP\n"},
		"a header without a colon":  {"GET / HTTP/1.1\r\nHost: h\r\n" + secret + "\r\n\r\n", fasthttp.StatusBadRequest, "NotRun: the request is not HTTP\n"},
		"two lengths that disagree": {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\nTenant-Token: " + secret + "\r\n\r\nxx", fasthttp.StatusBadRequest, "NotRun: the request is not HTTP\n"},
		"an absurd length":          {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999999999\r\n\r\n", fasthttp.StatusBadRequest, "NotRun: the request is not HTTP\n"},
		"a TLS handshake message":   {"\x16\x03\x01\x02\x00" + secret + "\r\n\r\n", fasthttp.StatusBadRequest, "NotRun: the request is not HTTP\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := serve(t, smallLimits())
			c := g.dial(t)
			_, _ = io.WriteString(c, test.request)
			status, body := readResponse(t, c)
			require.Equal(t, test.status, status)
			require.Equal(t, test.text, body)
			require.Eventually(t, func() bool { return g.server.GetOpenConnectionsCount() == 0 }, testTimeout, time.Millisecond)
			require.NotContains(t, g.log.String(), secret)
		})
	}
}

func TestHalfOpenConnectionsAreBounded(t *testing.T) {
	const attempts = 2000
	tests := map[string]func(l *settings.Limits){
		"from one address": func(l *settings.Limits) { l.ConnectionsPerAddress = 50; l.Connections = 1000 },
		"in all":           func(l *settings.Limits) { l.ConnectionsPerAddress = 10_000; l.Connections = 50 },
	}
	for name, limit := range tests {
		t.Run(name, func(t *testing.T) {
			l := smallLimits()
			l.HeaderTimeout = time.Second
			limit(&l)
			g := serve(t, l)
			peak := uint32(0)
			for range attempts {
				c := g.dial(t)
				_, _ = io.WriteString(c, "GET / HT")
				peak = max(peak, g.server.GetCurrentConcurrency())
			}
			require.LessOrEqual(t, peak, uint32(50))
			require.Eventually(t, func() bool { return g.server.GetOpenConnectionsCount() == 0 }, testTimeout, 10*time.Millisecond, "all connections are closed")
			status, body := fasthttp.StatusTooManyRequests, ""
			for end := time.Now().Add(testTimeout); status == fasthttp.StatusTooManyRequests && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				// Connections dialled earlier may be accepted only now and still count.
				c := g.dial(t)
				_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				require.NoError(t, err)
				status, body = readResponse(t, c)
			}
			require.Equal(t, fasthttp.StatusOK, status)
			require.Equal(t, "ok", body)
		})
	}
}

// BenchmarkHalfOpenConnection reports the memory that the server uses for one
// connection with an incomplete request line.
func BenchmarkHalfOpenConnection(b *testing.B) {
	const connections = 2000
	l := settings.CallerLimits
	l.Connections, l.ConnectionsPerAddress, l.HeaderTimeout = connections, connections, time.Minute
	g := serve(b, l)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range connections {
		c := g.dial(b)
		_, err := fmt.Fprintf(c, "GET /%d HT", i)
		require.NoError(b, err)
	}
	require.Eventually(b, func() bool { return g.server.GetOpenConnectionsCount() == connections }, testTimeout, time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	runtime.GC()
	runtime.ReadMemStats(&after)
	held := int64(after.HeapInuse+after.StackInuse) - int64(before.HeapInuse+before.StackInuse)
	b.ReportMetric(float64(held)/connections, "B/connection")
}
