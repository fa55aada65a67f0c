package check

import (
	"crypto/tls"
	"errors"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/ctl/client"
	"github.com/godwitcross/godwitcross/entry/caller"
	"github.com/godwitcross/godwitcross/entry/identity"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/operation"
	"github.com/godwitcross/godwitcross/standin/deployment"
)

// The tenant, service, operator and foreign host that the TLS step uses.
const (
	securedTenant   = inventory.TenantID("Secretaries")
	securedService  = inventory.ServiceID("Schedules")
	securedOperator = "campanella-operator"
	otherOwnersHost = inventory.HostID("Prices-01")
)

// securedToken is the tenant's token; it is long enough to be accepted.
var securedToken = strings.Repeat("school-bell-", 4)

// securedHost is an entry host that accepts TLS connections only and authenticates callers
// by token and operators by certificate.
type securedHost struct {
	entry     *deployment.Entry
	operators *client.Client
	callers   *tls.Config
}

// authenticateOverTLS starts a host that requires TLS, publishes a change through it and
// sends it requests with and without credentials.
func authenticateOverTLS(d *deployment.Deployment) error {
	folder, err := os.MkdirTemp("", "godwitcross")
	if err != nil {
		return eris.Wrap(err, "creating a directory for certificates")
	}
	defer os.RemoveAll(folder)
	s, err := startSecured(d, folder, time.Now())
	if err != nil {
		return err
	}
	defer s.stop(d)
	if err := await(func() error { var text string; return s.operators.Get("/ready", &text) }); err != nil {
		return eris.Wrap(err, "waiting for the entry host")
	}
	for _, part := range []func() error{s.publishToken, s.claimOtherOwnersHost, s.requestWithToken, s.requestWithNameAlone, s.requestWithoutTLS} {
		if err := part(); err != nil {
			return err
		}
	}
	return nil
}

// startSecured starts an entry host with certificates from a new authority.
func startSecured(d *deployment.Deployment, folder string, now time.Time) (*securedHost, error) {
	a, err := deployment.NewAuthority(folder, now)
	if err != nil {
		return nil, err
	}
	l, err := a.Issue("entry.godwitcross", now)
	if err != nil {
		return nil, err
	}
	toCallers := l
	toCallers.Authority = ""
	e, err := d.StartEntryWithSecurity("Palermo-secured", "Palermo", deployment.Security{Encrypted: true, Callers: toCallers, Operators: l, Peers: l})
	if err != nil {
		return nil, err
	}
	cfg, err := a.Client(securedOperator, now)
	if err != nil {
		return nil, err
	}
	return &securedHost{
		entry:     e,
		operators: client.NewClient(client.Config{Address: e.Settings.OperatorAddress, TLS: cfg}),
		callers:   &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: a.Pool()},
	}, nil
}

// stop removes the host from the host list and stops it.
func (s *securedHost) stop(d *deployment.Deployment) {
	d.Platform.Hosts.Remove(time.Now(), inventory.HostID(s.entry.Settings.Name))
	_ = s.entry.Stop()
}

// activeConfiguration returns the configuration in force.
func (s *securedHost) activeConfiguration() (configuration.Configuration, error) {
	var cfg configuration.Configuration
	err := s.operators.Get("/configuration", &cfg)
	return cfg, err
}

// publishToken publishes a tenant token's digest as the operator named in the client
// certificate.
func (s *securedHost) publishToken() error {
	cfg, err := s.activeConfiguration()
	if err != nil {
		return err
	}
	t := cfg.Tenants[securedTenant]
	t.TokenDigests = []string{configuration.DigestToken([]byte(securedToken)).String()}
	c := configuration.Change{Base: cfg.Version, Set: configuration.Objects{Tenants: map[inventory.TenantID]configuration.Tenant{securedTenant: t}}}
	var v journal.Result
	if err := s.operators.Post("/changes", operation.Publication{ID: "secured-token", Change: c}, &v); err != nil {
		return eris.Wrap(err, "publishing the token's digest")
	}
	if v.By != securedOperator {
		return eris.Wrapf(ErrCheckFailed, "the record was published by %q", v.By)
	}
	return nil
}

// claimOtherOwnersHost expects a refusal when an operator assigns a host of the other
// owner to its own.
func (s *securedHost) claimOtherOwnersHost() error {
	cfg, err := s.activeConfiguration()
	if err != nil {
		return err
	}
	h := cfg.Hosts[otherOwnersHost]
	h.Owner = cfg.Operators[securedOperator].Owner
	c := configuration.Change{Base: cfg.Version, Set: configuration.Objects{Hosts: map[inventory.HostID]configuration.Host{otherOwnersHost: h}}}
	var v journal.Result
	err = s.operators.Post("/changes", operation.Publication{ID: "secured-foreign", Change: c}, &v)
	if !errors.Is(err, client.ErrRefused) {
		return eris.Wrapf(ErrCheckFailed, "an operator took over the other owner's host: %v", err)
	}
	return nil
}

func (s *securedHost) requestWithToken() error {
	return s.request(identity.HeaderTenantToken, securedToken, fasthttp.StatusOK)
}

func (s *securedHost) requestWithNameAlone() error {
	return s.request(identity.HeaderTenant, string(securedTenant), fasthttp.StatusUnauthorized)
}

func (s *securedHost) request(header, value string, want int) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	address := s.entry.Settings.CallerAddress
	req.SetRequestURI("https://" + address + "/services/" + string(securedService) + "/check")
	req.Header.Set(header, value)
	c := fasthttp.HostClient{Addr: address, IsTLS: true, TLSConfig: s.callers, MaxIdemponentCallAttempts: 1}
	defer c.CloseIdleConnections()
	if err := c.DoTimeout(req, resp, stepTimeout); err != nil {
		return eris.Wrapf(err, "request with %s", header)
	}
	if resp.StatusCode() != want {
		return eris.Wrapf(ErrCheckFailed, "request with %s: status %d, outcome %q, not status %d", header, resp.StatusCode(), resp.Header.Peek(caller.HeaderOutcome), want)
	}
	return nil
}

// requestWithoutTLS expects a request without TLS to the operator address to fail.
func (s *securedHost) requestWithoutTLS() error {
	var text any
	if err := client.New(s.entry.Settings.OperatorAddress, securedOperator).Get("/configuration", &text); err == nil {
		return eris.Wrap(ErrCheckFailed, "the host answered a request without TLS")
	}
	return nil
}
