package backend

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// lingering notes what is done to a connection when it is closed.
type lingering struct {
	net.Conn
	linger chan int
}

// SetLinger notes the time.
func (l *lingering) SetLinger(seconds int) error {
	l.linger <- seconds
	return nil
}

// A request that was given up takes its bytes back, so that they don't arrive when a
// partition ends.
func TestARequestThatIsGivenUpIsTakenBack(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	linger := make(chan int, 1)
	pool := NewPool(func(ctx context.Context, address string) (net.Conn, error) {
		c, err := Dialer()(ctx, address)
		return &lingering{Conn: c, linger: linger}, err
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
