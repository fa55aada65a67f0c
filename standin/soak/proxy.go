// Package soak runs entry hosts as processes of their own on the platform's stand-in
// and injects random faults from outside: signals, a loopback proxy before the store,
// and a store and workers that misbehave. It checks what callers and workers see.
package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// mode is what a proxy does with connections.
type mode int

const (
	forward mode = iota
	// slow holds up each answer.
	slow
	// reset breaks all connections and refuses new ones.
	reset
	// oneWay takes requests and loses answers.
	oneWay
	// silent neither takes nor answers.
	silent
	modeCount
)

var modeNames = [...]string{"pass", "slow", "reset", "one way", "silent"}

const (
	// slowDelay is how long a slow proxy holds up what it passes on.
	slowDelay = 150 * time.Millisecond
	// proxyBuffer is how much is passed on at once.
	proxyBuffer = 32 << 10
)

// proxy stands between an entry host and the store.
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
		return nil, eris.Wrap(err, "listen for the proxy")
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

// setMode changes the mode. Connections that were silenced stay so: only new ones work.
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

// forwardBytes passes bytes on until the connection breaks; in the modes from lost on, they
// are lost and the connection never works again.
func (p *proxy) forwardBytes(dst, src net.Conn, lost mode) {
	defer func() { _ = dst.Close() }()
	b := make([]byte, proxyBuffer)
	isLost := false
	for {
		n, err := src.Read(b)
		if err != nil {
			return
		}
		m := p.currentMode()
		isLost = isLost || m == silent || (m == oneWay && lost == oneWay)
		switch {
		case isLost:
			continue
		case m == slow:
			time.Sleep(slowDelay)
		}
		if _, err := io.Writer(dst).Write(b[:n]); err != nil {
			return
		}
	}
}
