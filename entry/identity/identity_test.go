package identity

import (
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/entry/follower"
	"github.com/godwitcross/godwitcross/entry/settings"
	"github.com/godwitcross/godwitcross/entry/view"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/operation"
)

// token returns a token of the minimum length that begins with the name.
func token(name string) string {
	return name + strings.Repeat("-", configuration.MinTokenBytes-len(name))
}

func digests(names ...string) []string {
	var out []string
	for _, n := range names {
		out = append(out, configuration.DigestToken([]byte(n)).String())
	}
	return out
}

func stateOf(cfg configuration.Configuration) *view.Value[follower.State] {
	return view.NewValue(follower.State{Configuration: cfg})
}

func testConfiguration() configuration.Configuration {
	return configuration.Configuration{Version: 1, Objects: configuration.Objects{
		Operators: map[inventory.OperatorID]configuration.Operator{
			"ana": {Owner: "Corchos", TokenDigests: digests(token("ana-1"), token("ana-2"))},
			"bea": {Owner: "Campanella", TokenDigests: digests(token("bea"), "short")},
		},
		Tenants: map[inventory.TenantID]configuration.Tenant{
			"OrderDesk": {Owner: "Corchos", TokenDigests: digests(token("desk"))},
			"Plant":     {Owner: "Corchos"},
		},
	}}
}

// tlsConn is a TLS connection whose client certificate has the common name.
type tlsConn struct {
	net.Conn
	commonName string
}

func (c tlsConn) Handshake() error { return nil }

func (c tlsConn) ConnectionState() tls.ConnectionState {
	if c.commonName == "" {
		return tls.ConnectionState{}
	}
	leaf := &x509.Certificate{Subject: pkix.Name{CommonName: c.commonName}}
	return tls.ConnectionState{VerifiedChains: [][]*x509.Certificate{{leaf}}}
}

// serve passes a request to a handler and returns the status of the response.
func serve(t *testing.T, check fasthttp.RequestHandler, path, certificate string, headers map[string]string) int {
	t.Helper()
	ctx := &fasthttp.RequestCtx{}
	ctx.Init2(tlsConn{commonName: certificate}, nil, false)
	ctx.Request.SetRequestURI(path)
	for k, v := range headers {
		ctx.Request.Header.Set(k, v)
	}
	check(ctx)
	return ctx.Response.StatusCode()
}

func TestOperatorsAuthenticateByTokenOrCertificate(t *testing.T) {
	bearer := func(tok string) map[string]string {
		return map[string]string{"Authorization": "Bearer " + tok, "Operator": "bea"}
	}
	root := token("root")
	empty := configuration.Configuration{}
	tests := map[string]struct {
		cfg         configuration.Configuration
		names       settings.HeaderNameRule
		path        string
		certificate string
		headers     map[string]string
		want        string
		refused     bool
	}{
		"a token":                                      {cfg: testConfiguration(), headers: bearer(token("ana-1")), want: "ana"},
		"the second token during a change":             {cfg: testConfiguration(), headers: bearer(token("ana-2")), want: "ana"},
		"a wrong token beside a name":                  {cfg: testConfiguration(), headers: bearer(token("eve")), refused: true},
		"a wrong token where names are allowed":        {cfg: testConfiguration(), names: settings.HeaderNamesTrusted, headers: bearer(token("eve")), refused: true},
		"a token too short to be safe":                 {cfg: testConfiguration(), headers: bearer("short"), refused: true},
		"a digest sent as a token":                     {cfg: testConfiguration(), headers: bearer(digests(token("bea"))[0]), refused: true},
		"another scheme":                               {cfg: testConfiguration(), headers: map[string]string{"Authorization": "Basic " + token("bea")}, refused: true},
		"a name alone":                                 {cfg: testConfiguration(), headers: map[string]string{"Operator": "bea"}, refused: true},
		"a name alone where names are allowed":         {cfg: testConfiguration(), names: settings.HeaderNamesTrusted, headers: map[string]string{"Operator": "bea"}, want: "bea"},
		"nothing":                                      {cfg: testConfiguration(), refused: true},
		"nothing on the load balancer's path":          {cfg: testConfiguration(), path: "/ready"},
		"a false name on the load balancer's path":     {cfg: testConfiguration(), path: "/ready", headers: map[string]string{"Operator": "bea"}},
		"a certificate":                                {cfg: testConfiguration(), certificate: "bea", want: "bea"},
		"a certificate of no operator":                 {cfg: testConfiguration(), certificate: "eve", refused: true},
		"a certificate of no operator with a token":    {cfg: testConfiguration(), certificate: "gateway", headers: bearer(token("ana-1")), want: "ana"},
		"a certificate against a token":                {cfg: testConfiguration(), certificate: "bea", headers: bearer(token("ana-1")), refused: true},
		"a certificate with a wrong token":             {cfg: testConfiguration(), certificate: "bea", headers: bearer(token("eve")), refused: true},
		"a certificate against a name":                 {cfg: testConfiguration(), names: settings.HeaderNamesTrusted, certificate: "ana", headers: map[string]string{"Operator": "bea"}, want: "ana"},
		"the bootstrap token without operators":        {cfg: empty, headers: bearer(root), want: string(Bootstrap)},
		"a wrong bootstrap token":                      {cfg: empty, headers: bearer(token("eve")), refused: true},
		"the bootstrap token once there are operators": {cfg: testConfiguration(), headers: bearer(root), refused: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			seen, reached := "", false
			o := NewOperatorAuthenticator(stateOf(test.cfg), test.names, digests(root)[0])
			status := serve(t, o.Handler(func(ctx *fasthttp.RequestCtx) {
				reached = true
				seen = string(ctx.Request.Header.Peek(operation.HeaderOperator))
				require.Empty(t, ctx.Request.Header.Peek("Authorization"), "the token is not passed on")
			}), "http://h"+test.path, test.certificate, test.headers)
			require.Equal(t, test.refused, !reached)
			require.Equal(t, test.want, seen)
			if test.refused {
				require.Equal(t, fasthttp.StatusUnauthorized, status)
			}
		})
	}
}

