package requests

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/configuration"
)

// Timeout and polling interval of tests that wait for a condition.
const (
	waitLimit = 20 * time.Second
	waitStep  = 5 * time.Millisecond
)

// sendRaw sends the message unchanged and returns the first response, and whether the host
// closes the connection after it.
func (e *entryHost) sendRaw(message string) (*http.Response, bool) {
	c, err := net.Dial("tcp", e.address)
	require.NoError(e.testbed.t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, message)
	require.NoError(e.testbed.t, err)
	r := bufio.NewReader(c)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return nil, true
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp, resp.Close
}

// TestAmbiguousMessagesAreRejected guards against request smuggling: messages that two parsers
// delimit differently, or that hide a header, must not reach a server.
func TestAmbiguousMessagesAreRejected(t *testing.T) {
	const head = "POST /services/Bells/x HTTP/1.1\r\nHost: x\r\nTenant: Secretaries\r\n"
	tests := []struct{ name, message string }{
		{"two lengths that differ", head + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbells"},
		{"two lengths that agree", head + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbell"},
		{"a list of lengths", head + "Content-Length: 4, 4\r\n\r\nbell"},
		{"a signed length", head + "Content-Length: +4\r\n\r\nbell"},
		{"a negative length", head + "Content-Length: -1\r\n\r\nbell"},
		{"a length in hexadecimal", head + "Content-Length: 0x4\r\n\r\nbell"},
		{"a length and chunks", head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
		{"chunks and a length", head + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n"},
		{"two codings", head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"},
		{"an unknown coding", head + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"},
		{"chunked twice", head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
		{"a coding and identity", head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n"},
		{"identity", head + "Transfer-Encoding: identity\r\nContent-Length: 4\r\n\r\nbell"},
		{"a space before the colon", head + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n"},
		{"a vertical tab in the coding", head + "Transfer-Encoding: \x0bchunked\r\n\r\n0\r\n\r\n"},
		{"a chunk size with a sign", head + "Transfer-Encoding: chunked\r\n\r\n+4\r\nbell\r\n0\r\n\r\n"},
		{"a chunk size too large for a number", head + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nbell\r\n0\r\n\r\n"},
		{"a chunk without its end", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbellXX0\r\n\r\n"},
		{"chunks in the older protocol", strings.Replace(head, "HTTP/1.1", "HTTP/1.0", 1) + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
		{"a folded header", head + "Note: a\r\n b\r\nContent-Length: 0\r\n\r\n"},
		{"a bare carriage return in a header", head + "Note: a\rb\r\nContent-Length: 0\r\n\r\n"},
		{"a zero byte in a header", head + "Note: a\x00b\r\nContent-Length: 0\r\n\r\n"},
		{"a header without a colon", head + "Note\r\nContent-Length: 0\r\n\r\n"},
		{"a space in a header's name", head + "No te: a\r\nContent-Length: 0\r\n\r\n"},
		{"two tenants", head + "Tenant: Editors\r\nContent-Length: 0\r\n\r\n"},
		{"two keys", head + "Idempotency-Key: a\r\nIdempotency-Key: b\r\nContent-Length: 0\r\n\r\n"},
		{"two hosts", head + "Host: y\r\nContent-Length: 0\r\n\r\n"},
		{"a second line in the path", strings.Replace(head, "/x", "/x\rTenant: Editors", 1) + "Content-Length: 0\r\n\r\n"},
		{"a tab in the path", strings.Replace(head, "/x", "/x\ty", 1) + "Content-Length: 0\r\n\r\n"},
		{"a fragment in the path", strings.Replace(head, "/x", "/x#y", 1) + "Content-Length: 0\r\n\r\n"},
		{"a tunnel", "CONNECT /services/Bells/x HTTP/1.1\r\nHost: x\r\nTenant: Secretaries\r\n\r\n"},
		{"an echo", "TRACE /services/Bells/x HTTP/1.1\r\nHost: x\r\nTenant: Secretaries\r\n\r\n"},
		{"a whole address as the path", strings.Replace(head, "/services", "http://other/services", 1) + "Content-Length: 0\r\n\r\n"},
		{"a header too large", head + "Note: " + strings.Repeat("a", 64<<10) + "\r\nContent-Length: 0\r\n\r\n"},
		{"a body too large", head + "Content-Length: 70000\r\n\r\n" + strings.Repeat("a", 70000)},
		{"chunks too large", head + "Transfer-Encoding: chunked\r\n\r\n11170\r\n" + strings.Repeat("a", 0x11170) + "\r\n0\r\n\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tb := newTestbed(t)
			e := tb.addEntry("entry-1", "Palermo")
			s := tb.addScriptedServer("server-0")
			s.setScript(s.echo)
			resp, closed := e.sendRaw(test.message + "GET /services/Bells/smuggled HTTP/1.1\r\nHost: x\r\nTenant: Secretaries\r\n\r\n")
			if resp != nil {
				require.GreaterOrEqual(t, resp.StatusCode, 400)
				require.Less(t, resp.StatusCode, 500)
			}
			require.True(t, closed, "the connection is closed, so that the rest is not parsed as another request")
			require.Zero(t, s.requestCount(), "the message reached no server")
		})
	}
}

// TestForwardedHeaders checks the headers that a server and the caller receive: hop-by-hop headers
// and headers that only an entry host may set are removed.
func TestForwardedHeaders(t *testing.T) {
	tb := newTestbed(t)
	e := tb.addEntry("entry-1", "Palermo")
	s := tb.addScriptedServer("server-0")
	s.setScript(func(c net.Conn, r *http.Request, _ string) bool {
		s.recordExecution(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nRequest-Outcome: NotRun\r\nRefusal-Reason: x\r\nAnswer-Kept: x\r\nKeep-Alive: 1\r\n\r\n")
		return true
	})
	resp, _ := e.sendRaw("POST /services/Bells/a%0d%0aTenant:%20Editors/../b?q=%0a HTTP/1.1\r\nHost: x\r\nTenant: Secretaries\r\n" +
		"Connection: keep-alive, Secret, Tenant\r\nSecret: 1\r\nUpgrade: h2c\r\nTE: trailers\r\nContent-Length: 4\r\n\r\nbell")
	require.NotNil(t, resp)
	require.Equal(t, []string{"Answered"}, resp.Header["Request-Outcome"])
	require.Empty(t, resp.Header["Refusal-Reason"])
	require.Empty(t, resp.Header["Answer-Kept"])
	require.Empty(t, resp.Header["Keep-Alive"])
	got := s.requests[0]
	require.Equal(t, "/a%0d%0aTenant:%20Editors/../b?q=%0a", got.RequestURI, "the path is forwarded unchanged")
	require.Equal(t, []string{"Secretaries"}, got.Header["Tenant"])
	for _, name := range []string{"Secret", "Upgrade", "Te", "Connection"} {
		require.Empty(t, got.Header[name], name)
	}
}

func TestHostWithoutConfigurationIsNotReady(t *testing.T) {
	tb := newTestbed(t)
	tb.objects, tb.version = configuration.Objects{}, 0
	a := tb.addEntry("entry-1", "Palermo").send(request{method: get})
	require.Equal(t, response{status: 503, outcome: "NotRun", reason: "NotReady", retryIn: "1", body: a.body}, a)
}
