package deployment

import (
	"github.com/godwitcross/godwitcross/entry/settings"
)

// Security configures how entry hosts authenticate their clients. The zero value is for
// development: plain text, and names in headers are trusted.
type Security struct {
	// Encrypted enables TLS with the settings of the listeners below; the other fields are
	// ignored without it.
	Encrypted bool
	Callers   settings.Listener
	Operators settings.Listener
	Peers     settings.Listener
	// PeerAddresses replace the peer addresses of the deployment.
	PeerAddresses []string
	// TrustHeaderNames makes entry hosts trust names in headers on encrypted listeners.
	TrustHeaderNames bool
	// BootstrapTokenDigest is the digest of the token that permits publishing the first
	// configuration.
	BootstrapTokenDigest string
}

// apply sets the security settings of an entry host.
func (s Security) apply(to *settings.Settings) {
	if s.Encrypted {
		to.CallerListener, to.OperatorListener, to.PeerListener = s.Callers, s.Operators, s.Peers
		to.Peers = s.PeerAddresses
		to.BootstrapTokenDigest = s.BootstrapTokenDigest
		if s.TrustHeaderNames {
			to.HeaderNames = settings.HeaderNamesTrusted
		}
		return
	}
	to.HeaderNames = settings.HeaderNamesTrusted
	for _, l := range []*settings.Listener{&to.CallerListener, &to.OperatorListener, &to.PeerListener} {
		l.Transport = settings.TransportPlainText
	}
}
