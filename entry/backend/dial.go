package backend

import (
	"context"
	"errors"
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
// hanging, once the other end is silent. Their end is a reset, also that of a process
// which is killed: an order that a partition holds up must not outlive its sender.
func Dialer() DialFunc {
	d := net.Dialer{
		Timeout:         connectTime,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) {
				failed = errors.Join(
					unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds())),
					unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1}),
				)
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
