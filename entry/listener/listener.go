// Package listener limits the resources that clients of a server can use: header
// size, request time and number of connections.
package listener

import (
	"net"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/entry/settings"
)

// Bound applies the limits to a fasthttp server. fasthttp has one read timeout for
// a whole request; Bound uses it for the headers and sets another for the body once
// the headers have been read. A body size limit that the server sets itself stays.
func Bound(s *fasthttp.Server, log logrus.FieldLogger, l settings.Limits) {
	s.ReadBufferSize = l.HeaderBytes
	s.ReadTimeout = l.HeaderTimeout
	previous := s.HeaderReceived
	s.HeaderReceived = func(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
		var c fasthttp.RequestConfig
		if previous != nil {
			c = previous(h)
		}
		c.ReadTimeout = l.BodyTimeout
		return c
	}
	s.WriteTimeout = l.ResponseTimeout
	s.IdleTimeout = l.IdleTimeout
	s.Concurrency = l.Connections
	s.MaxConnsPerIP = l.ConnectionsPerAddress
	s.TCPKeepalive = true
	s.Logger = libraryLogger{log}
	s.SecureErrorLogMessage = true
	s.ErrorHandler = respondUnreadable
}

// libraryLogger passes the messages of fasthttp on to the host's log.
type libraryLogger struct {
	log logrus.FieldLogger
}

// Printf implements fasthttp.Logger. It omits the arguments: even with
// SecureErrorLogMessage they contain parts of the received data, which may be a
// token.
func (l libraryLogger) Printf(format string, _ ...any) {
	l.log.WithField("Message", format).Debug("fasthttp reported an error")
}

// respondUnreadable answers a request that could not be read. The response contains
// none of the received data.
func respondUnreadable(ctx *fasthttp.RequestCtx, err error) {
	status, why := errorResponse(err)
	ctx.Response.Reset()
	ctx.SetStatusCode(status)
	ctx.Response.Header.Set("Request-Outcome", "NotRun")
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBodyString("NotRun: " + why + "\n")
	ctx.SetConnectionClose()
}

func errorResponse(err error) (int, string) {
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
