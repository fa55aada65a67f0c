// Package client is an HTTP client for the operators' endpoint of an entry host.
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

// Errors returned by calls.
var (
	// ErrRefused means that the host refused the request and nothing was changed.
	ErrRefused = eris.New("refused")
	// ErrUnreachable means that the host did not answer and that the request had no
	// effect.
	ErrUnreachable = eris.New("no entry host answers")
	// ErrUncertain means that the change may or may not take effect.
	ErrUncertain = eris.New("no answer; the change may or may not come into force")
)

// callTimeout bounds the duration of one call.
const callTimeout = 15 * time.Second

// Config configures a Client.
type Config struct {
	Address string
	// Operator is the operator's name. It is sent in a header, which only hosts
	// configured for development trust.
	Operator inventory.OperatorID
	// Token authenticates the operator. It is empty if a certificate does.
	Token string
	// TLS is nil for plain text.
	TLS *tls.Config
}

// Client calls one entry host on behalf of one operator.
type Client struct {
	cfg    Config
	scheme string
	http   *fasthttp.Client
}

// New returns a client that uses plain text, for a host configured for development.
func New(address string, operator inventory.OperatorID) *Client {
	return NewClient(Config{Address: address, Operator: operator})
}

// NewClient returns a client for one host.
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

// Address returns the host's address.
func (c *Client) Address() string {
	return c.cfg.Address
}

// Close closes the idle connections, which count against the host's limit for one address.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Get requests a path and decodes the answer into the value that into points to.
func (c *Client) Get(path string, into any) error {
	return c.call(fasthttp.MethodGet, path, nil, into)
}

// Post sends a body and decodes the answer into the value that into points to.
func (c *Client) Post(path string, body, into any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return eris.Wrapf(err, "encoding the body of POST %s", path)
	}
	return c.call(fasthttp.MethodPost, path, b, into)
}

// errorResponse is the body of an answer that reports an error.
type errorResponse struct {
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
	if err != nil && (method == fasthttp.MethodGet || isUnsent(err)) {
		return eris.Wrapf(ErrUnreachable, "%s: %s", c.cfg.Address, err)
	}
	if err != nil {
		return eris.Wrapf(ErrUncertain, "%s: %s", c.cfg.Address, err)
	}
	return decode(resp, into)
}

// isUnsent reports whether the error occurred before any byte of the request was
// sent: no connection was made, or the TLS handshake failed.
func isUnsent(err error) bool {
	var dial *net.OpError
	var certificate *tls.CertificateVerificationError
	var plain tls.RecordHeaderError
	return errors.Is(err, fasthttp.ErrDialTimeout) || errors.As(err, &certificate) || errors.As(err, &plain) ||
		errors.As(err, &dial) && dial.Op == "dial"
}

func decode(resp *fasthttp.Response, into any) error {
	if resp.StatusCode() == fasthttp.StatusOK {
		return eris.Wrap(json.Unmarshal(resp.Body(), into), "decoding the answer")
	}
	var r errorResponse
	_ = json.Unmarshal(resp.Body(), &r)
	reason := r.Error + r.Reason
	if resp.StatusCode() == fasthttp.StatusGatewayTimeout {
		return eris.Wrap(ErrUncertain, reason)
	}
	return eris.Wrapf(ErrRefused, "status %d: %s", resp.StatusCode(), reason)
}
