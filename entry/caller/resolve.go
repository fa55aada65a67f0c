package caller

import (
	"bytes"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/fleet/admission"
	"github.com/godwitcross/godwitcross/fleet/claim"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/dispatch"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/retry"
)

// target is what a request asks for.
type target struct {
	tenant  inventory.TenantID
	service inventory.ServiceID
	class   inventory.ClassID
	spec    configuration.Service
	// uri is the rest of the path with the query, as the caller wrote it.
	uri        string
	deadline   time.Time
	idempotent bool
	// keyed requests have a digest of their key.
	keyed bool
	key   claim.Digest
}

// refusedMethods are those that mean something to a proxy itself.
var refusedMethods = []string{fasthttp.MethodConnect, fasthttp.MethodTrace}

// resolve reads what the request asks for, or returns why it is refused.
func (s *Server) resolve(ctx *fasthttp.RequestCtx, now time.Time) (target, admission.Reason) {
	h := &ctx.Request.Header
	if !isPlain(h) || slices.Contains(refusedMethods, string(h.Method())) {
		return target{}, ReasonMessage
	}
	t, reason := s.find(h)
	if reason != "" {
		return t, reason
	}
	if len(ctx.Request.Body()) > int(t.spec.MaxBody) {
		return t, ReasonTooLarge
	}
	remaining, ok := remainingTime(h, t.spec.Classes[t.class].Deadline.AsDuration())
	if !ok {
		return t, ReasonDeadline
	}
	t.deadline = now.Add(remaining)
	t.idempotent = retry.IsIdempotent(t.spec, string(h.Method()))
	if key := h.Peek(HeaderKey); len(key) > 0 {
		digest, err := claim.NewDigest(t.tenant, t.service, string(key))
		if err != nil {
			return t, ReasonKey
		}
		t.key, t.keyed = digest, !t.idempotent
	}
	return t, ""
}

// splitPath returns the service that a path names, as the caller wrote it, and
// the rest with the query.
func splitPath(uri []byte) (inventory.ServiceID, string, bool) {
	rest, ok := strings.CutPrefix(string(uri), pathPrefix)
	if !ok {
		return "", "", false
	}
	end := strings.IndexAny(rest, "/?")
	if end < 0 {
		end = len(rest)
	}
	name, rest := rest[:end], rest[end:]
	if !strings.HasPrefix(rest, "/") {
		rest = "/" + rest
	}
	return inventory.ServiceID(name), rest, true
}

// find reads the service from the path, and the tenant and its class.
func (s *Server) find(h *fasthttp.RequestHeader) (target, admission.Reason) {
	cfg := s.cfg.State.Latest().Configuration
	if cfg.Version == 0 && len(cfg.Services) == 0 {
		return target{}, dispatch.ReasonNotReady
	}
	service, uri, ok := splitPath(h.RequestURI())
	if !ok {
		return target{}, ReasonPath
	}
	t := target{tenant: inventory.TenantID(h.Peek(HeaderTenant)), service: service, uri: uri}
	tenant, ok := cfg.Tenants[t.tenant]
	if !ok {
		return target{}, ReasonTenant
	}
	class, ok := tenant.Services[t.service]
	if !ok {
		return target{tenant: t.tenant}, ReasonService
	}
	t.spec = cfg.Services[t.service]
	t.class = class
	if class == "" {
		t.class = t.spec.DefaultClass
	}
	return t, ""
}

// remainingTime returns the caller's deadline as the time that remains.
func remainingTime(h *fasthttp.RequestHeader, usual time.Duration) (time.Duration, bool) {
	v := h.Peek(HeaderDeadline)
	if len(v) == 0 {
		return usual, true
	}
	ms, err := strconv.ParseInt(string(v), 10, 64)
	most := configuration.MaxDeadline.AsDuration()
	if err != nil || ms < 0 || ms > most.Milliseconds() {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// singleHeaders must not be given twice: two readers could take different ones.
var singleHeaders = []string{HeaderTenant, HeaderKey, HeaderDeadline, fasthttp.HeaderHost}

// isPlain reports whether no other reader of the message can take it for
// something else: one length, one tenant, no folded lines and no control
// characters.
func isPlain(h *fasthttp.RequestHeader) bool {
	for _, name := range singleHeaders {
		if len(h.PeekAll(name)) > 1 {
			return false
		}
	}
	uri := h.RequestURI()
	if !bytes.HasPrefix(uri, []byte("/")) || hasControl(uri) || bytes.ContainsAny(uri, " \t#") {
		return false
	}
	return hasPlainLines(h.RawHeaders())
}

// hasPlainLines looks at the header as it came in. The library takes a length
// beside chunks, the coding identity and folded lines, which others refuse or
// read in their own way.
func hasPlainLines(raw []byte) bool {
	lengths, codings := 0, 0
	for line := range bytes.Lines(raw) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			continue
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || bytes.ContainsAny(name, " \t") || hasControl(line) {
			return false
		}
		switch {
		case bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)):
			lengths++
		case bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)):
			codings++
			if !bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked")) {
				return false
			}
		}
	}
	return lengths+codings <= 1
}

// hasControl reports whether the text has control characters other than tabs.
func hasControl(b []byte) bool {
	return bytes.ContainsFunc(b, func(r rune) bool { return (r < ' ' && r != '\t') || r == 0x7f })
}
