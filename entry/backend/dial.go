package backend

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Limits after which a connection to an unresponsive peer counts as broken.
const (
	// userTimeout is how long sent bytes may stay unacknowledged: some tens of times the
	// latency between data centres of a region.
	userTimeout = 1500 * time.Millisecond
	// The keep-alive probes detect broken connections on which nothing is being sent.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Dialer returns a function that opens TCP connections which fail, instead of hanging,
// once the peer is unresponsive. They close with a reset, also when the process is killed:
// a request that a partition delays must not arrive after its sender has ended.
func Dialer() DialFunc {
	d := net.Dialer{
		Timeout:         connectTimeout,
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
