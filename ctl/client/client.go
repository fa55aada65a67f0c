// Package client talks to the operators' endpoint of an entry host.
package client

import (
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/operation"
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

// Config is what a client is built from.
type Config struct {
	Address string
	// Operator is sent as a name; only hosts set up for development believe it.
	Operator inventory.OperatorID
	// Token proves who asks; empty where a certificate does.
	Token string
	// TLS is nil for plain text.
	TLS *tls.Config
}

// Client calls one entry host as one operator.
type Client struct {
	cfg    Config
	scheme string
	http   *fasthttp.Client
}

// New returns a client that speaks plain text to a host set up for development.
func New(address string, operator inventory.OperatorID) *Client {
	return NewClient(Config{Address: address, Operator: operator})
}

// NewClient returns a client of one host.
func NewClient(cfg Config) *Client {
	c := &Client{
		cfg: cfg, scheme: "http://",
		http: &fasthttp.Client{MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true, MaxResponseBodySize: 64 << 20, TLSConfig: cfg.TLS},
	}
	if cfg.TLS != nil {
		c.scheme = "https://"
	}
	return c
}

// Address returns the address of the host.
func (c *Client) Address() string {
	return c.cfg.Address
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
	req.SetRequestURI(c.scheme + c.cfg.Address + path)
	req.Header.Set(operation.HeaderOperator, string(c.cfg.Operator))
	if c.cfg.Token != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.cfg.Token)
	}
	req.SetBodyRaw(body)
	err := c.http.DoTimeout(req, resp, callTimeout)
	if err != nil && (method == fasthttp.MethodGet || nothingSent(err)) {
		return eris.Wrapf(ErrUnreachable, "%s: %s", c.cfg.Address, err)
	}
	if err != nil {
		return eris.Wrapf(ErrUncertain, "%s: %s", c.cfg.Address, err)
	}
	return decode(resp, into)
}

// nothingSent reports whether the error came before a byte of the request went
// out: no connection, or a host that could not prove who it is.
func nothingSent(err error) bool {
	var dial *net.OpError
	var certificate *tls.CertificateVerificationError
	var plain tls.RecordHeaderError
	return errors.Is(err, fasthttp.ErrDialTimeout) || errors.As(err, &certificate) || errors.As(err, &plain) ||
		errors.As(err, &dial) && dial.Op == "dial"
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
