package certificate

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/godwitcross/godwitcross/entry/metric"
)

// ReloadEvery is the time between two looks at the sources.
const ReloadEvery = 5 * time.Second

// Clients says what a server asks of its clients.
type Clients int

// The rules for clients.
const (
	// ClientsUnknown asks for no certificate.
	ClientsUnknown Clients = iota
	// ClientsIfGiven checks a certificate where the client sends one.
	ClientsIfGiven
	// ClientsCertified refuses clients without a valid certificate.
	ClientsCertified
)

// StoreConfig is what a store is built from.
type StoreConfig struct {
	Log     logrus.FieldLogger
	Metrics *metric.Registry
	// Name is what the store's certificates are for, in logs and metrics.
	Name    string
	Sources Sources
	Clients Clients
	// ClientName is the name that every client's certificate must bear; empty
	// where any name will do.
	ClientName string
	// MinVersion is the oldest version of TLS, for example tls.VersionTLS13.
	MinVersion uint16
}

// Store holds the certificates in use. Connections that are open keep those
// that they began with. It is safe for concurrent use.
type Store struct {
	cfg StoreConfig
	// current is replaced as a whole when the sources have changed.
	current atomic.Pointer[loaded]
}

// loaded is the material with the server's configuration that is built from it.
type loaded struct {
	*material
	server *tls.Config
}

// NewStore returns a store that has loaded its sources.
func NewStore(cfg StoreConfig, now time.Time) (*Store, error) {
	s := &Store{cfg: cfg}
	m, err := load(cfg.Sources, now)
	if err != nil {
		return nil, eris.Wrapf(err, "loading the certificates for %s", cfg.Name)
	}
	s.use(m)
	return s, nil
}

func (s *Store) use(m *material) {
	s.current.Store(&loaded{material: m, server: s.serverConfig(m)})
	s.cfg.Metrics.Gauge("certificate_valid_until_seconds", m.pair.Leaf.NotAfter.Unix(), metric.Label{Name: "for", Value: s.cfg.Name})
}

// Server returns a configuration that uses for each handshake what the store
// holds at that moment.
func (s *Store) Server() *tls.Config {
	return &tls.Config{
		MinVersion: s.cfg.MinVersion,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.current.Load().server, nil
		},
	}
}

// Client returns a configuration for one connection to a server whose
// certificate bears the name.
func (s *Store) Client(name string) *tls.Config {
	m := s.current.Load().material
	return &tls.Config{
		MinVersion: s.cfg.MinVersion, ServerName: name, RootCAs: m.authority,
		Certificates: []tls.Certificate{m.pair},
	}
}

func (s *Store) serverConfig(m *material) *tls.Config {
	c := &tls.Config{MinVersion: s.cfg.MinVersion, Certificates: []tls.Certificate{m.pair}, ClientCAs: m.authority}
	switch s.cfg.Clients {
	case ClientsIfGiven:
		c.ClientAuth = tls.VerifyClientCertIfGiven
	case ClientsCertified:
		c.ClientAuth = tls.RequireAndVerifyClientCert
	}
	// A resumed session would outlive a change of the authorities.
	c.SessionTicketsDisabled = s.cfg.Clients != ClientsUnknown
	if s.cfg.ClientName != "" {
		c.VerifyConnection = verifyName(s.cfg.ClientName)
	}
	return c
}

// verifyName returns a check that the client's certificate bears the name.
func verifyName(name string) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return x509.HostnameError{Certificate: &x509.Certificate{}, Host: name}
		}
		return state.PeerCertificates[0].VerifyHostname(name)
	}
}

// Refresh loads the sources again and uses them from the next handshake on if
// they have changed. When they can't be used, the store keeps what it has.
func (s *Store) Refresh(now time.Time) error {
	m, err := load(s.cfg.Sources, now)
	if err != nil {
		s.cfg.Metrics.Count("certificate_reload_failures", 1, metric.Label{Name: "for", Value: s.cfg.Name})
		return err
	}
	if m.digest == s.current.Load().digest {
		return nil
	}
	s.use(m)
	s.cfg.Log.WithFields(logrus.Fields{"For": s.cfg.Name, "ValidUntil": m.pair.Leaf.NotAfter}).Info("certificates replaced")
	return nil
}

// Name returns the task's name.
func (s *Store) Name() string {
	return "certificates for " + s.cfg.Name
}

// Run looks at the sources until the context ends.
func (s *Store) Run(ctx context.Context) error {
	t := time.NewTicker(ReloadEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			if err := s.Refresh(now); err != nil {
				s.cfg.Log.WithError(err).WithField("For", s.cfg.Name).Warn("certificates were not replaced")
			}
		}
	}
}
