package listener

import (
	"net"
	"net/http"
	"net/netip"
	"sync"

	"github.com/godwitcross/godwitcross/entry/settings"
)

// BoundHTTP sets the limits on a server of the standard library.
func BoundHTTP(s *http.Server, l settings.Limits) {
	s.MaxHeaderBytes = l.HeaderBytes
	s.ReadHeaderTimeout = l.HeaderTime
	s.ReadTimeout = l.HeaderTime + l.BodyTime
	s.WriteTimeout = l.HeaderTime + l.BodyTime + l.AnswerTime
	s.IdleTimeout = l.IdleTime
}

// Bounded is a listener that closes connections beyond its bounds at once. It
// is for servers that do not count connections themselves.
type Bounded struct {
	net.Listener
	total, perAddress int

	mu sync.Mutex
	// open counts the open connections of each address; no value is below 1.
	open map[netip.Addr]int
	sum  int
}

// NewBounded returns a listener with the bounds of the limits.
func NewBounded(l net.Listener, limits settings.Limits) *Bounded {
	return &Bounded{Listener: l, total: limits.Connections, perAddress: limits.ConnectionsPerAddress, open: make(map[netip.Addr]int)}
}

// Accept returns the next connection that is within the bounds.
func (b *Bounded) Accept() (net.Conn, error) {
	for {
		c, err := b.Listener.Accept()
		if err != nil {
			return nil, err
		}
		from := address(c)
		if b.enter(from) {
			return &countedConn{Conn: c, leave: sync.OnceFunc(func() { b.leave(from) })}, nil
		}
		_ = c.Close()
	}
}

// Open returns the number of open connections.
func (b *Bounded) Open() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sum
}

func (b *Bounded) enter(a netip.Addr) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sum >= b.total || b.open[a] >= b.perAddress {
		return false
	}
	b.sum++
	b.open[a]++
	return true
}

func (b *Bounded) leave(a netip.Addr) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sum--
	b.open[a]--
	if b.open[a] == 0 {
		delete(b.open, a)
	}
}

func address(c net.Conn) netip.Addr {
	a, err := netip.ParseAddrPort(c.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return a.Addr().Unmap()
}

// countedConn leaves its listener's count when it is closed.
type countedConn struct {
	net.Conn
	leave func()
}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.leave()
	return c.Conn.Close()
}
