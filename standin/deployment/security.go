package deployment

import (
	"github.com/godwitcross/godwitcross/entry/settings"
)

// Security says how entry hosts know their clients. The zero value is for
// development: plain text, and names in headers are believed.
type Security struct {
	// Callers and Operators are used where Encrypted is set.
	Encrypted bool
	Callers   settings.Listener
	Operators settings.Listener
	// BootstrapTokenDigest is that of the token that publishes the first
	// configuration.
	BootstrapTokenDigest string
}

// apply fills the security settings of an entry host.
func (s Security) apply(to *settings.Settings) {
	if s.Encrypted {
		to.CallerListener, to.OperatorListener = s.Callers, s.Operators
		to.PeerListener.Transport = settings.TransportPlainText
		to.BootstrapTokenDigest = s.BootstrapTokenDigest
		return
	}
	to.Names = settings.NamesAllowed
	for _, l := range []*settings.Listener{&to.CallerListener, &to.OperatorListener, &to.PeerListener} {
		l.Transport = settings.TransportPlainText
	}
}
