package relay

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/entry/backend"
	"github.com/godwitcross/godwitcross/entry/store"
)

const (
	// callTimeout bounds a call that asks nothing of the store: many times the way
	// between data centres.
	callTimeout = 500 * time.Millisecond
	// storeTimeout bounds a call that the other host passes on to the store, whose own
	// bound is below it.
	storeTimeout = 1500 * time.Millisecond
	// coalesceTimeout bounds an append that a host gathers while the store is slow: the wait
	// for a place in the stream, and the answer.
	coalesceTimeout = 2800 * time.Millisecond
	// relayedWait and relayedReadTimeout bound a read that another host passes on: the next
	// try of the direct path must not wait for a host that is cut off too.
	relayedWait        = 300 * time.Millisecond
	relayedReadTimeout = 600 * time.Millisecond
	// maxAnswer bounds an answer; a page of the store has up to 2 MiB.
	maxAnswer = 16 << 20
	// maxConnections bounds the connections to one entry host.
	maxConnections = 16
)

// Client asks other entry hosts.
type Client struct {
	pool *backend.Pool
}

// NewClient returns a client over the connections of a pool.
func NewClient(pool *backend.Pool) *Client {
	return &Client{pool: pool}
}

// call sends one request. ErrNoPeer says that there was no answer; sent tells
// whether the other host may have done what it was asked.
func (c *Client) call(ctx context.Context, p Peer, path string, in, out any, timeout time.Duration) (sent bool, err error) {
	body, err := json.Marshal(in)
	if err != nil {
		return false, eris.Wrap(err, "encode")
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(path)
	req.Header.SetHost(p.Address)
	req.Header.SetContentType("application/json")
	req.SetBody(body)
	now := time.Now()
	deadline := now.Add(timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	err = c.pool.Send(ctx, backend.Request{
		Address: p.Address, Message: req, Answer: resp, MaxBody: maxAnswer, Deadline: deadline, Connections: maxConnections,
	}, now)
	if err != nil {
		return !errors.Is(err, backend.ErrNotSent), eris.Wrapf(ErrNoPeer, "%s%s: %s", p.Name, path, err)
	}
	var r reply
	if err := json.Unmarshal(resp.Body(), &r); err != nil {
		return true, eris.Wrapf(ErrNoPeer, "%s%s: status %d: %s", p.Name, path, resp.StatusCode(), err)
	}
	if r.Body != nil && out != nil {
		if err := json.Unmarshal(r.Body, out); err != nil {
			return true, eris.Wrapf(ErrNoPeer, "%s%s: %s", p.Name, path, err)
		}
	}
	if r.Error != "" {
		if sentinel, ok := sentinels[r.Error]; ok {
			return true, sentinel
		}
		return true, eris.Wrapf(ErrNoPeer, "%s%s: %s", p.Name, path, r.Error)
	}
	return true, nil
}

// State asks for a job's state.
func (c *Client) State(ctx context.Context, p Peer, r StateRequest) (StateAnswer, error) {
	var a StateAnswer
	_, err := c.call(ctx, p, pathState, r, &a, callTimeout)
	return a, err
}

// Waiting asks how many jobs of a queue wait.
func (c *Client) Waiting(ctx context.Context, p Peer, r WaitingRequest) (WaitingAnswer, error) {
	var a WaitingAnswer
	_, err := c.call(ctx, p, pathWaiting, r, &a, callTimeout)
	return a, err
}

// Hello tells another host that this one is there.
func (c *Client) Hello(ctx context.Context, p, self Peer) error {
	_, err := c.call(ctx, p, pathHello, self, nil, callTimeout)
	return err
}

// Append has another host append to the store.
func (c *Client) Append(ctx context.Context, p Peer, a store.Append) (store.Appended, error) {
	return c.append(ctx, p, a, storeTimeout)
}

// AppendCoalesced has another host append to a slow store, together with what others bring.
func (c *Client) AppendCoalesced(ctx context.Context, p Peer, a store.Append) (store.Appended, error) {
	return c.append(ctx, p, a, coalesceTimeout)
}

func (c *Client) append(ctx context.Context, p Peer, a store.Append, timeout time.Duration) (store.Appended, error) {
	var out store.Appended
	sent, err := c.call(ctx, p, pathAppend, a, &out, timeout)
	if errors.Is(err, ErrNoPeer) {
		if sent {
			return out, eris.Wrap(store.ErrUnknown, err.Error())
		}
		return out, eris.Wrap(store.ErrUnavailable, err.Error())
	}
	return out, err
}

// Read has another host read from the store.
func (c *Client) Read(ctx context.Context, p Peer, r ReadRequest) (store.Page, error) {
	var out store.Page
	r.Wait = min(r.Wait, relayedWait)
	_, err := c.call(ctx, p, pathRead, r, &out, r.Wait+relayedReadTimeout)
	if errors.Is(err, ErrNoPeer) {
		return out, eris.Wrap(store.ErrUnavailable, err.Error())
	}
	return out, err
}

// Newest has another host read the newest records from the store.
func (c *Client) Newest(ctx context.Context, p Peer, r NewestRequest) (store.Page, error) {
	var out store.Page
	_, err := c.call(ctx, p, pathNewest, r, &out, 2*storeTimeout)
	if errors.Is(err, ErrNoPeer) {
		return out, eris.Wrap(store.ErrUnavailable, err.Error())
	}
	return out, err
}
