package deployment

import (
	"context"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// errOff is returned for connections of a host that was killed.
var errOff = eris.New("host is off")

// dialFunc opens a connection to an address.
type dialFunc func(ctx context.Context, address string) (net.Conn, error)

// power is what keeps a host's connections up. Switching it off closes all of
// them at once and lets no new one open, as when the machine is gone.
type power struct {
	mu        sync.Mutex
	off       bool
	conns     map[net.Conn]struct{}
	listeners []net.Listener
}

func newPower() *power {
	return &power{conns: make(map[net.Conn]struct{})}
}

// listener returns a listener whose connections the power keeps up.
func (p *power) listener(l net.Listener) net.Listener {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listeners = append(p.listeners, l)
	return &poweredListener{Listener: l, power: p}
}

// dialer returns a dialer whose connections the power keeps up.
func (p *power) dialer(dial dialFunc) dialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		c, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return p.keep(c)
	}
}

func (p *power) keep(c net.Conn) (net.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.off {
		_ = c.Close()
		return nil, errOff
	}
	k := &poweredConn{Conn: c, power: p}
	p.conns[k] = struct{}{}
	return k, nil
}

func (p *power) forget(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// switchOff closes everything.
func (p *power) switchOff() {
	p.mu.Lock()
	conns := p.conns
	p.conns = make(map[net.Conn]struct{})
	p.off = true
	p.mu.Unlock()
	for _, l := range p.listeners {
		_ = l.Close()
	}
	for c := range conns {
		_ = c.Close()
	}
}

// poweredListener accepts connections that the power keeps up.
type poweredListener struct {
	net.Listener
	power *power
}

// Accept returns the next connection.
func (l *poweredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.power.keep(c)
}

// poweredConn is a connection that the power keeps up.
type poweredConn struct {
	net.Conn
	power *power
}

// Close closes the connection.
func (c *poweredConn) Close() error {
	c.power.forget(c)
	return c.Conn.Close()
}
