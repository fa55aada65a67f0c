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

// target is the resolved destination and options of a request.
type target struct {
	tenant  inventory.TenantID
	service inventory.ServiceID
	class   inventory.ClassID
	spec    configuration.Service
	// uri is the rest of the path with the query, unchanged.
	uri        string
	deadline   time.Time
	idempotent bool
	// keyed is true if the request has a key and is not idempotent; key is then its digest.
	keyed bool
	key   claim.Digest
}

// refusedMethods are addressed to a proxy itself rather than to the server behind it.
var refusedMethods = []string{fasthttp.MethodConnect, fasthttp.MethodTrace}

// resolve returns the target of a request, or the reason for its refusal.
func (s *Server) resolve(ctx *fasthttp.RequestCtx, now time.Time) (target, admission.Reason) {
	h := &ctx.Request.Header
	if !isUnambiguous(h) || slices.Contains(refusedMethods, string(h.Method())) {
		return target{}, ReasonMessage
	}
	t, reason := s.lookUpTarget(h)
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

// splitPath returns the service that a path names, without decoding it, and the rest of
// the path with the query.
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

// lookUpTarget looks up the service in the path, the tenant and its class in the
// configuration.
func (s *Server) lookUpTarget(h *fasthttp.RequestHeader) (target, admission.Reason) {
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

// remainingTime returns the time to the caller's deadline, or fallback without one. It
// reports false for an invalid header.
func remainingTime(h *fasthttp.RequestHeader, fallback time.Duration) (time.Duration, bool) {
	v := h.Peek(HeaderDeadline)
	if len(v) == 0 {
		return fallback, true
	}
	ms, err := strconv.ParseInt(string(v), 10, 64)
	limit := configuration.MaxDeadline.AsDuration()
	if err != nil || ms < 0 || ms > limit.Milliseconds() {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// singleHeaders must not be repeated: two parsers could use different values.
var singleHeaders = []string{HeaderTenant, HeaderKey, HeaderDeadline, fasthttp.HeaderHost}

// isUnambiguous reports whether every parser reads the message in the same way: one
// length, one tenant, no folded lines and no control characters.
func isUnambiguous(h *fasthttp.RequestHeader) bool {
	for _, name := range singleHeaders {
		if len(h.PeekAll(name)) > 1 {
			return false
		}
	}
	uri := h.RequestURI()
	if !bytes.HasPrefix(uri, []byte("/")) || hasControlCharacter(uri) || bytes.ContainsAny(uri, " \t#") {
		return false
	}
	return hasUnambiguousLines(h.RawHeaders())
}

// hasUnambiguousLines checks the raw header. The library accepts a length together with
// chunked coding, the coding identity and folded lines, which other parsers reject or
// read differently.
func hasUnambiguousLines(raw []byte) bool {
	lengths, codings := 0, 0
	for line := range bytes.Lines(raw) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			continue
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || bytes.ContainsAny(name, " \t") || hasControlCharacter(line) {
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

// hasControlCharacter reports whether b has control characters other than tabs.
func hasControlCharacter(b []byte) bool {
	return bytes.ContainsFunc(b, func(r rune) bool { return (r < ' ' && r != '\t') || r == 0x7f })
}
