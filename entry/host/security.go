package host

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/entry/certificate"
	"github.com/godwitcross/godwitcross/entry/identity"
	"github.com/godwitcross/godwitcross/entry/listener"
	"github.com/godwitcross/godwitcross/entry/settings"
)

// peerListenerName is the name of the peers' listener in logs and metrics.
const peerListenerName = "peers"

// authenticateClients adds authentication to the callers' and the operators' servers
// and applies their limits.
func (h *Host) authenticateClients() {
	s := h.cfg.Settings
	h.callerServer.Handler = identity.NewTenantAuthenticator(h.state, s.HeaderNames).Handler(h.callerServer.Handler)
	h.operatorServer.Handler = identity.NewOperatorAuthenticator(h.state, s.HeaderNames, s.BootstrapTokenDigest).Handler(h.operatorServer.Handler)
	listener.Bound(h.callerServer, h.log, s.CallerListener.Limits)
	listener.Bound(h.operatorServer, h.log, s.OperatorListener.Limits)
}

// encryptListeners wraps the listeners in TLS where the settings require it, and adds
// the tasks that reload certificates.
func (h *Host) encryptListeners(l Listeners, now time.Time) (Listeners, error) {
	s := h.cfg.Settings
	var err error
	if l.Callers, _, err = h.encryptListener(l.Callers, "callers", s.CallerListener, tls.VersionTLS12, now); err != nil {
		return l, err
	}
	if l.Operators, _, err = h.encryptListener(l.Operators, "operators", s.OperatorListener, tls.VersionTLS13, now); err != nil {
		return l, err
	}
	l.Peers, h.peerCertificates, err = h.encryptListener(listener.NewBounded(l.Peers, s.PeerListener.Limits), peerListenerName, s.PeerListener, tls.VersionTLS13, now)
	return l, err
}

// encryptListener wraps one listener and returns it with its certificate store, which
// is nil for plain text.
func (h *Host) encryptListener(l net.Listener, name string, s settings.Listener, version uint16, now time.Time) (net.Listener, *certificate.Store, error) {
	if s.Transport == settings.TransportPlainText {
		h.log.WithField("For", name).Warn("listener uses plain text as configured")
		return l, nil, nil
	}
	cfg := certificate.StoreConfig{
		Log: h.log, Metrics: h.metrics, Name: name, MinVersion: version, Clients: clientPolicy(s),
		Sources: certificate.Sources{Certificate: s.Certificate, Key: s.Key, Authority: s.Authority},
	}
	if name == peerListenerName {
		cfg.Clients, cfg.ClientName = certificate.ClientCertificateRequired, h.cfg.Settings.PeerName
	}
	store, err := certificate.NewStore(cfg, now)
	if err != nil {
		return nil, nil, err
	}
	h.tasks = append(h.tasks, store)
	return tls.NewListener(l, store.Server()), store, nil
}

// dialPeer opens a connection to another entry host. Unless peers use plain text, both
// sides authenticate each other by TLS certificates.
func (h *Host) dialPeer(ctx context.Context, address string) (net.Conn, error) {
	c, err := h.cfg.Dial(ctx, address)
	if err != nil || h.peerCertificates == nil {
		return c, err
	}
	t := tls.Client(c, h.peerCertificates.Client(h.cfg.Settings.PeerName))
	if err := t.HandshakeContext(ctx); err != nil {
		_ = c.Close()
		return nil, eris.Wrapf(err, "TLS handshake with peer %s", address)
	}
	return t, nil
}

// clientPolicy returns which client certificates the listener requires.
func clientPolicy(s settings.Listener) certificate.ClientPolicy {
	switch {
	case s.Authority == "":
		return certificate.ClientCertificateNone
	case s.ClientCertificates == settings.ClientCertificatesOptional:
		return certificate.ClientCertificateOptional
	}
	return certificate.ClientCertificateRequired
}
