package client

import (
	"bufio"
	"net"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// newBreakingServer starts a server that answers the first request of each connection
// and closes the connection after reading the second one, without an answer. It returns
// the server's address and the count of all requests.
func newBreakingServer(t *testing.T) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var requests atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				var req fasthttp.Request
				for answered := false; req.Read(r) == nil; answered = true {
					requests.Add(1)
					if answered {
						return
					}
					_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"))
				}
			}()
		}
	}()
	return l.Addr().String(), &requests
}

func TestClientSendsEachRequestOnce(t *testing.T) {
	var into struct{}
	tests := map[string]struct {
		call func(c *Client) error
		want error
	}{
		"a post": {func(c *Client) error { return c.Post("/changes", struct{}{}, &into) }, ErrUncertain},
		"a get":  {func(c *Client) error { return c.Get("/status", &into) }, ErrUnreachable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			address, requests := newBreakingServer(t)
			c := New(address, "o")
			require.NoError(t, test.call(c))
			require.ErrorIs(t, test.call(c), test.want, "the connection broke after the request was read")
			require.Equal(t, int64(2), requests.Load())
		})
	}
}
