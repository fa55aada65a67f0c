package identity

import (
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/entry/follower"
	"github.com/godwitcross/godwitcross/entry/settings"
	"github.com/godwitcross/godwitcross/entry/view"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// Headers that tell who calls.
const (
	// HeaderTenant names the tenant to the tasks behind the check. What a caller
	// sends in it is dropped unless the settings allow names in headers.
	HeaderTenant = "Tenant"
	// HeaderTenantToken carries a tenant's token where the service wants
	// Authorization for itself; otherwise Authorization carries it as a bearer
	// token. The token goes no further than the check.
	HeaderTenantToken = "Tenant-Token"
)

// Callers checks the tenants of requests.
type Callers struct {
	state  *view.Box[follower.State]
	names  settings.NameRule
	tokens *Tokens[inventory.TenantID]
}

// NewCallers returns a check against the tenants' digests of the state.
func NewCallers(state *view.Box[follower.State], names settings.NameRule) *Callers {
	return &Callers{state: state, names: names, tokens: NewTokens(tenantDigests)}
}

func tenantDigests(cfg configuration.Configuration) map[inventory.TenantID][]string {
	digests := make(map[inventory.TenantID][]string, len(cfg.Tenants))
	for id, t := range cfg.Tenants {
		digests[id] = t.TokenDigests
	}
	return digests
}

// Handler returns a handler that sets HeaderTenant to the tenant that the token
// proves, or removes it, and passes the request on without its token.
func (c *Callers) Handler(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		h := &ctx.Request.Header
		id, proved, sent := c.who(h)
		switch {
		case proved:
			h.Set(HeaderTenant, string(id))
		case sent || c.names != settings.NamesAllowed:
			h.Del(HeaderTenant)
		}
		next(ctx)
	}
}

// who returns the tenant that a token proves, and whether the request brought a
// token that is for the entry host. Such a token is removed. An Authorization
// that proves no tenant may be the service's and stays.
func (c *Callers) who(h *fasthttp.RequestHeader) (id inventory.TenantID, proved, sent bool) {
	cfg := c.state.Latest().Configuration
	if token := h.Peek(HeaderTenantToken); len(token) > 0 {
		id, proved = c.tokens.Find(cfg, token)
		h.Del(HeaderTenantToken)
		return id, proved, true
	}
	token, _ := bearerToken(h)
	if id, proved = c.tokens.Find(cfg, token); proved {
		h.Del(fasthttp.HeaderAuthorization)
	}
	return id, proved, proved
}
