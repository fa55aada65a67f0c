package backend

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// maxProvenAge is how long after its last answer an idle connection is trusted.
const maxProvenAge = 5 * time.Second

// Pool holds the idle connections to backend servers by address.
type Pool struct {
	dial DialFunc
	mu   sync.Mutex
	// idle holds connections with nothing outstanding, last used last.
	idle map[string][]*Conn
}

// NewPool returns a pool without connections.
func NewPool(dial DialFunc) *Pool {
	return &Pool{dial: dial, idle: make(map[string][]*Conn)}
}

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
}

// Do sends the request once. The error is ErrNotSent or ErrNoAnswer.
func (p *Pool) Do(ctx context.Context, r Request, now time.Time) error {
	c, err := p.take(ctx, r, now)
	if err != nil {
		return err
	}
	if err := c.Do(r.Message, r.Answer, r.MaxBody, r.Deadline); err != nil {
		c.Close()
		return err
	}
	if r.Answer.ConnectionClose() || c.r.Buffered() > 0 {
		c.Close()
		return nil
	}
	c.proven = time.Now()
	p.put(r.Address, c)
	return nil
}

func (p *Pool) take(ctx context.Context, r Request, now time.Time) (*Conn, error) {
	if !r.Fresh {
		if c := p.takeIdle(r.Address, now); c != nil {
			return c, nil
		}
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	return openConn(ctx, p.dial, r.Address, now)
}

func (p *Pool) takeIdle(address string, now time.Time) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	if now.Sub(c.proven) <= maxProvenAge {
		p.idle[address] = list[:len(list)-1]
		return c
	}
	for _, old := range list {
		old.Close()
	}
	delete(p.idle, address)
	return nil
}

func (p *Pool) put(address string, c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[address] = append(p.idle[address], c)
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, c := range list {
			c.Close()
		}
	}
	clear(p.idle)
}
