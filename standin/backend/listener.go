package backend

import (
	"net"
	"sync/atomic"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// limitListener counts open connections and marks those above the limit. Requests on a
// marked connection are refused without being executed.
type limitListener struct {
	net.Listener
	limit inventory.Connections
	open  atomic.Int64
}

// Accept returns the next connection and counts it until it is closed.
func (l *limitListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	n := l.open.Add(1)
	return &limitConn{Conn: c, listener: l, excess: n > int64(l.limit)}, nil
}

// limitConn is a connection that is counted until it is closed.
type limitConn struct {
	net.Conn
	listener *limitListener
	// excess is true if the connection was above the limit when it was accepted.
	excess bool
	closed atomic.Bool
}

// Close closes the connection and stops counting it. Further calls don't count twice.
func (c *limitConn) Close() error {
	if !c.closed.Swap(true) {
		c.listener.open.Add(-1)
	}
	return c.Conn.Close()
}

// isExcess reports whether the connection was above the limit when it was accepted.
func isExcess(c net.Conn) bool {
	l, ok := c.(*limitConn)
	return ok && l.excess
}
