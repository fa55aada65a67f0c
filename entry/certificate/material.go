// Package certificate loads certificates and keys and replaces them while the
// process runs.
package certificate

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/entry/settings"
)

// Errors of loading. None of them contains data that was read, which may be a key.
var (
	ErrSource  = eris.New("certificate cannot be read")
	ErrPair    = eris.New("certificate and key do not match")
	ErrExpired = eris.New("certificate has expired or is not valid yet")
)

// Sources are the sources of the certificate, its key and the authority.
type Sources struct {
	Certificate settings.Source
	Key         settings.Source
	// Authority is empty if the certificates of peers are not verified against
	// configured authorities.
	Authority settings.Source
}

// certificateSet is the content of the sources when they were read. It is
// immutable.
type certificateSet struct {
	pair      tls.Certificate
	authority *x509.CertPool
	// digest is of the content of all sources; it differs after a change.
	digest [sha256.Size]byte
}

// loadSources reads all sources and checks that certificate and key match and that
// the certificate is valid now.
func loadSources(s Sources, now time.Time) (*certificateSet, error) {
	cert, err := readSource(s.Certificate)
	if err != nil {
		return nil, err
	}
	key, err := readSource(s.Key)
	if err != nil {
		return nil, err
	}
	set := &certificateSet{}
	if set.pair, err = tls.X509KeyPair(cert, key); err != nil {
		return nil, eris.Wrapf(ErrPair, "%s and %s", s.Certificate, s.Key)
	}
	leaf := set.pair.Leaf
	if now.Before(leaf.NotBefore) || now.After(leaf.NotAfter) {
		return nil, eris.Wrapf(ErrExpired, "%s is valid from %s to %s", s.Certificate, leaf.NotBefore.Format(time.RFC3339), leaf.NotAfter.Format(time.RFC3339))
	}
	var authority []byte
	if s.Authority != "" {
		if authority, err = readSource(s.Authority); err != nil {
			return nil, err
		}
		set.authority = x509.NewCertPool()
		if !set.authority.AppendCertsFromPEM(authority) {
			return nil, eris.Wrapf(ErrSource, "%s holds no certificate", s.Authority)
		}
	}
	set.digest = digest(cert, key, authority)
	return set, nil
}

func digest(parts ...[]byte) [sha256.Size]byte {
	h := sha256.New()
	for _, p := range parts {
		sum := sha256.Sum256(p)
		h.Write(sum[:])
	}
	return [sha256.Size]byte(h.Sum(nil))
}

func readSource(s settings.Source) ([]byte, error) {
	if name, ok := s.Environment(); ok {
		text, set := os.LookupEnv(name)
		if !set {
			return nil, eris.Wrapf(ErrSource, "environment variable %s is not set", name)
		}
		return []byte(text), nil
	}
	path, ok := s.File()
	if !ok {
		return nil, eris.Wrap(ErrSource, "neither file:PATH nor environment:NAME")
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrapf(ErrSource, "%s", err)
	}
	return b, nil
}
