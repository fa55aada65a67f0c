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
	// callTimeout bounds a call that does not involve the store: many times the round trip
	// between data centres.
	callTimeout = 500 * time.Millisecond
	// storeTimeout bounds a call that the other host makes to the store with a shorter
	// timeout.
	storeTimeout = 1500 * time.Millisecond
	// coalesceTimeout bounds a coalesced append to a slow store. It covers the wait for the
	// append in flight and the answer.
	coalesceTimeout = 2800 * time.Millisecond
	// maxRelayedWait and relayedReadTimeout bound a relayed read. They are short because
	// the next try of the direct path must not wait for a peer that may be cut off too.
	maxRelayedWait     = 300 * time.Millisecond
	relayedReadTimeout = 600 * time.Millisecond
	// stallTime is how long the answer to a relayed read may bring no byte once it has begun, and maxTransferTime
	// bounds the whole answer: a page of the newest records, encoded, over a quarter of a small host's link.
	stallTime       = 900 * time.Millisecond
	maxTransferTime = 8 * time.Second
	// maxAnswer bounds an answer. A page of the store has up to 2 MiB.
	maxAnswer = 16 << 20
	// maxConnections bounds the connections to an entry host.
	maxConnections = 16
)

// Client calls other entry hosts.
type Client struct {
	pool *backend.Pool
}

// NewClient returns a client that takes its connections from a pool.
func NewClient(pool *backend.Pool) *Client {
	return &Client{pool: pool}
}

// call sends one request. The error is ErrNoPeer if there was no valid answer; sent then
// reports whether the other host may have carried the request out.
func (c *Client) call(ctx context.Context, p Peer, path string, in, out any, timeout time.Duration) (sent bool, err error) {
	return c.transfer(ctx, p, path, in, out, timeout, backend.Transfer{})
}

// read is a call whose answer may be large: timeout bounds the time until it begins.
func (c *Client) read(ctx context.Context, p Peer, path string, in, out any, timeout time.Duration) error {
	endBy := time.Now().Add(timeout + maxTransferTime)
	if d, ok := ctx.Deadline(); ok && d.Before(endBy) {
		endBy = d
	}
	_, err := c.transfer(ctx, p, path, in, out, timeout, backend.Transfer{Stall: stallTime, EndBy: endBy, OnBytes: store.OnBytes(ctx)})
	if errors.Is(err, ErrNoPeer) {
		return eris.Wrap(store.ErrUnavailable, err.Error())
	}
	return err
}

func (c *Client) transfer(ctx context.Context, p Peer, path string, in, out any, timeout time.Duration, t backend.Transfer) (sent bool, err error) {
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
		Address: p.Address, Message: req, Answer: resp, MaxBody: maxAnswer, Deadline: deadline, Transfer: t, Connections: maxConnections,
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

// State looks up a job's state.
func (c *Client) State(ctx context.Context, p Peer, r StateRequest) (StateAnswer, error) {
	var a StateAnswer
	_, err := c.call(ctx, p, pathState, r, &a, callTimeout)
	return a, err
}

// Waiting returns the number of waiting jobs of a queue.
func (c *Client) Waiting(ctx context.Context, p Peer, r WaitingRequest) (WaitingAnswer, error) {
	var a WaitingAnswer
	_, err := c.call(ctx, p, pathWaiting, r, &a, callTimeout)
	return a, err
}

// Hello announces this host to another one.
func (c *Client) Hello(ctx context.Context, p, self Peer) error {
	_, err := c.call(ctx, p, pathHello, self, nil, callTimeout)
	return err
}

// Leading asks a host whether it leads under a claim.
func (c *Client) Leading(ctx context.Context, p Peer, r LeadingRequest) (LeadingAnswer, error) {
	var a LeadingAnswer
	_, err := c.call(ctx, p, pathLeading, r, &a, callTimeout)
	return a, err
}

// Append appends to the store through another host.
func (c *Client) Append(ctx context.Context, p Peer, a store.Append) (store.Appended, error) {
	return c.append(ctx, p, a, storeTimeout)
}

// AppendCoalesced appends to a slow store through a host that coalesces appends of all
// hosts.
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

// Read reads from the store through another host.
func (c *Client) Read(ctx context.Context, p Peer, r ReadRequest) (store.Page, error) {
	var out store.Page
	r.Wait = min(r.Wait, maxRelayedWait)
	err := c.read(ctx, p, pathRead, r, &out, r.Wait+relayedReadTimeout)
	return out, err
}

// Newest reads a page of the newest record of each key through another host.
func (c *Client) Newest(ctx context.Context, p Peer, r NewestRequest) (store.Page, error) {
	var out store.Page
	err := c.read(ctx, p, pathNewest, r, &out, 2*storeTimeout)
	return out, err
}
