// Package listener guards the sockets that clients reach: it bounds what they
// can take and speaks TLS with them.
package listener

import (
	"net"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/entry/settings"
)

// Bound sets the limits on a server of the library. The library has one
// deadline for a whole request; it is used for the headers, and the body gets
// one of its own once they have been read. A limit on the body that the server
// sets itself stays.
func Bound(s *fasthttp.Server, log logrus.FieldLogger, l settings.Limits) {
	s.ReadBufferSize = l.HeaderBytes
	s.ReadTimeout = l.HeaderTime
	own := s.HeaderReceived
	s.HeaderReceived = func(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
		var c fasthttp.RequestConfig
		if own != nil {
			c = own(h)
		}
		c.ReadTimeout = l.BodyTime
		return c
	}
	s.WriteTimeout = l.AnswerTime
	s.IdleTimeout = l.IdleTime
	s.Concurrency = l.Connections
	s.MaxConnsPerIP = l.ConnectionsPerAddress
	s.TCPKeepalive = true
	s.Logger = libraryLogger{log}
	s.SecureErrorLogMessage = true
	s.ErrorHandler = refuse
}

// libraryLogger writes the library's messages as JSON lines.
type libraryLogger struct {
	log logrus.FieldLogger
}

// Printf implements fasthttp.Logger. The arguments are left out: even where the
// library is told to be secure they hold parts of what was received, and that
// may be a token.
func (l libraryLogger) Printf(format string, _ ...any) {
	l.log.WithField("Message", format).Debug("the HTTP library met an error")
}

// refuse answers a request that could not be read. It repeats nothing of what
// was received.
func refuse(ctx *fasthttp.RequestCtx, err error) {
	status, why := fault(err)
	ctx.Response.Reset()
	ctx.SetStatusCode(status)
	ctx.Response.Header.Set("Request-Outcome", "NotRun")
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBodyString("NotRun: " + why + "\n")
	ctx.SetConnectionClose()
}

func fault(err error) (int, string) {
	if _, ok := err.(*fasthttp.ErrSmallBuffer); ok {
		return fasthttp.StatusRequestHeaderFieldsTooLarge, "the headers are too large"
	}
	if err == fasthttp.ErrBodyTooLarge {
		return fasthttp.StatusRequestEntityTooLarge, "the body is too large"
	}
	if n, ok := err.(net.Error); ok && n.Timeout() {
		return fasthttp.StatusRequestTimeout, "the request did not arrive in time"
	}
	return fasthttp.StatusBadRequest, "the request is not HTTP"
}
