package deployment

import (
	"github.com/godwitcross/godwitcross/entry/settings"
)

// Security says how entry hosts know their clients. The zero value is for
// development: plain text, and names in headers are believed.
type Security struct {
	// Callers, Operators and Peers are used where Encrypted is set.
	Encrypted bool
	Callers   settings.Listener
	Operators settings.Listener
	Peers     settings.Listener
	// PeerAddresses are asked in place of those of the deployment.
	PeerAddresses []string
	// Names has names in headers believed although listeners are encrypted.
	Names bool
	// BootstrapTokenDigest is that of the token that publishes the first
	// configuration.
	BootstrapTokenDigest string
}

// apply fills the security settings of an entry host.
func (s Security) apply(to *settings.Settings) {
	if s.Encrypted {
		to.CallerListener, to.OperatorListener, to.PeerListener = s.Callers, s.Operators, s.Peers
		to.Peers = s.PeerAddresses
		to.BootstrapTokenDigest = s.BootstrapTokenDigest
		if s.Names {
			to.HeaderNames = settings.HeaderNamesTrusted
		}
		return
	}
	to.HeaderNames = settings.HeaderNamesTrusted
	for _, l := range []*settings.Listener{&to.CallerListener, &to.OperatorListener, &to.PeerListener} {
		l.Transport = settings.TransportPlainText
	}
}
