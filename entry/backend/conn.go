// Package backend owns the connections to backend servers. The library reads
// and writes messages; which connection carries a request, and whether a
// request is ever sent again, is decided here.
package backend

import (
	"bufio"
	"context"
	"errors"
	"net"
	"syscall"
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

// maxInterim bounds the interim answers before a final one.
const maxInterim = 8

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
		return noAnswer(err, "writing")
	}
	if err := c.w.Flush(); err != nil {
		return noAnswer(err, "writing")
	}
	return c.read(resp, string(req.Header.Method()) == fasthttp.MethodHead, limit)
}

// read passes interim answers over and reads the final one. An answer whose
// length only the end of the connection tells can't be told from a cut one and
// counts as none.
func (c *Conn) read(resp *fasthttp.Response, head bool, limit int) error {
	resp.Reset()
	resp.SkipBody = head
	if err := c.readHeader(resp); err != nil {
		return err
	}
	if head || hasNoBody(resp.StatusCode()) {
		return nil
	}
	length := resp.Header.ContentLength()
	if length == lengthUntilClose {
		return eris.Wrap(ErrNoAnswer, "the answer does not tell its length")
	}
	if err := resp.ReadBody(c.r, limit); err != nil {
		return noAnswer(err, "reading the body")
	}
	if length != lengthOfChunks {
		return nil
	}
	if err := resp.Header.ReadTrailer(c.r); err != nil {
		return noAnswer(err, "reading the trailer")
	}
	return nil
}

func (c *Conn) readHeader(resp *fasthttp.Response) error {
	for range maxInterim {
		if err := resp.Header.Read(c.r); err != nil {
			return noAnswer(err, "reading the headers")
		}
		status := resp.StatusCode()
		if status == fasthttp.StatusSwitchingProtocols {
			return eris.Wrap(ErrNoAnswer, "the server changed the protocol")
		}
		if status >= fasthttp.StatusOK {
			return nil
		}
	}
	return eris.Wrap(ErrNoAnswer, "too many interim answers")
}

// noAnswer returns ErrNoAnswer together with its cause.
func noAnswer(cause error, doing string) error {
	return eris.Wrap(errors.Join(ErrNoAnswer, cause), doing)
}

func hasNoBody(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// Lengths by which the library marks a body in chunks and one that ends with
// the connection.
const (
	lengthOfChunks   = -1
	lengthUntilClose = -2
)

// isQuiet reports whether an idle connection is open as far as this host can
// see, with nothing to read. It looks without waiting. A connection that can't
// be looked at is not quiet.
func (c *Conn) isQuiet() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	s, ok := c.raw.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	var peeked error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, peeked = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && errors.Is(peeked, syscall.EAGAIN)
}

// Close closes the connection.
func (c *Conn) Close() {
	_ = c.raw.Close()
}

// Abort closes the connection and takes back what the other end has not received
// yet: a request that was given up must not arrive once the network works again.
func (c *Conn) Abort() {
	if l, ok := c.raw.(interface{ SetLinger(seconds int) error }); ok {
		// Without it the bytes may still arrive, as before any close.
		_ = l.SetLinger(0)
	}
	_ = c.raw.Close()
}
