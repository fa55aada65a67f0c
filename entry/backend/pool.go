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
	// maxIdleAge is how long after its last answer an idle connection may be used again.
	maxIdleAge = 5 * time.Second
	// reuseDelay is how long a connection stays unused after an answer. Bytes that arrive
	// meanwhile belong to no request, and the connection is then closed.
	reuseDelay = 2 * time.Millisecond
	// connectTimeout bounds the opening of a connection: many times the latency between
	// data centres of a region.
	connectTimeout = 300 * time.Millisecond
	// HeaderNotRun is set by a backend server that refused a request without any effect.
	HeaderNotRun = "Not-Run"
	// notRunValue is the value of HeaderNotRun.
	notRunValue = "true"
)

// Request has the parameters of one request to a backend server.
type Request struct {
	Address string
	Message *fasthttp.Request
	Answer  *fasthttp.Response
	// MaxBody is the largest body of the answer, in bytes.
	MaxBody  int
	Deadline time.Time
	// Transfer lets an answer that arrives slowly go on after Deadline.
	Transfer Transfer
	// NewConnection requires a new connection.
	NewConnection bool
	// Connections bounds the open connections to the address; 0 is no bound.
	Connections inventory.Connections
}

// Transfer bounds an answer by its progress. Its zero value bounds it by the deadline of the request alone.
type Transfer struct {
	// Stall is how long an answer that has begun may bring no byte, also after the deadline.
	Stall time.Duration
	// EndBy is when the answer must be complete.
	EndBy time.Time
	// OnBytes is called with the number of bytes of the answer each time some have arrived. It may be nil.
	OnBytes func(n int)
}

// extend returns the deadline of an answer of which bytes arrived at now.
func (t Transfer) extend(deadline, now time.Time) time.Time {
	if next := now.Add(t.Stall); next.After(deadline) {
		deadline = next
	}
	if deadline.After(t.EndBy) {
		return t.EndBy
	}
	return deadline
}

// Timing configures when a pool reuses a connection.
type Timing struct {
	// ReuseDelay is how long a connection stays unused after an answer.
	ReuseDelay time.Duration
	// MaxIdleAge is how long after its last answer an idle connection may be used again.
	MaxIdleAge time.Duration
}

// Pool holds the connections to backend servers by address. It is safe for concurrent use.
type Pool struct {
	dial   DialFunc
	timing Timing
	mu     sync.Mutex
	// idle holds connections without an outstanding request, least recently used first;
	// open counts these and the busy ones. Both are guarded by mu.
	idle map[string][]*Conn
	open map[string]inventory.Connections
}

// NewPool returns an empty pool with the timing for callers' requests.
func NewPool(dial DialFunc) *Pool {
	return NewPoolWithTiming(dial, Timing{ReuseDelay: reuseDelay, MaxIdleAge: maxIdleAge})
}

// NewPoolWithTiming returns an empty pool with the given timing.
func NewPoolWithTiming(dial DialFunc, timing Timing) *Pool {
	return &Pool{dial: dial, timing: timing, idle: make(map[string][]*Conn), open: make(map[string]inventory.Connections)}
}

// Do makes one attempt and returns its result. The error is the cause of a failed attempt,
// for the log.
func (p *Pool) Do(ctx context.Context, r Request, now time.Time) (dispatch.AttemptResult, error) {
	err := p.Send(ctx, r, now)
	switch {
	case errors.Is(err, ErrNotSent):
		return dispatch.AttemptResult{Result: retry.ResultNotSent}, err
	case err != nil:
		return dispatch.AttemptResult{Result: retry.ResultNoAnswer}, err
	}
	return classify(r.Answer), nil
}

// Send makes one attempt and reads the complete answer. The error wraps ErrNotSent or
// ErrNoAnswer. An attempt that reaches its deadline also closes the idle connections to the
// address. The end of ctx ends an attempt with a Transfer at once.
func (p *Pool) Send(ctx context.Context, r Request, now time.Time) error {
	c, err := p.acquire(ctx, r, now)
	if err != nil {
		return err
	}
	isInterrupted := func() bool { return false }
	if r.Transfer.Stall > 0 {
		stop := context.AfterFunc(ctx, c.interrupt)
		isInterrupted = func() bool { return !stop() }
	}
	if err := c.Do(r.Message, r.Answer, r.MaxBody, r.Deadline, r.Transfer); err != nil {
		c.Abort()
		p.release(r.Address)
		if timedOut := !isInterrupted() && !time.Now().Before(c.in.deadline); timedOut {
			p.closeIdle(r.Address)
		}
		return err
	}
	if isInterrupted() || r.Answer.ConnectionClose() || c.r.Buffered() > 0 {
		p.discard(r.Address, c)
		return nil
	}
	c.lastAnswer = time.Now()
	p.putIdle(r.Address, c)
	return nil
}

// classify distinguishes an answer from a refusal without effect and detects whether the
// server announces that it is leaving.
func classify(a *fasthttp.Response) dispatch.AttemptResult {
	refused := a.StatusCode() == fasthttp.StatusServiceUnavailable && string(a.Header.Peek(HeaderNotRun)) == notRunValue
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

// acquire returns an idle connection, or opens one within the bound of the request.
func (p *Pool) acquire(ctx context.Context, r Request, now time.Time) (*Conn, error) {
	if !r.NewConnection {
		if c := p.takeIdle(r.Address, now); c != nil {
			return c, nil
		}
	}
	if !p.reserve(r.Address, r.Connections) {
		return nil, eris.Wrapf(ErrNotSent, "all %d connections to %s are in use", r.Connections, r.Address)
	}
	deadline := r.Deadline
	if end := now.Add(connectTimeout); end.Before(deadline) {
		deadline = end
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	c, err := openConn(ctx, p.dial, r.Address, now)
	if err != nil {
		p.release(r.Address)
	}
	return c, err
}

// reserve counts one more open connection. At the limit it closes the oldest idle one, and
// reports false if there is none.
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

// release counts one open connection less.
func (p *Pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[address]--
	if p.open[address] <= 0 {
		delete(p.open, address)
	}
}

func (p *Pool) discard(address string, c *Conn) {
	c.Close()
	p.release(address)
}

// takeIdle returns the least recently used idle connection, unless its last answer is
// younger than ReuseDelay. Connections that are older than MaxIdleAge or not reusable are closed.
func (p *Pool) takeIdle(address string, now time.Time) *Conn {
	for {
		c := p.popIdle(address, now.Add(-p.timing.ReuseDelay))
		if c == nil {
			return nil
		}
		if now.Sub(c.lastAnswer) <= p.timing.MaxIdleAge && c.isReusable() {
			return c
		}
		p.discard(address, c)
	}
}

// popIdle removes and returns the first idle connection, unless its last answer came after
// the given time.
func (p *Pool) popIdle(address string, before time.Time) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 || list[0].lastAnswer.After(before) {
		return nil
	}
	c := list[0]
	p.idle[address] = slices.Delete(list, 0, 1)
	return c
}

func (p *Pool) putIdle(address string, c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[address] = append(p.idle[address], c)
}

// closeIdle closes the idle connections to an address. When one connection times out, the
// others are suspected to be broken too.
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

// CloseExpired closes idle connections that are too old to be used again.
func (p *Pool) CloseExpired(now time.Time) {
	for _, address := range p.addresses() {
		oldest := now.Add(-p.timing.MaxIdleAge)
		for c := p.popIdle(address, oldest); c != nil; c = p.popIdle(address, oldest) {
			p.discard(address, c)
		}
	}
}

// addresses returns the addresses that have idle connections.
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
