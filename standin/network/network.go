// Package network simulates network partitions between the hosts of one process. A cut
// refuses new connections and makes open ones silent: they stay open and lose all bytes.
package network

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"
)

// ErrCut is returned by a dial across a cut.
var ErrCut = eris.New("network is cut")

// Zone is a part of the network, for example a data centre or the platform.
type Zone string

// direction is the traffic from one zone to another.
type direction struct {
	from, to Zone
}

// Network holds the zone of each address, the cuts and the open connections.
type Network struct {
	mu    sync.Mutex
	zones map[string]Zone
	cuts  map[direction]bool
	conns map[*conn]struct{}
}

// New returns a network without cuts.
func New() *Network {
	return &Network{zones: make(map[string]Zone), cuts: make(map[direction]bool), conns: make(map[*conn]struct{})}
}

// Place puts an address into a zone.
func (n *Network) Place(address string, zone Zone) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[address] = zone
}

// Cut drops the traffic from one zone to the other, in this direction. An open connection
// that meets the cut becomes silent in both directions. New connections between the zones
// are refused from both sides.
func (n *Network) Cut(from, to Zone) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[direction{from, to}] = true
}

// Heal removes a cut. Connections that became silent stay silent.
func (n *Network) Heal(from, to Zone) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, direction{from, to})
}

// Silence makes all open connections to the address silent until they are closed; new ones
// work.
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
	return n.cuts[direction{from, to}]
}

// Dialer returns a dial function for clients in a zone.
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
		c := &conn{Conn: raw, network: n, outgoing: direction{from, to}, address: address, silent: make(chan struct{})}
		n.mu.Lock()
		n.conns[c] = struct{}{}
		n.mu.Unlock()
		return c, nil
	}
}

// conn is a connection that a cut or a call of Silence makes silent.
type conn struct {
	net.Conn
	network  *Network
	outgoing direction
	address  string
	once     sync.Once
	// silent is closed when the connection becomes silent.
	silent chan struct{}
}

func (c *conn) silence() {
	c.once.Do(func() { close(c.silent) })
}

// isSilent reports whether the connection is silent, and makes it silent if the direction is
// cut.
func (c *conn) isSilent(d direction) bool {
	if c.network.isCut(d.from, d.to) {
		c.silence()
	}
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// Write discards the bytes on a silent connection and returns no error.
func (c *conn) Write(b []byte) (int, error) {
	if c.isSilent(c.outgoing) {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Read discards what arrives on a silent connection and blocks until its deadline or an
// error.
func (c *conn) Read(b []byte) (int, error) {
	k, err := c.Conn.Read(b)
	if !c.isSilent(direction{c.outgoing.to, c.outgoing.from}) {
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

// SyscallConn returns the raw connection of the socket.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, eris.Errorf("connection to %s has no socket", c.address)
	}
	return s.SyscallConn()
}

// Close closes the connection and removes it from the network.
func (c *conn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}
