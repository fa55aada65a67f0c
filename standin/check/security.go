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

// Who takes part in the step over TLS.
const (
	securedTenant   = inventory.TenantID("Secretaries")
	securedService  = inventory.ServiceID("Schedules")
	securedOperator = "campanella-operator"
	foreignHost     = inventory.HostID("Prices-01")
)

// securedToken is a tenant's token, long enough to be taken.
var securedToken = strings.Repeat("school-bell-", 4)

// secured is an entry host that believes no names and speaks TLS alone.
type secured struct {
	entry     *deployment.Entry
	operators *client.Client
	callers   *tls.Config
}

// overTLS starts such a host and walks publication and requests through it.
func overTLS(d *deployment.Deployment) error {
	folder, err := os.MkdirTemp("", "godwitcross")
	if err != nil {
		return eris.Wrap(err, "making a folder for certificates")
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
	for _, part := range []func() error{s.publishToken, s.changeForeignHost, s.requestWithToken, s.requestWithNameAlone, s.askInPlainText} {
		if err := part(); err != nil {
			return err
		}
	}
	return nil
}

func startSecured(d *deployment.Deployment, folder string, now time.Time) (*secured, error) {
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
	e, err := d.StartSecured("Palermo-secured", "Palermo", deployment.Security{Encrypted: true, Callers: toCallers, Operators: l, Peers: l})
	if err != nil {
		return nil, err
	}
	cfg, err := a.Client(securedOperator, now)
	if err != nil {
		return nil, err
	}
	return &secured{
		entry:     e,
		operators: client.NewClient(client.Config{Address: e.Settings.OperatorAddress, TLS: cfg}),
		callers:   &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: a.Pool()},
	}, nil
}

// stop ends the host and takes it from the host list.
func (s *secured) stop(d *deployment.Deployment) {
	d.Platform.Hosts.Remove(time.Now(), inventory.HostID(s.entry.Settings.Name))
	_ = s.entry.Stop()
}

func (s *secured) inForce() (configuration.Configuration, error) {
	var cfg configuration.Configuration
	err := s.operators.Get("/configuration", &cfg)
	return cfg, err
}

// publishToken publishes as the operator that the certificate names.
func (s *secured) publishToken() error {
	cfg, err := s.inForce()
	if err != nil {
		return err
	}
	t := cfg.Tenants[securedTenant]
	t.TokenDigests = []string{configuration.DigestToken([]byte(securedToken)).String()}
	c := configuration.Change{Base: cfg.Version, Set: configuration.Objects{Tenants: map[inventory.TenantID]configuration.Tenant{securedTenant: t}}}
	var v journal.Result
	if err := s.operators.Post("/changes", operation.Publication{ID: "secured-token", Change: c}, &v); err != nil {
		return eris.Wrap(err, "publishing a token's digest")
	}
	if v.By != securedOperator {
		return eris.Wrapf(ErrWrong, "the record is by %q", v.By)
	}
	return nil
}

// changeForeignHost tries to take a host of the other owner over.
func (s *secured) changeForeignHost() error {
	cfg, err := s.inForce()
	if err != nil {
		return err
	}
	h := cfg.Hosts[foreignHost]
	h.Owner = cfg.Operators[securedOperator].Owner
	c := configuration.Change{Base: cfg.Version, Set: configuration.Objects{Hosts: map[inventory.HostID]configuration.Host{foreignHost: h}}}
	var v journal.Result
	err = s.operators.Post("/changes", operation.Publication{ID: "secured-foreign", Change: c}, &v)
	if !errors.Is(err, client.ErrRefused) {
		return eris.Wrapf(ErrWrong, "an operator took over the other owner's host: %v", err)
	}
	return nil
}

func (s *secured) requestWithToken() error {
	return s.request(identity.HeaderTenantToken, securedToken, fasthttp.StatusOK)
}

func (s *secured) requestWithNameAlone() error {
	return s.request(identity.HeaderTenant, string(securedTenant), fasthttp.StatusUnauthorized)
}

func (s *secured) request(header, value string, want int) error {
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
		return eris.Wrapf(ErrWrong, "request with %s: status %d, outcome %q, not status %d", header, resp.StatusCode(), resp.Header.Peek(caller.HeaderOutcome), want)
	}
	return nil
}

// askInPlainText expects no answer to an operator who does not encrypt.
func (s *secured) askInPlainText() error {
	var text any
	if err := client.New(s.entry.Settings.OperatorAddress, securedOperator).Get("/configuration", &text); err == nil {
		return eris.Wrap(ErrWrong, "the host answered in plain text")
	}
	return nil
}
