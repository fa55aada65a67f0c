// Package platform is the entry host's side of the platform's services: clients
// over HTTP and the tasks that own them.
package platform

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
)

// Errors of the platform's services.
var (
	// ErrUnavailable means that the service did nothing.
	ErrUnavailable = eris.New("platform unavailable")
	// ErrUncertain means that the service may have done what it was asked.
	ErrUncertain = eris.New("platform gave no answer")
	// ErrForgotten means that the log no longer keeps the records asked for.
	ErrForgotten = eris.New("records are no longer kept")
	// ErrEndMovedBack means that a stream ends before records that were read.
	ErrEndMovedBack = eris.New("the log's end moved back")
	// ErrRefused means that the service refused the request itself.
	ErrRefused = eris.New("platform refused")
)

// Limits of the client.
const (
	// MaxAnswerBytes bounds one answer of the platform.
	MaxAnswerBytes = 32 << 20
	// CallTimeout bounds a call that does not wait.
	CallTimeout = 3 * time.Second
)

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Client calls the platform's services.
type Client struct {
	address string
	http    *fasthttp.HostClient
}

// NewClient returns a client of the platform at the address. The client sends
// each request once: the library's own retries are switched off.
func NewClient(address string, dial DialFunc) *Client {
	return &Client{
		address: address,
		http: &fasthttp.HostClient{
			Addr: address,
			Dial: func(a string) (net.Conn, error) {
				ctx, cancel := context.WithTimeout(context.Background(), CallTimeout)
				defer cancel()
				return dial(ctx, a)
			},
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			MaxResponseBodySize:       MaxAnswerBytes,
			NoDefaultUserAgentHeader:  true,
			MaxIdleConnDuration:       10 * time.Second,
		},
	}
}

// Batch is what a read of a stream returned.
type Batch struct {
	First  journal.Offset
	End    journal.Offset
	Oldest journal.Offset
	// Records are encoded; the first has the offset First.
	Records []json.RawMessage
	// Relayed is set for records that came from a peer.
	Relayed bool `json:"-"`
	// Fault is set if the log contradicts what it said before.
	Fault error `json:"-"`
}

// appendRequest is the body of an append.
type appendRequest struct {
	Records []json.RawMessage
}

// appendAnswer is the answer to an append.
type appendAnswer struct {
	First journal.Offset
}

// Append adds encoded records to a stream and returns the offset of the first.
// After ErrUncertain the records may or may not be in the stream.
func (c *Client) Append(stream journal.StreamID, records []json.RawMessage) (journal.Offset, error) {
	var a appendAnswer
	err := c.call(fasthttp.MethodPost, "/log/streams/"+string(stream)+"/records", appendRequest{Records: records}, &a, CallTimeout)
	return a.First, err
}

// Read returns records of a stream from the offset on and waits for the first
// one at most as long as given.
func (c *Client) Read(stream journal.StreamID, from journal.Offset, limit int, wait time.Duration) (Batch, error) {
	path := "/log/streams/" + string(stream) + "/records?From=" + strconv.FormatInt(int64(from), 10) +
		"&Max=" + strconv.Itoa(limit) + "&WaitMilliseconds=" + strconv.FormatInt(wait.Milliseconds(), 10)
	var b Batch
	err := c.call(fasthttp.MethodGet, path, nil, &b, wait+CallTimeout)
	return b, err
}

// Hosts returns what changed in the host list since the known version, or the
// whole list.
func (c *Client) Hosts(known int64) (inventory.HostListUpdate, error) {
	var u inventory.HostListUpdate
	err := c.call(fasthttp.MethodGet, "/hosts?Known="+strconv.FormatInt(known, 10), nil, &u, CallTimeout)
	return u, err
}

// call sends one request and decodes the answer. The error tells whether the
// service may have acted.
func (c *Client) call(method, path string, body, into any, timeout time.Duration) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.address + path)
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return eris.Wrapf(err, "encoding the body of %s %s", method, path)
		}
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(b)
	}
	if err := c.http.DoTimeout(req, resp, timeout); err != nil {
		return eris.Wrapf(ErrUncertain, "%s %s: %s", method, path, err)
	}
	return decode(resp, into, method+" "+path)
}

func decode(resp *fasthttp.Response, into any, what string) error {
	status := resp.StatusCode()
	if status == fasthttp.StatusOK || status == fasthttp.StatusGone {
		if err := json.Unmarshal(resp.Body(), into); err != nil {
			return eris.Wrapf(ErrUncertain, "%s: unreadable answer: %s", what, err)
		}
	}
	switch {
	case status == fasthttp.StatusOK:
		return nil
	case status == fasthttp.StatusGone:
		return eris.Wrapf(ErrForgotten, "%s", what)
	case status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusServiceUnavailable:
		return eris.Wrapf(ErrUnavailable, "%s: status %d", what, status)
	case status < 500 || status == fasthttp.StatusInsufficientStorage:
		return eris.Wrapf(ErrRefused, "%s: status %d: %s", what, status, resp.Body())
	}
	return eris.Wrapf(ErrUncertain, "%s: status %d", what, status)
}
