// Package network is the connections between hosts of one process, with cuts:
// a cut refuses new connections and makes open ones silent.
package network

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"
)

// ErrCut is returned for a connection across a cut.
var ErrCut = eris.New("network is cut")

// Zone is a part of the network, for example a data centre or the platform.
type Zone string

// link is one direction between two zones.
type link struct {
	from, to Zone
}

// Network knows the zone of each address and which zones are cut off.
type Network struct {
	mu    sync.Mutex
	zones map[string]Zone
	cuts  map[link]bool
	conns map[*conn]struct{}
}

// New returns a network without cuts.
func New() *Network {
	return &Network{zones: make(map[string]Zone), cuts: make(map[link]bool), conns: make(map[*conn]struct{})}
}

// Place puts an address into a zone.
func (n *Network) Place(address string, zone Zone) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[address] = zone
}

// Cut stops everything that goes from one zone to the other, in this direction.
func (n *Network) Cut(from, to Zone) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[link{from, to}] = true
}

// Heal ends a cut. Connections that went silent stay silent.
func (n *Network) Heal(from, to Zone) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, link{from, to})
}

// Silence makes all open connections to the address silent for good; new ones work.
func (n *Network) Silence(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.address == address {
			c.silence()
		}
	}
}

func (n *Network) isCut(from, to Zone) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[link{from, to}]
}

// Dialer returns a function that connects from a zone.
func (n *Network) Dialer(from Zone) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		n.mu.Lock()
		to := n.zones[address]
		n.mu.Unlock()
		if n.isCut(from, to) || n.isCut(to, from) {
			return nil, eris.Wrapf(ErrCut, "from %s to %s", from, to)
		}
		var d net.Dialer
		raw, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, eris.Wrapf(err, "connecting to %s", address)
		}
		c := &conn{Conn: raw, net: n, out: link{from, to}, address: address, silent: make(chan struct{})}
		n.mu.Lock()
		n.conns[c] = struct{}{}
		n.mu.Unlock()
		return c, nil
	}
}

// conn is a connection that a cut or a call of Silence makes silent.
type conn struct {
	net.Conn
	net     *Network
	out     link
	address string
	once    sync.Once
	// silent is closed when nothing passes any more.
	silent chan struct{}
}

func (c *conn) silence() {
	c.once.Do(func() { close(c.silent) })
}

func (c *conn) isSilent(l link) bool {
	if c.net.isCut(l.from, l.to) {
		c.silence()
	}
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// Write loses the bytes of a silent connection without an error.
func (c *conn) Write(b []byte) (int, error) {
	if c.isSilent(c.out) {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Read waits for its deadline on a silent connection.
func (c *conn) Read(b []byte) (int, error) {
	k, err := c.Conn.Read(b)
	if !c.isSilent(link{c.out.to, c.out.from}) {
		return k, err
	}
	if err != nil && !os.IsTimeout(err) {
		return 0, err
	}
	for err == nil {
		_, err = c.Conn.Read(b)
	}
	return 0, err
}

// SyscallConn gives access to the socket.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, eris.Errorf("connection to %s has no socket", c.address)
	}
	return s.SyscallConn()
}

// Close closes the connection.
func (c *conn) Close() error {
	c.net.mu.Lock()
	delete(c.net.conns, c)
	c.net.mu.Unlock()
	return c.Conn.Close()
}
