package listener

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/entry/settings"
)

// serveStandard starts a server of the standard library with limits.
func serveStandard(t *testing.T, l settings.Limits) (string, *Bounded) {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b := NewBounded(raw, l)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "ok")
	})}
	BoundHTTP(s, l)
	t.Cleanup(func() { _ = s.Close() })
	go func() { _ = s.Serve(b) }()
	return raw.Addr().String(), b
}

func TestStandardServerDisconnectsSlowClients(t *testing.T) {
	const bound = 200 * time.Millisecond
	tests := map[string]struct {
		limit func(l *settings.Limits)
		act   func(c net.Conn) bool
	}{
		"nothing is sent": {
			func(l *settings.Limits) { l.HeaderTimeout = bound },
			serverClosed,
		},
		"headers byte by byte": {
			func(l *settings.Limits) { l.HeaderTimeout = bound },
			func(c net.Conn) bool { return trickle(c, "GET / HTTP/1.1\r\nHost: h\r\n") },
		},
		"a body byte by byte": {
			func(l *settings.Limits) { l.HeaderTimeout, l.BodyTimeout = bound, bound },
			func(c net.Conn) bool {
				return trickleAfter(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n")
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
			address, _ := serveStandard(t, l)
			require.True(t, test.act(testServer{address: address}.dial(t)), "the server closes the connection")
		})
	}
}

func TestBoundedCountsOpenedAndClosedConnections(t *testing.T) {
	const attempts, bound = 500, 20
	for name, limit := range map[string]func(l *settings.Limits){
		"from one address": func(l *settings.Limits) { l.ConnectionsPerAddress = bound },
		"in all":           func(l *settings.Limits) { l.Connections = bound },
	} {
		t.Run(name, func(t *testing.T) {
			l := smallLimits()
			l.HeaderTimeout = time.Second
			limit(&l)
			address, b := serveStandard(t, l)
			g := testServer{address: address}
			peak := 0
			for range attempts {
				_, _ = io.WriteString(g.dial(t), "GET / HT")
				peak = max(peak, b.Open())
			}
			require.LessOrEqual(t, peak, bound)
			require.Eventually(t, func() bool { return b.Open() == 0 }, testTimeout, 10*time.Millisecond, "all connections are closed")
			c := g.dial(t)
			_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			require.NoError(t, err)
			status, _ := readResponse(t, c)
			require.Equal(t, fasthttp.StatusOK, status)
		})
	}
}
