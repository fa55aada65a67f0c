package backend

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// lingerRecorder records the linger time set on a connection.
type lingerRecorder struct {
	net.Conn
	linger chan int
}

// SetLinger records the linger time.
func (l *lingerRecorder) SetLinger(seconds int) error {
	l.linger <- seconds
	return nil
}

// Guards against bytes of an abandoned request that arrive when a partition ends: a request
// without an answer closes its connection with a linger time of 0.
func TestAbandonedRequestResetsItsConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	linger := make(chan int, 1)
	pool := NewPool(func(ctx context.Context, address string) (net.Conn, error) {
		c, err := Dialer()(ctx, address)
		return &lingerRecorder{Conn: c, linger: linger}, err
	})
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("/")
	req.Header.SetHost("h")
	now := time.Now()
	err = pool.Send(context.Background(), Request{
		Address: l.Addr().String(), Message: req, Answer: resp, MaxBody: 1, Deadline: now.Add(50 * time.Millisecond),
	}, now)
	require.ErrorIs(t, err, ErrNoAnswer)
	require.Equal(t, 0, <-linger)
}
