// Package platform is the entry host's adapter to the platform's services: an HTTP client
// and the tasks that read from the log, append to it and poll the host list. It speaks the
// interface of the product's own path, for the program entry. The package platform at the
// root is the adapter to the users' platform, for the program godwitcross.
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
	// ErrUnavailable means that the service did not process the request; it can be retried.
	ErrUnavailable = eris.New("platform unavailable")
	// ErrUncertain means that the service may have processed the request.
	ErrUncertain = eris.New("platform gave no answer")
	// ErrTruncated means that the log no longer retains the requested records.
	ErrTruncated = eris.New("records are no longer kept")
	// ErrEndMovedBack means that a stream now ends before records that were already read.
	ErrEndMovedBack = eris.New("the log's end moved back")
	// ErrRefused means that the service refused the request as invalid.
	ErrRefused = eris.New("platform refused")
)

// Limits of the client.
const (
	// MaxResponseBytes bounds one response body of the platform.
	MaxResponseBytes = 32 << 20
	// CallTimeout bounds a call; a long poll may take its wait time in addition.
	CallTimeout = 3 * time.Second
)

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Client calls the platform's services.
type Client struct {
	address string
	http    *fasthttp.HostClient
}

// NewClient returns a client of the platform at the address. The client sends each request
// once: the HTTP library's own retries are disabled.
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
			MaxResponseBodySize:       MaxResponseBytes,
			NoDefaultUserAgentHeader:  true,
			MaxIdleConnDuration:       10 * time.Second,
		},
	}
}

// Batch is the result of reading a stream. First, End and Oldest are the offsets of the
// first returned record, of the stream's end and of the oldest retained record.
type Batch struct {
	First  journal.Offset
	End    journal.Offset
	Oldest journal.Offset
	// Records are encoded.
	Records []json.RawMessage
	// Relayed is set for records that came from a peer, not from the log itself.
	Relayed bool `json:"-"`
	// Fault is set if the log is inconsistent with earlier reads.
	Fault error `json:"-"`
}

// appendRequest is the request body of an append.
type appendRequest struct {
	Records []json.RawMessage
}

// appendResponse is the response body of an append.
type appendResponse struct {
	First journal.Offset
}

// Append appends encoded records to a stream and returns the offset of the first.
// After ErrUncertain the records may or may not be in the stream.
func (c *Client) Append(stream journal.StreamID, records []json.RawMessage) (journal.Offset, error) {
	var a appendResponse
	err := c.call(fasthttp.MethodPost, "/log/streams/"+string(stream)+"/records", appendRequest{Records: records}, &a, CallTimeout)
	return a.First, err
}

// Read returns up to limit records of a stream, starting at the offset. If there is none
// yet, it waits for the first one for at most the given time.
func (c *Client) Read(stream journal.StreamID, from journal.Offset, limit int, wait time.Duration) (Batch, error) {
	path := "/log/streams/" + string(stream) + "/records?From=" + strconv.FormatInt(int64(from), 10) +
		"&Max=" + strconv.Itoa(limit) + "&WaitMilliseconds=" + strconv.FormatInt(wait.Milliseconds(), 10)
	var b Batch
	err := c.call(fasthttp.MethodGet, path, nil, &b, wait+CallTimeout)
	return b, err
}

// Hosts returns the changes of the host list since the known version, or the complete
// list.
func (c *Client) Hosts(known int64) (inventory.HostListUpdate, error) {
	var u inventory.HostListUpdate
	err := c.call(fasthttp.MethodGet, "/hosts?Known="+strconv.FormatInt(known, 10), nil, &u, CallTimeout)
	return u, err
}

// call sends one request and decodes the response. The error says whether the service may
// have processed the request.
func (c *Client) call(method, path string, body, result any, timeout time.Duration) error {
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
	return decode(resp, result, method+" "+path)
}

// decode decodes a response body and maps the status to an error. 429 and 503 mean that
// nothing was done; after an unreadable body, or a status of 500 or more other than 503
// and 507, the effect is uncertain.
func decode(resp *fasthttp.Response, result any, request string) error {
	status := resp.StatusCode()
	if status == fasthttp.StatusOK || status == fasthttp.StatusGone {
		if err := json.Unmarshal(resp.Body(), result); err != nil {
			return eris.Wrapf(ErrUncertain, "%s: unreadable answer: %s", request, err)
		}
	}
	switch {
	case status == fasthttp.StatusOK:
		return nil
	case status == fasthttp.StatusGone:
		return eris.Wrapf(ErrTruncated, "%s", request)
	case status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusServiceUnavailable:
		return eris.Wrapf(ErrUnavailable, "%s: status %d", request, status)
	case status < 500 || status == fasthttp.StatusInsufficientStorage:
		return eris.Wrapf(ErrRefused, "%s: status %d: %s", request, status, resp.Body())
	}
	return eris.Wrapf(ErrUncertain, "%s: status %d", request, status)
}
