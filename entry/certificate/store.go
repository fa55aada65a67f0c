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

// ReloadInterval is the interval at which the sources are read again.
const ReloadInterval = 5 * time.Second

// ClientPolicy is the policy of a server for client certificates.
type ClientPolicy int

// Policies for client certificates.
const (
	// ClientCertificateNone requests no certificate.
	ClientCertificateNone ClientPolicy = iota
	// ClientCertificateOptional verifies a certificate if the client sends one.
	ClientCertificateOptional
	// ClientCertificateRequired requires a valid certificate.
	ClientCertificateRequired
)

// StoreConfig configures a store.
type StoreConfig struct {
	Log     logrus.FieldLogger
	Metrics *metric.Registry
	// Name is the purpose of the certificates, as logs and metrics show it.
	Name    string
	Sources Sources
	Clients ClientPolicy
	// ClientName is the host name that every client certificate must have; if
	// empty, names are not checked.
	ClientName string
	// MinVersion is the oldest accepted version of TLS, for example
	// tls.VersionTLS13.
	MinVersion uint16
}

// Store holds the certificates in use. An open connection keeps those of its
// handshake. A store is safe for concurrent use.
type Store struct {
	cfg StoreConfig
	// current is replaced as a whole when the sources have changed.
	current atomic.Pointer[activeSet]
}

// activeSet is a certificate set and the server configuration built from it.
type activeSet struct {
	*certificateSet
	server *tls.Config
}

// NewStore loads the sources and returns a store of them.
func NewStore(cfg StoreConfig, now time.Time) (*Store, error) {
	s := &Store{cfg: cfg}
	set, err := loadSources(cfg.Sources, now)
	if err != nil {
		return nil, eris.Wrapf(err, "loading the certificates for %s", cfg.Name)
	}
	s.activate(set)
	return s, nil
}

func (s *Store) activate(set *certificateSet) {
	s.current.Store(&activeSet{certificateSet: set, server: s.serverConfig(set)})
	s.cfg.Metrics.Gauge("certificate_valid_until_seconds", set.pair.Leaf.NotAfter.Unix(), metric.Label{Name: "for", Value: s.cfg.Name})
}

// Server returns a server configuration that uses the store's current certificates
// for each handshake.
func (s *Store) Server() *tls.Config {
	return &tls.Config{
		MinVersion: s.cfg.MinVersion,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.current.Load().server, nil
		},
	}
}

// Client returns a configuration for one connection to a server whose certificate
// must have the name.
func (s *Store) Client(name string) *tls.Config {
	set := s.current.Load().certificateSet
	return &tls.Config{
		MinVersion: s.cfg.MinVersion, ServerName: name, RootCAs: set.authority,
		Certificates: []tls.Certificate{set.pair},
	}
}

func (s *Store) serverConfig(set *certificateSet) *tls.Config {
	c := &tls.Config{MinVersion: s.cfg.MinVersion, Certificates: []tls.Certificate{set.pair}, ClientCAs: set.authority}
	switch s.cfg.Clients {
	case ClientCertificateOptional:
		c.ClientAuth = tls.VerifyClientCertIfGiven
	case ClientCertificateRequired:
		c.ClientAuth = tls.RequireAndVerifyClientCert
	}
	// A resumed session would remain accepted after a change of the authorities.
	c.SessionTicketsDisabled = s.cfg.Clients != ClientCertificateNone
	if s.cfg.ClientName != "" {
		c.VerifyConnection = verifyName(s.cfg.ClientName)
	}
	return c
}

// verifyName returns a function that checks that the client's certificate has the
// name.
func verifyName(name string) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return x509.HostnameError{Certificate: &x509.Certificate{}, Host: name}
		}
		return state.PeerCertificates[0].VerifyHostname(name)
	}
}

// Refresh reads the sources again and, if they have changed, uses them from the
// next handshake on. If they cannot be loaded, the store keeps its certificates.
func (s *Store) Refresh(now time.Time) error {
	set, err := loadSources(s.cfg.Sources, now)
	if err != nil {
		s.cfg.Metrics.Count("certificate_reload_failures", 1, metric.Label{Name: "for", Value: s.cfg.Name})
		return err
	}
	if set.digest == s.current.Load().digest {
		return nil
	}
	s.activate(set)
	s.cfg.Log.WithFields(logrus.Fields{"For": s.cfg.Name, "ValidUntil": set.pair.Leaf.NotAfter}).Info("certificates replaced")
	return nil
}

// Name returns the task's name.
func (s *Store) Name() string {
	return "certificates for " + s.cfg.Name
}

// Run refreshes the store every ReloadInterval until the context ends.
func (s *Store) Run(ctx context.Context) error {
	t := time.NewTicker(ReloadInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			if err := s.Refresh(now); err != nil {
				s.cfg.Log.WithError(err).WithField("For", s.cfg.Name).Warn("reloading certificates failed; keeping the current ones")
			}
		}
	}
}
