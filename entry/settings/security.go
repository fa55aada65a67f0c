package settings

import (
	"strings"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/godwitcross/godwitcross/fleet/configuration"
)

// HeaderNameRule says whether a name in a request header is trusted without a token or
// a certificate.
type HeaderNameRule string

// The rules for names in headers. The zero value refuses them.
const (
	HeaderNamesRefused HeaderNameRule = "refuse"
	HeaderNamesTrusted HeaderNameRule = "allow-for-development"
)

// Transport is the transport protocol of a listener.
type Transport string

// The transports. The zero value is TLS.
const (
	TransportTLS       Transport = "tls"
	TransportPlainText Transport = "plain-text"
)

// Source says where a certificate or a key is read from: "file:PATH" or
// "environment:NAME". It is never the secret itself, so that secrets appear
// neither in the process list nor in the log.
type Source string

// The prefixes of the forms of a source.
const (
	sourceFile        = "file:"
	sourceEnvironment = "environment:"
)

// File returns the path if the source is a file.
func (s Source) File() (string, bool) {
	return strings.CutPrefix(string(s), sourceFile)
}

// Environment returns the variable's name if the source is an environment
// variable.
func (s Source) Environment() (string, bool) {
	return strings.CutPrefix(string(s), sourceEnvironment)
}

// check returns an error if the source is malformed. The error omits the value,
// which may be a key passed by mistake.
func (s Source) check(flag string) error {
	if path, ok := s.File(); ok && path != "" {
		return nil
	}
	if name, ok := s.Environment(); ok && name != "" {
		return nil
	}
	return eris.Wrapf(ErrInvalidSetting, "%s must be file:PATH or environment:NAME", flag)
}

// Listener configures the transport and the limits for one kind of client.
type Listener struct {
	Transport Transport
	// Certificate and Key are the sources of this host's PEM certificate chain and
	// private key; required with TLS.
	Certificate Source
	Key         Source
	// Authority is the source of the PEM certificates of the authorities that sign
	// client certificates. If it is empty, no client certificate is requested.
	Authority Source
	// ClientCertificates says whether a client may connect without a certificate.
	ClientCertificates ClientCertificateRule
	Limits             Limits
}

// ClientCertificateRule says whether a client may connect without a certificate.
type ClientCertificateRule string

// The rules for client certificates. The zero value requires one.
const (
	ClientCertificatesRequired ClientCertificateRule = "required"
	ClientCertificatesOptional ClientCertificateRule = "if-given"
)

// flags returns the listener's flags. The prefix is caller, operator or peer.
func (l *Listener) flags(prefix string, defaults Limits) []cli.Flag {
	env := strings.ToUpper(prefix) + "_"
	return append([]cli.Flag{
		&cli.StringFlag{Name: prefix + "-transport", Usage: "tls or plain-text", Value: string(TransportTLS), Destination: (*string)(&l.Transport), Sources: environment(env + "TRANSPORT")},
		&cli.StringFlag{Name: prefix + "-certificate", Usage: "certificate chain in PEM, as file:PATH or environment:NAME", Destination: (*string)(&l.Certificate), Sources: environment(env + "CERTIFICATE")},
		&cli.StringFlag{Name: prefix + "-key", Usage: "private key in PEM, as file:PATH or environment:NAME", Destination: (*string)(&l.Key), Sources: environment(env + "KEY")},
		&cli.StringFlag{Name: prefix + "-authority", Usage: "authorities that sign client certificates, in PEM, as file:PATH or environment:NAME", Destination: (*string)(&l.Authority), Sources: environment(env + "AUTHORITY")},
		&cli.StringFlag{Name: prefix + "-client-certificates", Usage: "required, or if-given: verify a client's certificate only if it sends one", Value: string(ClientCertificatesRequired), Destination: (*string)(&l.ClientCertificates), Sources: environment(env + "CLIENT_CERTIFICATES")},
	}, l.Limits.flags(prefix, env, defaults)...)
}

// check returns an error that names the first invalid flag of the listener. With
// requireAuthority, a TLS listener must set the authorities of client certificates.
func (l *Listener) check(prefix string, requireAuthority bool) error {
	flag := "--" + prefix
	switch l.Transport {
	case TransportPlainText:
		return l.Limits.check(prefix)
	case TransportTLS, "":
	default:
		return eris.Wrapf(ErrInvalidSetting, "%s-transport %q is not tls or plain-text", flag, l.Transport)
	}
	if err := l.Certificate.check(flag + "-certificate"); err != nil {
		return err
	}
	if err := l.Key.check(flag + "-key"); err != nil {
		return err
	}
	switch l.ClientCertificates {
	case ClientCertificatesRequired, ClientCertificatesOptional, "":
	default:
		return eris.Wrapf(ErrInvalidSetting, "%s-client-certificates %q is not required or if-given", flag, l.ClientCertificates)
	}
	if requireAuthority || l.Authority != "" {
		if err := l.Authority.check(flag + "-authority"); err != nil {
			return err
		}
	}
	return l.Limits.check(prefix)
}

// securityFlags returns the flags for identities, transports and limits.
func (s *Settings) securityFlags() []cli.Flag {
	flags := []cli.Flag{
		&cli.StringFlag{Name: "names-in-headers", Usage: "refuse, or allow-for-development: trust the Operator and Tenant headers", Value: string(HeaderNamesRefused), Destination: (*string)(&s.HeaderNames), Sources: environment("NAMES_IN_HEADERS")},
		&cli.StringFlag{Name: "bootstrap-token-digest", Usage: "SHA-256 digest, in hexadecimal, of the token that may publish the first configuration", Destination: &s.BootstrapTokenDigest, Sources: environment("BOOTSTRAP_TOKEN_DIGEST")},
		&cli.StringFlag{Name: "peer-name", Usage: "DNS name in the certificates of all entry hosts", Value: DefaultPeerName, Destination: &s.PeerName, Sources: environment("PEER_NAME")},
	}
	flags = append(flags, s.CallerListener.flags("caller", CallerLimits)...)
	flags = append(flags, s.OperatorListener.flags("operator", OperatorLimits)...)
	return append(flags, s.PeerListener.flags("peer", PeerLimits)...)
}

func (s *Settings) checkSecurity() error {
	switch s.HeaderNames {
	case HeaderNamesRefused, HeaderNamesTrusted, "":
	default:
		return eris.Wrapf(ErrInvalidSetting, "--names-in-headers %q is not refuse or allow-for-development", s.HeaderNames)
	}
	if s.BootstrapTokenDigest != "" {
		if _, err := configuration.ParseTokenDigest(s.BootstrapTokenDigest); err != nil {
			return eris.Wrapf(ErrInvalidSetting, "--bootstrap-token-digest: %s", err)
		}
	}
	for _, l := range []struct {
		prefix           string
		listener         *Listener
		requireAuthority bool
	}{{"caller", &s.CallerListener, false}, {"operator", &s.OperatorListener, true}, {"peer", &s.PeerListener, true}} {
		if err := l.listener.check(l.prefix, l.requireAuthority); err != nil {
			return err
		}
	}
	return nil
}
