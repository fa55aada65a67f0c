// Package soak runs entry hosts as processes against the stand-in platform and injects
// random faults from outside: signals, a loopback proxy in front of the store, and failures
// of the store and of workers. It checks what callers and workers observe.
package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// mode is how a proxy handles connections.
type mode int

const (
	// forward passes everything on.
	forward mode = iota
	// slow delays each chunk of bytes, in both directions.
	slow
	// reset resets all connections and closes new ones at once.
	reset
	// oneWay forwards requests and discards answers.
	oneWay
	// silent accepts connections and discards the bytes of both directions.
	silent
	// modeCount is the number of modes.
	modeCount
)

var modeNames = [...]string{"pass", "slow", "reset", "one way", "silent"}

const (
	// slowDelay is the delay of each chunk in slow mode.
	slowDelay = 150 * time.Millisecond
	// proxyBuffer is the most bytes forwarded at once.
	proxyBuffer = 32 << 10
)

// proxy is a TCP proxy between an entry host and the store.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listening for the proxy")
	}
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string {
	return p.listener.Addr().String()
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// setMode changes the mode. A connection that has lost bytes never works again; only new
// ones do.
func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m != reset {
		return
	}
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == reset {
			_ = c.Close()
			continue
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(c net.Conn) {
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[t] = true, true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.forwardBytes(t, c, silent) })
	wg.Go(func() { p.forwardBytes(c, t, oneWay) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, t)
	p.mu.Unlock()
}

// forwardBytes forwards bytes until the connection breaks. Silent mode discards them, and so
// does oneWay if lossMode is oneWay, the direction of the answers. Once bytes were discarded,
// the direction discards all that follow.
func (p *proxy) forwardBytes(dst, src net.Conn, lossMode mode) {
	defer func() { _ = dst.Close() }()
	b := make([]byte, proxyBuffer)
	isDiscarding := false
	for {
		n, err := src.Read(b)
		if err != nil {
			return
		}
		m := p.currentMode()
		isDiscarding = isDiscarding || m == silent || (m == oneWay && lossMode == oneWay)
		switch {
		case isDiscarding:
			continue
		case m == slow:
			time.Sleep(slowDelay)
		}
		if _, err := io.Writer(dst).Write(b[:n]); err != nil {
			return
		}
	}
}
