package listener

import (
	"net"
	"net/http"
	"net/netip"
	"sync"

	"github.com/godwitcross/godwitcross/entry/settings"
)

// BoundHTTP applies the limits to a server of the standard library.
func BoundHTTP(s *http.Server, l settings.Limits) {
	s.MaxHeaderBytes = l.HeaderBytes
	s.ReadHeaderTimeout = l.HeaderTimeout
	s.ReadTimeout = l.HeaderTimeout + l.BodyTimeout
	s.WriteTimeout = l.HeaderTimeout + l.BodyTimeout + l.ResponseTimeout
	s.IdleTimeout = l.IdleTimeout
}

// Bounded is a listener that closes a new connection at once if it exceeds the
// bounds. It is for servers that do not limit connections themselves.
type Bounded struct {
	net.Listener
	maxTotal, maxPerAddress int

	mu sync.Mutex
	// openByAddress counts the open connections of each address; no value is below 1.
	openByAddress map[netip.Addr]int
	openTotal     int
}

// NewBounded returns a listener with the connection bounds of the limits.
func NewBounded(l net.Listener, limits settings.Limits) *Bounded {
	return &Bounded{Listener: l, maxTotal: limits.Connections, maxPerAddress: limits.ConnectionsPerAddress, openByAddress: make(map[netip.Addr]int)}
}

// Accept returns the next connection within the bounds and closes those beyond
// them.
func (b *Bounded) Accept() (net.Conn, error) {
	for {
		c, err := b.Listener.Accept()
		if err != nil {
			return nil, err
		}
		from := remoteAddress(c)
		if b.acquire(from) {
			return &countedConn{Conn: c, release: sync.OnceFunc(func() { b.release(from) })}, nil
		}
		_ = c.Close()
	}
}

// Open returns the number of open connections.
func (b *Bounded) Open() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.openTotal
}

func (b *Bounded) acquire(a netip.Addr) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.openTotal >= b.maxTotal || b.openByAddress[a] >= b.maxPerAddress {
		return false
	}
	b.openTotal++
	b.openByAddress[a]++
	return true
}

func (b *Bounded) release(a netip.Addr) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.openTotal--
	b.openByAddress[a]--
	if b.openByAddress[a] == 0 {
		delete(b.openByAddress, a)
	}
}

func remoteAddress(c net.Conn) netip.Addr {
	a, err := netip.ParseAddrPort(c.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return a.Addr().Unmap()
}

// countedConn is a connection that releases its place in the listener's count when
// it is closed.
type countedConn struct {
	net.Conn
	release func()
}

// Close closes the connection and releases its place.
func (c *countedConn) Close() error {
	c.release()
	return c.Conn.Close()
}
