package backend

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/fleet/dispatch"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/retry"
	"github.com/godwitcross/godwitcross/fleet/routing"
)

const (
	// maxProvenAge is how long after its last answer an idle connection is trusted.
	maxProvenAge = 5 * time.Second
	// restTime is how long a connection is left alone after an answer. What comes
	// meanwhile was asked for by nobody, and the connection is not used again.
	restTime = 2 * time.Millisecond
	// connectTime bounds the opening of a connection; many times the way between
	// data centres of a region.
	connectTime = 300 * time.Millisecond
	// HeaderNotRun is set by a backend server that refused without any effect.
	HeaderNotRun = "Not-Run"
	// notRunTrue is the value of HeaderNotRun.
	notRunTrue = "true"
)

// Request is one request to a backend server.
type Request struct {
	Address string
	Message *fasthttp.Request
	Answer  *fasthttp.Response
	// MaxBody is the largest body of the answer, in bytes.
	MaxBody  int
	Deadline time.Time
	// Fresh asks for a connection that nothing was sent on yet.
	Fresh bool
	// Connections bounds the open connections to the address.
	Connections inventory.Connections
}

// Timing says when a pool uses a connection again.
type Timing struct {
	// Rest is how long a connection is left alone after an answer.
	Rest time.Duration
	// MaxProvenAge is how long after its last answer an idle connection is trusted.
	MaxProvenAge time.Duration
}

// Pool holds the connections to backend servers by address.
type Pool struct {
	dial   DialFunc
	timing Timing
	mu     sync.Mutex
	// idle holds connections with nothing outstanding, in the order in which they
	// were last used; open counts those and the busy ones. Both are guarded by mu.
	idle map[string][]*Conn
	open map[string]inventory.Connections
}

// NewPool returns a pool without connections for requests of callers.
func NewPool(dial DialFunc) *Pool {
	return NewPoolWith(dial, Timing{Rest: restTime, MaxProvenAge: maxProvenAge})
}

// NewPoolWith returns a pool without connections with other times.
func NewPoolWith(dial DialFunc, timing Timing) *Pool {
	return &Pool{dial: dial, timing: timing, idle: make(map[string][]*Conn), open: make(map[string]inventory.Connections)}
}

// Do sends the request once and tells how that ended.
func (p *Pool) Do(ctx context.Context, r Request, now time.Time) (dispatch.AttemptResult, error) {
	err := p.Send(ctx, r, now)
	switch {
	case errors.Is(err, ErrNotSent):
		return dispatch.AttemptResult{Result: retry.ResultNotSent}, err
	case err != nil:
		return dispatch.AttemptResult{Result: retry.ResultNoAnswer}, err
	}
	return judge(r.Answer), nil
}

// Send sends the request once and reads the whole answer. The error is
// ErrNotSent or ErrNoAnswer.
func (p *Pool) Send(ctx context.Context, r Request, now time.Time) error {
	c, err := p.take(ctx, r, now)
	if err != nil {
		return err
	}
	if err := c.Do(r.Message, r.Answer, r.MaxBody, r.Deadline); err != nil {
		c.Abort()
		p.forget(r.Address)
		if isSilent := !time.Now().Before(r.Deadline); isSilent {
			p.closeIdle(r.Address)
		}
		return err
	}
	if r.Answer.ConnectionClose() || c.r.Buffered() > 0 {
		p.discard(r.Address, c)
		return nil
	}
	c.proven = time.Now()
	p.put(r.Address, c)
	return nil
}

// judge tells an answer from a refusal and reads the signs of leaving.
func judge(a *fasthttp.Response) dispatch.AttemptResult {
	refused := a.StatusCode() == fasthttp.StatusServiceUnavailable && string(a.Header.Peek(HeaderNotRun)) == notRunTrue
	switch {
	case refused && a.ConnectionClose():
		return dispatch.AttemptResult{Result: retry.ResultRefused, LeavingSign: routing.LeavingSignRefusal}
	case refused:
		return dispatch.AttemptResult{Result: retry.ResultRefused}
	case a.ConnectionClose():
		return dispatch.AttemptResult{Result: retry.ResultAnswered, LeavingSign: routing.LeavingSignHeader}
	}
	return dispatch.AttemptResult{Result: retry.ResultAnswered}
}

func (p *Pool) take(ctx context.Context, r Request, now time.Time) (*Conn, error) {
	if !r.Fresh {
		if c := p.takeIdle(r.Address, now); c != nil {
			return c, nil
		}
	}
	if !p.reserve(r.Address, r.Connections) {
		return nil, eris.Wrapf(ErrNotSent, "all %d connections to %s are in use", r.Connections, r.Address)
	}
	deadline := r.Deadline
	if end := now.Add(connectTime); end.Before(deadline) {
		deadline = end
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	c, err := openConn(ctx, p.dial, r.Address, now)
	if err != nil {
		p.forget(r.Address)
	}
	return c, err
}

// reserve counts one more connection, in place of an idle one at the bound.
func (p *Pool) reserve(address string, limit inventory.Connections) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit > 0 && p.open[address] >= limit {
		list := p.idle[address]
		if len(list) == 0 {
			return false
		}
		list[0].Close()
		p.idle[address] = list[1:]
		p.open[address]--
	}
	p.open[address]++
	return true
}

func (p *Pool) forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[address]--
	if p.open[address] <= 0 {
		delete(p.open, address)
	}
}

func (p *Pool) discard(address string, c *Conn) {
	c.Close()
	p.forget(address)
}

// takeIdle returns the idle connection that has rested longest, if its server
// answered a short time ago and nothing came since.
func (p *Pool) takeIdle(address string, now time.Time) *Conn {
	for {
		c := p.popIdle(address, now.Add(-p.timing.Rest))
		if c == nil {
			return nil
		}
		if now.Sub(c.proven) <= p.timing.MaxProvenAge && c.isQuiet() {
			return c
		}
		p.discard(address, c)
	}
}

// popIdle takes out the first idle connection if it was last used before the moment.
func (p *Pool) popIdle(address string, before time.Time) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 || list[0].proven.After(before) {
		return nil
	}
	c := list[0]
	p.idle[address] = slices.Delete(list, 0, 1)
	return c
}

func (p *Pool) put(address string, c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[address] = append(p.idle[address], c)
}

// closeIdle closes the idle connections to an address: when one was silent, its
// siblings are suspected.
func (p *Pool) closeIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		c.Close()
		p.open[address]--
	}
	delete(p.idle, address)
	if p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// Sweep closes idle connections that are too old to be trusted.
func (p *Pool) Sweep(now time.Time) {
	for _, address := range p.addresses() {
		oldest := now.Add(-p.timing.MaxProvenAge)
		for c := p.popIdle(address, oldest); c != nil; c = p.popIdle(address, oldest) {
			p.discard(address, c)
		}
	}
}

// addresses returns those that have idle connections.
func (p *Pool) addresses() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]string, 0, len(p.idle))
	for address, list := range p.idle {
		if len(list) == 0 {
			delete(p.idle, address)
			continue
		}
		out = append(out, address)
	}
	return out
}

// Close closes all idle connections.
func (p *Pool) Close() {
	for _, address := range p.addresses() {
		p.closeIdle(address)
	}
}
