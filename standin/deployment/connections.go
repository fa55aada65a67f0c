package deployment

import (
	"context"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// errHostKilled is returned for new connections of a host that was killed.
var errHostKilled = eris.New("host was killed")

// dialFunc opens a connection to an address.
type dialFunc func(ctx context.Context, address string) (net.Conn, error)

// connectionTracker tracks the connections and listeners of a host. closeAll closes all of
// them at once and prevents new connections, as when the host loses power.
type connectionTracker struct {
	mu sync.Mutex
	// isClosed makes track fail.
	isClosed  bool
	conns     map[net.Conn]struct{}
	listeners []net.Listener
}

func newConnectionTracker() *connectionTracker {
	return &connectionTracker{conns: make(map[net.Conn]struct{})}
}

// trackListener returns a listener that tracks the connections it accepts.
func (t *connectionTracker) trackListener(l net.Listener) net.Listener {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listeners = append(t.listeners, l)
	return &trackedListener{Listener: l, tracker: t}
}

// trackDialer returns a dialer that tracks the connections it opens.
func (t *connectionTracker) trackDialer(dial dialFunc) dialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		c, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return t.track(c)
	}
}

// track returns the connection in a form that leaves the tracker when it is closed. It closes
// the connection and fails if the host was killed.
func (t *connectionTracker) track(c net.Conn) (net.Conn, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isClosed {
		_ = c.Close()
		return nil, errHostKilled
	}
	tracked := &trackedConn{Conn: c, tracker: t}
	t.conns[tracked] = struct{}{}
	return tracked, nil
}

func (t *connectionTracker) untrack(c net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

// closeAll closes all listeners and connections.
func (t *connectionTracker) closeAll() {
	t.mu.Lock()
	conns := t.conns
	t.conns = make(map[net.Conn]struct{})
	t.isClosed = true
	t.mu.Unlock()
	for _, l := range t.listeners {
		_ = l.Close()
	}
	for c := range conns {
		_ = c.Close()
	}
}

// trackedListener tracks the connections that it accepts.
type trackedListener struct {
	net.Listener
	tracker *connectionTracker
}

// Accept returns the next connection.
func (l *trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.tracker.track(c)
}

// trackedConn is a tracked connection.
type trackedConn struct {
	net.Conn
	tracker *connectionTracker
}

// Close closes the connection and stops tracking it.
func (c *trackedConn) Close() error {
	c.tracker.untrack(c)
	return c.Conn.Close()
}
