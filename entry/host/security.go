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

// peersName is what the peers' listener is called in logs and metrics.
const peersName = "peers"

// checkClients puts the check of who asks before the callers' and the
// operators' servers, and bounds what clients can take from them.
func (h *Host) checkClients() {
	s := h.cfg.Settings
	h.callers.Handler = identity.NewCallers(h.state, s.Names).Handler(h.callers.Handler)
	h.operators.Handler = identity.NewOperators(h.state, s.Names, s.BootstrapTokenDigest).Handler(h.operators.Handler)
	listener.Bound(h.callers, h.log, s.CallerListener.Limits)
	listener.Bound(h.operators, h.log, s.OperatorListener.Limits)
}

// encrypt returns the listeners as the settings want them spoken to, and adds
// the tasks that replace certificates.
func (h *Host) encrypt(l Listeners, now time.Time) (Listeners, error) {
	s := h.cfg.Settings
	var err error
	if l.Callers, _, err = h.encryptOne(l.Callers, "callers", s.CallerListener, tls.VersionTLS12, now); err != nil {
		return l, err
	}
	if l.Operators, _, err = h.encryptOne(l.Operators, "operators", s.OperatorListener, tls.VersionTLS13, now); err != nil {
		return l, err
	}
	l.Peers, h.peerKeys, err = h.encryptOne(listener.NewBounded(l.Peers, s.PeerListener.Limits), peersName, s.PeerListener, tls.VersionTLS13, now)
	return l, err
}

// encryptOne returns one listener and the store of its certificates, which is
// nil for plain text.
func (h *Host) encryptOne(l net.Listener, name string, s settings.Listener, version uint16, now time.Time) (net.Listener, *certificate.Store, error) {
	if s.Transport == settings.TransportPlainText {
		h.log.WithField("For", name).Warn("plain text, as the settings say")
		return l, nil, nil
	}
	cfg := certificate.StoreConfig{
		Log: h.log, Metrics: h.metrics, Name: name, MinVersion: version, Clients: clients(s),
		Sources: certificate.Sources{Certificate: s.Certificate, Key: s.Key, Authority: s.Authority},
	}
	if name == peersName {
		cfg.Clients, cfg.ClientName = certificate.ClientsCertified, h.cfg.Settings.PeerName
	}
	store, err := certificate.NewStore(cfg, now)
	if err != nil {
		return nil, nil, err
	}
	h.tasks = append(h.tasks, store)
	return tls.NewListener(l, store.Server()), store, nil
}

// dialPeer opens a connection to another entry host and, unless peers speak
// plain text, has both sides prove that they are entry hosts.
func (h *Host) dialPeer(ctx context.Context, address string) (net.Conn, error) {
	c, err := h.cfg.Dial(ctx, address)
	if err != nil || h.peerKeys == nil {
		return c, err
	}
	t := tls.Client(c, h.peerKeys.Client(h.cfg.Settings.PeerName))
	if err := t.HandshakeContext(ctx); err != nil {
		_ = c.Close()
		return nil, eris.Wrapf(err, "proving each other's name with %s", address)
	}
	return t, nil
}

// clients returns what the listener asks of its clients.
func clients(s settings.Listener) certificate.Clients {
	switch {
	case s.Authority == "":
		return certificate.ClientsUnknown
	case s.ClientCertificates == settings.CertificatesIfGiven:
		return certificate.ClientsIfGiven
	}
	return certificate.ClientsCertified
}
