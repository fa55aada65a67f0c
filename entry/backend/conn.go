// Package backend manages the connections to backend servers. The HTTP library only reads
// and writes messages; this package selects the connection of a request and makes exactly
// one attempt per call.
package backend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// Errors of an attempt. They tell whether a byte may have reached the server.
var (
	// ErrNotSent means that no byte of the request left this host.
	ErrNotSent = eris.New("request was not sent")
	// ErrNoAnswer means that bytes may have left this host and no complete answer came back.
	ErrNoAnswer = eris.New("no whole answer")
	// ErrClosed means, beside ErrNoAnswer, that the server's end of the connection was closed or
	// reset after the request was sent.
	ErrClosed = eris.New("connection closed by the server")
	// ErrReset means, beside ErrClosed, that the connection was reset, which may also happen on the way.
	ErrReset = eris.New("connection reset")
	// ErrRefused means, beside ErrNotSent, that nothing listens at the address.
	ErrRefused = eris.New("connection refused")
)

// maxInterimAnswers bounds the headers that are read for one answer, including those of
// interim answers (1xx).
const maxInterimAnswers = 8

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Conn is a connection to one backend server. It carries one request at a time and is
// closed after anything other than a complete answer, so that a late answer is never read
// as the answer to another request.
type Conn struct {
	raw net.Conn
	in  *answerReader
	r   *bufio.Reader
	w   *bufio.Writer
	// lastAnswer is the time of the last complete answer, or of the connect before the first.
	lastAnswer time.Time
	// socket is nil if the connection has none; peek looks at it and sets peekErr.
	socket  syscall.RawConn
	peek    func(fd uintptr)
	peekErr error
}

// openConn connects to the address.
func openConn(ctx context.Context, dial DialFunc, address string, now time.Time) (*Conn, error) {
	raw, err := dial(ctx, address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, eris.Wrap(errors.Join(ErrNotSent, ErrRefused), err.Error())
	}
	if err != nil {
		return nil, eris.Wrapf(ErrNotSent, "%s", err)
	}
	in := &answerReader{raw: raw}
	c := &Conn{raw: raw, in: in, r: bufio.NewReader(in), w: bufio.NewWriter(raw), lastAnswer: now}
	if s, ok := raw.(syscall.Conn); ok {
		// A socket that can't be had is not peeked at, and the connection not reused.
		if socket, err := s.SyscallConn(); err == nil {
			c.socket, c.peek = socket, c.peekAt
		}
	}
	return c, nil
}

// Do sends the request and reads the complete answer, with at most limit bytes of body.
// The caller must close the connection after an error.
func (c *Conn) Do(req *fasthttp.Request, resp *fasthttp.Response, limit int, deadline time.Time, t Transfer) error {
	if err := c.in.begin(deadline, t); err != nil {
		return eris.Wrapf(ErrNotSent, "%s", err)
	}
	if err := req.Write(c.w); err != nil {
		return c.wrapNoAnswer(err, "writing")
	}
	if err := c.w.Flush(); err != nil {
		return c.wrapNoAnswer(err, "writing")
	}
	return c.read(resp, string(req.Header.Method()) == fasthttp.MethodHead, limit)
}

// read skips interim answers and reads the final one. An answer that is delimited only by
// the end of the connection can't be distinguished from a truncated one and counts as no
// answer.
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
	if length == untilCloseLength {
		return eris.Wrap(ErrNoAnswer, "the answer does not tell its length")
	}
	if err := resp.ReadBody(c.r, limit); err != nil {
		return c.wrapNoAnswer(err, "reading the body")
	}
	if length != chunkedLength {
		return nil
	}
	if err := resp.Header.ReadTrailer(c.r); err != nil {
		return c.wrapNoAnswer(err, "reading the trailer")
	}
	return nil
}

func (c *Conn) readHeader(resp *fasthttp.Response) error {
	for range maxInterimAnswers {
		if err := resp.Header.Read(c.r); err != nil {
			return c.wrapNoAnswer(err, "reading the headers")
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

// wrapNoAnswer returns ErrNoAnswer joined with its cause, and with ErrClosed if the server has closed
// the connection, or ErrReset too if it was reset. The library takes a reset before the first byte for an end.
func (c *Conn) wrapNoAnswer(cause error, operation string) error {
	if errors.Is(c.in.failed, syscall.ECONNRESET) {
		cause = errors.Join(cause, c.in.failed)
	}
	switch {
	case errors.Is(cause, syscall.ECONNRESET):
		cause = errors.Join(ErrClosed, ErrReset, cause)
	case errors.Is(cause, io.EOF), errors.Is(cause, io.ErrUnexpectedEOF):
		cause = errors.Join(ErrClosed, cause)
	}
	return eris.Wrap(errors.Join(ErrNoAnswer, cause), operation)
}

func hasNoBody(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// Values of fasthttp's ContentLength for a chunked body and for a body that ends with the
// connection.
const (
	chunkedLength    = -1
	untilCloseLength = -2
)

// isReusable reports whether an idle connection is open as far as this host knows and has
// nothing to read. It peeks at the socket without blocking. A connection without a socket
// to peek at is not reusable.
func (c *Conn) isReusable() bool {
	if c.r.Buffered() > 0 || c.socket == nil {
		return false
	}
	err := c.socket.Control(c.peek)
	return err == nil && errors.Is(c.peekErr, syscall.EAGAIN)
}

// peekAt looks at the first byte to read from a socket.
func (c *Conn) peekAt(fd uintptr) {
	var b [1]byte
	_, _, c.peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
}

// interrupt ends the request in flight.
func (c *Conn) interrupt() {
	c.in.interrupt()
}

// Close closes the connection.
func (c *Conn) Close() {
	_ = c.raw.Close()
}

// Abort closes the connection with a reset and discards bytes that the peer has not
// received yet: an abandoned request must not arrive once the network works again.
func (c *Conn) Abort() {
	if l, ok := c.raw.(interface{ SetLinger(seconds int) error }); ok {
		// If this fails, the bytes may still arrive, as after any other close.
		_ = l.SetLinger(0)
	}
	_ = c.raw.Close()
}
