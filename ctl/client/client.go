// Package client talks to the operators' endpoint of an entry host.
package client

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// Errors of calls.
var (
	// ErrRefused means that the host refused and nothing was changed.
	ErrRefused = eris.New("refused")
	// ErrUnreachable means that no host answered.
	ErrUnreachable = eris.New("no entry host answers")
	// ErrUncertain means that the change may or may not come into force.
	ErrUncertain = eris.New("no answer; the change may or may not come into force")
)

// callTimeout bounds one call.
const callTimeout = 15 * time.Second

// HeaderOperator names the operator who asks.
const HeaderOperator = "Operator"

// Client calls one entry host as one operator.
type Client struct {
	address  string
	operator inventory.OperatorID
	http     *fasthttp.Client
}

// New returns a client of the host at the address.
func New(address string, operator inventory.OperatorID) *Client {
	return &Client{
		address: address, operator: operator,
		http: &fasthttp.Client{MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true, MaxResponseBodySize: 64 << 20},
	}
}

// Address returns the address of the host.
func (c *Client) Address() string {
	return c.address
}

// Get reads a path into a value.
func (c *Client) Get(path string, into any) error {
	return c.call(fasthttp.MethodGet, path, nil, into)
}

// Post sends a body and reads the answer into a value.
func (c *Client) Post(path string, body, into any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return eris.Wrapf(err, "encoding the body of POST %s", path)
	}
	return c.call(fasthttp.MethodPost, path, b, into)
}

// refusal is the body of an answer that says what was wrong.
type refusal struct {
	Error  string
	Reason string
}

func (c *Client) call(method, path string, body []byte, into any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.address + path)
	req.Header.Set(HeaderOperator, string(c.operator))
	req.SetBodyRaw(body)
	err := c.http.DoTimeout(req, resp, callTimeout)
	if err != nil && (method == fasthttp.MethodGet || errors.Is(err, fasthttp.ErrDialTimeout)) {
		return eris.Wrapf(ErrUnreachable, "%s: %s", c.address, err)
	}
	if err != nil {
		return eris.Wrapf(ErrUncertain, "%s: %s", c.address, err)
	}
	return decode(resp, into)
}

func decode(resp *fasthttp.Response, into any) error {
	if resp.StatusCode() == fasthttp.StatusOK {
		return eris.Wrap(json.Unmarshal(resp.Body(), into), "reading the answer")
	}
	var r refusal
	_ = json.Unmarshal(resp.Body(), &r)
	why := r.Error + r.Reason
	if resp.StatusCode() == fasthttp.StatusGatewayTimeout {
		return eris.Wrap(ErrUncertain, why)
	}
	return eris.Wrapf(ErrRefused, "status %d: %s", resp.StatusCode(), why)
}