func TestBootstrapTokenIsRefusedWithoutItsSetting(t *testing.T) {
	o := NewOperatorAuthenticator(stateOf(configuration.Configuration{}), settings.HeaderNamesRefused, "")
	status := serve(t, o.Handler(func(*fasthttp.RequestCtx) { t.Fatal("reached") }), "http://h/changes", "", map[string]string{"Authorization": "Bearer " + token("root")})
	require.Equal(t, fasthttp.StatusUnauthorized, status)
}

func TestTenantsAuthenticateByToken(t *testing.T) {
	desk, eve := token("desk"), token("eve")
	tests := map[string]struct {
		names   settings.HeaderNameRule
		headers map[string]string
		want    string
		// service is the Authorization header that the service gets.
		service string
	}{
		"a bearer token":                           {headers: map[string]string{"Authorization": "Bearer " + desk}, want: "OrderDesk"},
		"a bearer token against another name":      {headers: map[string]string{"Authorization": "Bearer " + desk, HeaderTenant: "Plant"}, want: "OrderDesk"},
		"a token beside the service's own":         {headers: map[string]string{HeaderTenantToken: desk, "Authorization": "Basic x"}, want: "OrderDesk", service: "Basic x"},
		"a token against another name":             {headers: map[string]string{HeaderTenantToken: desk, HeaderTenant: "Plant"}, want: "OrderDesk"},
		"a wrong token beside a good bearer token": {headers: map[string]string{HeaderTenantToken: eve, "Authorization": "Bearer " + desk}, service: "Bearer " + desk},
		"a name alone":                             {headers: map[string]string{HeaderTenant: "Plant"}},
		"a wrong token beside a name":              {headers: map[string]string{HeaderTenantToken: eve, HeaderTenant: "Plant"}},
		"a wrong bearer token beside a name":       {headers: map[string]string{"Authorization": "Bearer " + eve, HeaderTenant: "Plant"}, service: "Bearer " + eve},
		"a wrong token where names are allowed":    {names: settings.HeaderNamesTrusted, headers: map[string]string{HeaderTenantToken: eve, HeaderTenant: "Plant"}},
		"a name where names are allowed":           {names: settings.HeaderNamesTrusted, headers: map[string]string{HeaderTenant: "Plant"}, want: "Plant"},
		"an operator's token is not a tenant's":    {headers: map[string]string{HeaderTenantToken: token("ana-1")}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := NewTenantAuthenticator(stateOf(testConfiguration()), test.names)
			serve(t, c.Handler(func(ctx *fasthttp.RequestCtx) {
				require.Equal(t, test.want, string(ctx.Request.Header.Peek(HeaderTenant)))
				require.Empty(t, ctx.Request.Header.Peek(HeaderTenantToken), "the token is not passed on")
				require.Equal(t, test.service, string(ctx.Request.Header.Peek("Authorization")))
			}), "http://h/services/Prices/", "", test.headers)
		})
	}
}

func TestTokenIsRefusedOnceAVersionDropsIt(t *testing.T) {
	f := NewTokens(tenantDigests)
	cfg := testConfiguration()
	_, ok := f.Find(cfg, []byte(token("desk")))
	require.True(t, ok)
	cfg.Version = 2
	cfg.Tenants = map[inventory.TenantID]configuration.Tenant{"OrderDesk": {TokenDigests: digests(token("new"))}}
	_, ok = f.Find(cfg, []byte(token("desk")))
	require.False(t, ok)
	id, ok := f.Find(cfg, []byte(token("new")))
	require.True(t, ok)
	require.Equal(t, inventory.TenantID("OrderDesk"), id)
}

func BenchmarkFindAmongTenants(b *testing.B) {
	cfg := configuration.Configuration{Version: 1}
	cfg.Tenants = make(map[inventory.TenantID]configuration.Tenant)
	for i := range 800 {
		id := fmt.Sprintf("tenant-%d", i)
		cfg.Tenants[inventory.TenantID(id)] = configuration.Tenant{TokenDigests: digests(token(id))}
	}
	f := NewTokens(tenantDigests)
	sent := []byte(token("tenant-700"))
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := f.Find(cfg, sent); !ok {
			b.Fatal("not found")
		}
	}
}
