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

// Bootstrap is who publishes the first configuration, while there is no
// operator that could.
const Bootstrap inventory.OperatorID = "bootstrap"

// scheme is the beginning of an Authorization header with a token.
var scheme = []byte("Bearer ")

// openPaths are answered to everybody: the balancer asks them.
var openPaths = map[string]bool{"/health": true, "/ready": true}

// Operators checks who asks on the operators' endpoint.
type Operators struct {
	state *view.Box[follower.State]
	names settings.NameRule
	// bootstrap is the digest of the token of the first configuration; all
	// zeros when there is none.
	bootstrap configuration.TokenDigest
	tokens    *Tokens[inventory.OperatorID]
}

// NewOperators returns a check against the operators' digests of the state. The
// bootstrap digest is in hexadecimal or empty.
func NewOperators(state *view.Box[follower.State], names settings.NameRule, bootstrap string) *Operators {
	o := &Operators{state: state, names: names, tokens: NewTokens(operatorDigests)}
	if d, err := configuration.ParseTokenDigest(bootstrap); err == nil {
		o.bootstrap = d
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

// Handler returns a handler that sets operation.HeaderOperator to the operator
// that is proved, whatever was sent in it, and passes the request on without its
// token. Everybody else is answered with status 401, but for the paths that the
// balancer asks.
func (o *Operators) Handler(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		id, ok := o.who(ctx)
		h := &ctx.Request.Header
		h.Del(fasthttp.HeaderAuthorization)
		h.Del(operation.HeaderOperator)
		if id != "" {
			h.Set(operation.HeaderOperator, string(id))
		}
		if !ok && !openPaths[string(ctx.Path())] {
			refuse(ctx)
			return
		}
		next(ctx)
	}
}

// who returns the operator that asks, and whether the request may go on. A
// certificate and a token that are both an operator's must agree.
func (o *Operators) who(ctx *fasthttp.RequestCtx) (inventory.OperatorID, bool) {
	cfg := o.state.Latest().Configuration
	certified, isCertified := o.certified(ctx, cfg)
	token, sent := bearerToken(&ctx.Request.Header)
	if !sent {
		if isCertified || o.names != settings.NamesAllowed {
			return certified, isCertified
		}
		return inventory.OperatorID(ctx.Request.Header.Peek(operation.HeaderOperator)), true
	}
	borne, isBorne := o.borne(cfg, token)
	if !isBorne || isCertified && certified != borne {
		return "", false
	}
	return borne, true
}

// certified returns the operator that the client's verified certificate names.
func (o *Operators) certified(ctx *fasthttp.RequestCtx, cfg configuration.Configuration) (inventory.OperatorID, bool) {
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

func (o *Operators) borne(cfg configuration.Configuration, token []byte) (inventory.OperatorID, bool) {
	if id, ok := o.tokens.Find(cfg, token); ok {
		return id, true
	}
	if len(cfg.Operators) > 0 || o.bootstrap == (configuration.TokenDigest{}) || len(token) < configuration.MinTokenBytes {
		return "", false
	}
	d := configuration.DigestToken(token)
	return Bootstrap, subtle.ConstantTimeCompare(d[:], o.bootstrap[:]) == 1
}

// bearerToken returns the token of the request and whether it brought any
// credentials at all. Credentials of another scheme are a token of nobody.
func bearerToken(h *fasthttp.RequestHeader) ([]byte, bool) {
	value := h.Peek(fasthttp.HeaderAuthorization)
	if len(value) == 0 {
		return nil, false
	}
	token, ok := bytes.CutPrefix(value, scheme)
	if !ok {
		return nil, true
	}
	return token, true
}

func refuse(ctx *fasthttp.RequestCtx) {
	ctx.SetStatusCode(fasthttp.StatusUnauthorized)
	ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, "Bearer")
	ctx.SetContentType("application/json")
	ctx.SetBodyString(`{"Error":"no operator is known by this token or certificate"}` + "\n")
}
