package identity

import (
	"bytes"
	"crypto/subtle"

	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/entry/follower"
	"github.com/godwitcross/godwitcross/entry/settings"
	"github.com/godwitcross/godwitcross/entry/view"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/operation"
)

// Bootstrap is the operator that publishes the first configuration, while no
// operators are configured.
const Bootstrap inventory.OperatorID = "bootstrap"

// bearerPrefix precedes the token in an Authorization header.
var bearerPrefix = []byte("Bearer ")

// unauthenticatedPaths need no credentials: the load balancer requests them.
var unauthenticatedPaths = map[string]bool{"/health": true, "/ready": true}

// OperatorAuthenticator authenticates requests to the operators' endpoint.
type OperatorAuthenticator struct {
	state *view.Value[follower.State]
	names settings.HeaderNameRule
	// bootstrapDigest is the digest of the token for the first configuration; all
	// zeros if none is set.
	bootstrapDigest configuration.TokenDigest
	tokens          *Tokens[inventory.OperatorID]
}

// NewOperatorAuthenticator returns an authenticator that uses the operators' token digests of
// the current configuration. The bootstrap digest is in hexadecimal or empty.
func NewOperatorAuthenticator(state *view.Value[follower.State], names settings.HeaderNameRule, bootstrap string) *OperatorAuthenticator {
	o := &OperatorAuthenticator{state: state, names: names, tokens: NewTokens(operatorDigests)}
	if d, err := configuration.ParseTokenDigest(bootstrap); err == nil {
		o.bootstrapDigest = d
	}
	return o
}

func operatorDigests(cfg configuration.Configuration) map[inventory.OperatorID][]string {
	digests := make(map[inventory.OperatorID][]string, len(cfg.Operators))
	for id, p := range cfg.Operators {
		digests[id] = p.TokenDigests
	}
	return digests
}

// Handler returns a handler that sets operation.HeaderOperator to the authenticated
// operator, whatever value was sent, and passes the request on without its token.
// Other requests get status 401, except those for unauthenticatedPaths.
func (o *OperatorAuthenticator) Handler(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		id, ok := o.authenticate(ctx)
		h := &ctx.Request.Header
		h.Del(fasthttp.HeaderAuthorization)
		h.Del(operation.HeaderOperator)
		if id != "" {
			h.Set(operation.HeaderOperator, string(id))
		}
		if !ok && !unauthenticatedPaths[string(ctx.Path())] {
			respondUnauthorized(ctx)
			return
		}
		next(ctx)
	}
}

// authenticate returns the operator that sent the request, and whether the request
// is allowed. If it has an operator's certificate and a token, both must belong to
// the same operator.
func (o *OperatorAuthenticator) authenticate(ctx *fasthttp.RequestCtx) (inventory.OperatorID, bool) {
	cfg := o.state.Latest().Configuration
	byCertificate, certificateOK := o.operatorByCertificate(ctx, cfg)
	token, hasCredentials := bearerToken(&ctx.Request.Header)
	if !hasCredentials {
		if certificateOK || o.names != settings.HeaderNamesTrusted {
			return byCertificate, certificateOK
		}
		return inventory.OperatorID(ctx.Request.Header.Peek(operation.HeaderOperator)), true
	}
	byToken, tokenOK := o.operatorByToken(cfg, token)
	if !tokenOK || certificateOK && byCertificate != byToken {
		return "", false
	}
	return byToken, true
}

// operatorByCertificate returns the operator that is the common name of the
// client's verified certificate.
func (o *OperatorAuthenticator) operatorByCertificate(ctx *fasthttp.RequestCtx, cfg configuration.Configuration) (inventory.OperatorID, bool) {
	tls := ctx.TLSConnectionState()
	if tls == nil || len(tls.VerifiedChains) == 0 {
		return "", false
	}
	id := inventory.OperatorID(tls.VerifiedChains[0][0].Subject.CommonName)
	_, ok := cfg.Operators[id]
	if !ok {
		return "", false
	}
	return id, true
}

// operatorByToken returns the operator to whom the token belongs. While no operators
// are configured it accepts the bootstrap token as well.
func (o *OperatorAuthenticator) operatorByToken(cfg configuration.Configuration, token []byte) (inventory.OperatorID, bool) {
	if id, ok := o.tokens.Find(cfg, token); ok {
		return id, true
	}
	if len(cfg.Operators) > 0 || o.bootstrapDigest == (configuration.TokenDigest{}) || len(token) < configuration.MinTokenBytes {
		return "", false
	}
	d := configuration.DigestToken(token)
	return Bootstrap, subtle.ConstantTimeCompare(d[:], o.bootstrapDigest[:]) == 1
}

// bearerToken returns the bearer token of the request and whether the request has
// an Authorization header. With another scheme the token is empty and matches
// nobody.
func bearerToken(h *fasthttp.RequestHeader) ([]byte, bool) {
	value := h.Peek(fasthttp.HeaderAuthorization)
	if len(value) == 0 {
		return nil, false
	}
	token, ok := bytes.CutPrefix(value, bearerPrefix)
	if !ok {
		return nil, true
	}
	return token, true
}

func respondUnauthorized(ctx *fasthttp.RequestCtx) {
	ctx.SetStatusCode(fasthttp.StatusUnauthorized)
	ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, "Bearer")
	ctx.SetContentType("application/json")
	ctx.SetBodyString(`{"Error":"no operator is known by this token or certificate"}` + "\n")
}
