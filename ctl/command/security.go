package command

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
)

// ErrSecurity is returned for certificates, keys or tokens that can't be used. Its
// text never contains what was read.
var ErrSecurity = eris.New("invalid security settings")

// The values of --transport.
const (
	transportTLS       = "tls"
	transportPlainText = "plain-text"
)

// tokenVariable is the environment variable that holds the token. No flag takes the
// token itself, since the process list would show it.
const tokenVariable = "GODWITCROSS_TOKEN"

// Security holds the flags that authenticate the entry hosts and the operator.
type Security struct {
	transport   string
	authority   string
	serverName  string
	certificate string
	key         string
	tokenFile   string

	// token and tls are set by load; tls is nil for plain text.
	token string
	tls   *tls.Config
}

func (s *Security) flags() []cli.Flag {
	env := func(n string) cli.ValueSourceChain { return cli.EnvVars("GODWITCROSS_" + n) }
	return []cli.Flag{
		&cli.StringFlag{Name: "transport", Usage: "tls, or plain-text for hosts configured for development", Value: transportTLS, Destination: &s.transport, Sources: env("TRANSPORT")},
		&cli.StringFlag{Name: "authority-file", Usage: "PEM file of the authorities that sign the hosts' certificates; default: the system's authorities", Destination: &s.authority, Sources: env("AUTHORITY_FILE")},
		&cli.StringFlag{Name: "server-name", Usage: "name in the hosts' certificates; default: the IP address", Destination: &s.serverName, Sources: env("SERVER_NAME")},
		&cli.StringFlag{Name: "certificate-file", Usage: "PEM file of the operator's certificate", Destination: &s.certificate, Sources: env("CERTIFICATE_FILE")},
		&cli.StringFlag{Name: "key-file", Usage: "PEM file of the private key of the operator's certificate", Destination: &s.key, Sources: env("KEY_FILE")},
		&cli.StringFlag{Name: "token-file", Usage: "file with the operator's token; default: the value of the environment variable " + tokenVariable, Destination: &s.tokenFile, Sources: env("TOKEN_FILE")},
	}
}

// load reads the files that the flags name. It is called before the command runs.
func (s *Security) load() error {
	if err := s.loadToken(); err != nil {
		return err
	}
	switch s.transport {
	case transportPlainText:
		return nil
	case transportTLS:
		return s.loadTLS()
	}
	return eris.Wrapf(ErrSecurity, "--transport %q is not tls or plain-text", s.transport)
}

func (s *Security) loadToken() error {
	s.token = os.Getenv(tokenVariable)
	if s.tokenFile == "" {
		return nil
	}
	b, err := os.ReadFile(s.tokenFile)
	if err != nil {
		return eris.Wrapf(ErrSecurity, "--token-file: %s", err)
	}
	s.token = strings.TrimSpace(string(b))
	return nil
}

func (s *Security) loadTLS() error {
	cfg := &tls.Config{MinVersion: tls.VersionTLS13, ServerName: s.serverName}
	if s.authority != "" {
		b, err := os.ReadFile(s.authority)
		if err != nil {
			return eris.Wrapf(ErrSecurity, "--authority-file: %s", err)
		}
		cfg.RootCAs = x509.NewCertPool()
		if !cfg.RootCAs.AppendCertsFromPEM(b) {
			return eris.Wrapf(ErrSecurity, "--authority-file %s holds no certificate", s.authority)
		}
	}
	if s.certificate != "" || s.key != "" {
		pair, err := tls.LoadX509KeyPair(s.certificate, s.key)
		if err != nil {
			return eris.Wrapf(ErrSecurity, "--certificate-file %s and --key-file %s are not a valid pair", s.certificate, s.key)
		}
		cfg.Certificates = []tls.Certificate{pair}
	}
	s.tls = cfg
	return nil
}
