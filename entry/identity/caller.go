package identity

import (
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/entry/follower"
	"github.com/godwitcross/godwitcross/entry/settings"
	"github.com/godwitcross/godwitcross/entry/view"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// Headers that identify the caller.
const (
	// HeaderTenant carries the name of the authenticated tenant to the handlers. A
	// value that a caller sends is dropped unless the settings allow names in headers.
	HeaderTenant = "Tenant"
	// HeaderTenantToken carries a tenant's token where the backend service uses
	// Authorization itself; otherwise Authorization carries it as a bearer token. The
	// token is removed before the request is passed on.
	HeaderTenantToken = "Tenant-Token"
)

// TenantAuthenticator authenticates the tenants of requests.
type TenantAuthenticator struct {
	state  *view.Value[follower.State]
	names  settings.HeaderNameRule
	tokens *Tokens[inventory.TenantID]
}

// NewTenantAuthenticator returns an authenticator that uses the tenants' token digests of the
// current configuration.
func NewTenantAuthenticator(state *view.Value[follower.State], names settings.HeaderNameRule) *TenantAuthenticator {
	return &TenantAuthenticator{state: state, names: names, tokens: NewTokens(tenantDigests)}
}

func tenantDigests(cfg configuration.Configuration) map[inventory.TenantID][]string {
	digests := make(map[inventory.TenantID][]string, len(cfg.Tenants))
	for id, t := range cfg.Tenants {
		digests[id] = t.TokenDigests
	}
	return digests
}

// Handler returns a handler that sets HeaderTenant to the tenant to whom the token
// belongs, or removes the header, and passes the request on without its token.
func (c *TenantAuthenticator) Handler(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		h := &ctx.Request.Header
		id, authenticated, hasToken := c.authenticate(h)
		switch {
		case authenticated:
			h.Set(HeaderTenant, string(id))
		case hasToken || c.names != settings.HeaderNamesTrusted:
			h.Del(HeaderTenant)
		}
		next(ctx)
	}
}

// authenticate returns the tenant to whom the request's token belongs, and whether
// the request has a token for the entry host. It removes such a token. An
// Authorization header that matches no tenant may be for the service and stays.
func (c *TenantAuthenticator) authenticate(h *fasthttp.RequestHeader) (id inventory.TenantID, authenticated, hasToken bool) {
	cfg := c.state.Latest().Configuration
	if token := h.Peek(HeaderTenantToken); len(token) > 0 {
		id, authenticated = c.tokens.Find(cfg, token)
		h.Del(HeaderTenantToken)
		return id, authenticated, true
	}
	token, _ := bearerToken(h)
	if id, authenticated = c.tokens.Find(cfg, token); authenticated {
		h.Del(fasthttp.HeaderAuthorization)
	}
	return id, authenticated, authenticated
}
