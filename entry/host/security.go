package host

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/godwitcross/godwitcross/entry/certificate"
	"github.com/godwitcross/godwitcross/entry/identity"
	"github.com/godwitcross/godwitcross/entry/listener"
	"github.com/godwitcross/godwitcross/entry/settings"
)

// checkClients puts the check of who asks before the callers' and the
// operators' servers, and bounds what clients can take from them.
func (h *Host) checkClients() {
	s := h.cfg.Settings
	h.callers.Handler = identity.NewCallers(h.state, s.Names).Handler(h.callers.Handler)
	h.operators.Handler = identity.NewOperators(h.state, s.Names, s.BootstrapTokenDigest).Handler(h.operators.Handler)
	listener.Bound(h.callers, h.log, s.CallerListener.Limits)
	listener.Bound(h.operators, h.log, s.OperatorListener.Limits)
}

// encrypt returns the callers' and the operators' listeners as the settings
// want them spoken to, and adds the tasks that replace certificates.
func (h *Host) encrypt(callers, operators net.Listener, now time.Time) (net.Listener, net.Listener, error) {
	s := h.cfg.Settings
	callers, err := h.encryptOne(callers, "callers", s.CallerListener, tls.VersionTLS12, now)
	if err != nil {
		return nil, nil, err
	}
	operators, err = h.encryptOne(operators, "operators", s.OperatorListener, tls.VersionTLS13, now)
	return callers, operators, err
}

func (h *Host) encryptOne(l net.Listener, name string, s settings.Listener, version uint16, now time.Time) (net.Listener, error) {
	if s.Transport == settings.TransportPlainText {
		h.log.WithField("For", name).Warn("plain text, as the settings say")
		return l, nil
	}
	store, err := certificate.NewStore(certificate.StoreConfig{
		Log: h.log, Metrics: h.metrics, Name: name, MinVersion: version, Clients: clients(s),
		Sources: certificate.Sources{Certificate: s.Certificate, Key: s.Key, Authority: s.Authority},
	}, now)
	if err != nil {
		return nil, err
	}
	h.tasks = append(h.tasks, store)
	return tls.NewListener(l, store.Server()), nil
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
