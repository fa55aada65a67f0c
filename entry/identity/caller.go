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
	// HeaderTenantToken carries a tenant's token. It goes no further than the
	// check; Authorization is left to the service.
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
		token := h.Peek(HeaderTenantToken)
		id, ok := c.tokens.Find(c.state.Latest().Configuration, token)
		named := len(token) == 0 && c.names == settings.NamesAllowed
		h.Del(HeaderTenantToken)
		switch {
		case ok:
			h.Set(HeaderTenant, string(id))
		case !named:
			h.Del(HeaderTenant)
		}
		next(ctx)
	}
}
