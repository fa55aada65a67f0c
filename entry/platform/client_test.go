package platform

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// startBreakingServer starts a server that answers the first request of each connection and
// closes the connection after reading the second one. It returns the server's address and
// the count of all requests.
func startBreakingServer(t *testing.T) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var seen atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go answerFirstRequest(c, &seen)
		}
	}()
	return l.Addr().String(), &seen
}

func answerFirstRequest(c net.Conn, seen *atomic.Int64) {
	defer c.Close()
	r := bufio.NewReader(c)
	for answered := false; ; answered = true {
		var req fasthttp.Request
		if err := req.Read(r); err != nil {
			return
		}
		seen.Add(1)
		if answered {
			return
		}
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"))
	}
}

func TestClientSendsEachRequestOnce(t *testing.T) {
	calls := map[string]func(c *Client) error{
		"an append": func(c *Client) error {
			_, err := c.Append("S", []json.RawMessage{json.RawMessage("1")})
			return err
		},
		"a read": func(c *Client) error {
			_, err := c.Read("S", 0, 1, time.Millisecond)
			return err
		},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			address, seen := startBreakingServer(t)
			var d net.Dialer
			c := NewClient(address, func(ctx context.Context, a string) (net.Conn, error) { return d.DialContext(ctx, "tcp", a) })
			require.NoError(t, call(c))
			require.ErrorIs(t, call(c), ErrUncertain, "the connection was closed after the request was read")
			require.Equal(t, int64(2), seen.Load())
		})
	}
}
