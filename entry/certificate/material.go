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

// Errors of loading. None of them repeats what was read.
var (
	ErrSource  = eris.New("certificate cannot be read")
	ErrPair    = eris.New("certificate and key do not fit")
	ErrExpired = eris.New("certificate is not valid now")
)

// Sources says where the parts are read from.
type Sources struct {
	Certificate settings.Source
	Key         settings.Source
	// Authority is empty where the other side's certificate is not checked
	// against authorities of its own.
	Authority settings.Source
}

// material is what the sources held at one moment. It is never changed.
type material struct {
	pair      tls.Certificate
	authority *x509.CertPool
	// digest tells whether the sources have changed.
	digest [sha256.Size]byte
}

// load reads all sources and checks that they fit and are valid now.
func load(s Sources, now time.Time) (*material, error) {
	cert, err := read(s.Certificate)
	if err != nil {
		return nil, err
	}
	key, err := read(s.Key)
	if err != nil {
		return nil, err
	}
	m := &material{}
	if m.pair, err = tls.X509KeyPair(cert, key); err != nil {
		return nil, eris.Wrapf(ErrPair, "%s and %s", s.Certificate, s.Key)
	}
	leaf := m.pair.Leaf
	if now.Before(leaf.NotBefore) || now.After(leaf.NotAfter) {
		return nil, eris.Wrapf(ErrExpired, "%s is valid from %s to %s", s.Certificate, leaf.NotBefore.Format(time.RFC3339), leaf.NotAfter.Format(time.RFC3339))
	}
	var authority []byte
	if s.Authority != "" {
		if authority, err = read(s.Authority); err != nil {
			return nil, err
		}
		m.authority = x509.NewCertPool()
		if !m.authority.AppendCertsFromPEM(authority) {
			return nil, eris.Wrapf(ErrSource, "%s holds no certificate", s.Authority)
		}
	}
	m.digest = digest(cert, key, authority)
	return m, nil
}

func digest(parts ...[]byte) [sha256.Size]byte {
	h := sha256.New()
	for _, p := range parts {
		sum := sha256.Sum256(p)
		h.Write(sum[:])
	}
	return [sha256.Size]byte(h.Sum(nil))
}

func read(s settings.Source) ([]byte, error) {
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
