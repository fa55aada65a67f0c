package backend

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Bounds after which a connection whose other end is silent counts as broken.
const (
	// userTimeout is how long sent bytes may stay without an acknowledgement: some
	// tens of times the way between data centres of a region.
	userTimeout = 1500 * time.Millisecond
	// keepAliveIdle and keepAliveInterval find connections that nothing was sent on.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Dialer returns a function that opens TCP connections which break, instead of
// hanging, once the other end is silent.
func Dialer() DialFunc {
	d := net.Dialer{
		Timeout:         connectTime,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", address)
	}
}
