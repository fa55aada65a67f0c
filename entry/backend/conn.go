// Package backend owns the connections to backend servers. The library reads
// and writes messages; which connection carries a request, and whether a
// request is ever sent again, is decided here.
package backend

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// Errors of sending a request. They tell whether a byte may have reached the
// server.
var (
	// ErrNotSent means that no byte of the request left this host.
	ErrNotSent = eris.New("request was not sent")
	// ErrNoAnswer means that bytes left and no whole answer came back.
	ErrNoAnswer = eris.New("no whole answer")
)

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Conn is a connection to one backend server. It carries one request at a time
// and is closed after anything other than a whole answer, so that a late answer
// reaches nobody.
type Conn struct {
	raw net.Conn
	r   *bufio.Reader
	w   *bufio.Writer
	// proven is the last moment at which the server was seen to answer.
	proven time.Time
}

// openConn connects to the address.
func openConn(ctx context.Context, dial DialFunc, address string, now time.Time) (*Conn, error) {
	raw, err := dial(ctx, address)
	if err != nil {
		return nil, eris.Wrapf(ErrNotSent, "%s", err)
	}
	return &Conn{raw: raw, r: bufio.NewReader(raw), w: bufio.NewWriter(raw), proven: now}, nil
}

// Do sends the request and reads the whole answer, at most limit bytes of body.
// After an error the connection must be closed.
func (c *Conn) Do(req *fasthttp.Request, resp *fasthttp.Response, limit int, deadline time.Time) error {
	if err := c.raw.SetDeadline(deadline); err != nil {
		return eris.Wrapf(ErrNotSent, "%s", err)
	}
	if err := req.Write(c.w); err != nil {
		return eris.Wrapf(ErrNoAnswer, "writing: %s", err)
	}
	if err := c.w.Flush(); err != nil {
		return eris.Wrapf(ErrNoAnswer, "writing: %s", err)
	}
	resp.SkipBody = string(req.Header.Method()) == fasthttp.MethodHead
	if err := resp.ReadLimitBody(c.r, limit); err != nil {
		return eris.Wrapf(ErrNoAnswer, "reading: %s", err)
	}
	return nil
}

// Close closes the connection.
func (c *Conn) Close() {
	_ = c.raw.Close()
}
