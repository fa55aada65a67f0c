package deployment

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/entry/settings"
)

// certificateLifetime is how long a certificate is valid after it is issued.
const certificateLifetime = time.Hour

// Authority simulates the certificate authority that signs the certificates of entry hosts
// and operators. It writes certificates and keys as PEM files.
type Authority struct {
	dir    string
	cert   *x509.Certificate
	key    *ecdsa.PrivateKey
	serial int64
}

// NewAuthority returns an authority that writes its files into the directory.
func NewAuthority(dir string, now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "generating the authority's key")
	}
	a := &Authority{dir: dir, key: key, serial: 1}
	a.cert = &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: "Stand-in authority"},
		NotBefore: now.Add(-time.Minute), NotAfter: now.Add(certificateLifetime),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, a.cert, a.cert, &key.PublicKey, key)
	if err != nil {
		return nil, eris.Wrap(err, "signing the authority's certificate")
	}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		return nil, eris.Wrap(err, "parsing the authority's certificate")
	}
	return a, a.writePEM("authority.pem", "CERTIFICATE", der)
}

// Issue writes a certificate for the name and the loopback address, and its key. It returns
// the settings of a listener that uses them.
func (a *Authority) Issue(name string, now time.Time) (settings.Listener, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return settings.Listener{}, eris.Wrapf(err, "generating the key of %s", name)
	}
	a.serial++
	der, err := x509.CreateCertificate(rand.Reader, &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: name},
		DNSNames: []string{name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: now.Add(-time.Minute), NotAfter: now.Add(certificateLifetime),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return settings.Listener{}, eris.Wrapf(err, "signing the certificate of %s", name)
	}
	encodedKey, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return settings.Listener{}, eris.Wrapf(err, "encoding the key of %s", name)
	}
	if err := a.writePEM(name+".pem", "CERTIFICATE", der); err != nil {
		return settings.Listener{}, err
	}
	if err := a.writePEM(name+"-key.pem", "PRIVATE KEY", encodedKey); err != nil {
		return settings.Listener{}, err
	}
	return settings.Listener{Transport: settings.TransportTLS, Certificate: a.fileSource(name + ".pem"), Key: a.fileSource(name + "-key.pem"), Authority: a.fileSource("authority.pem")}, nil
}

// Client issues a certificate for the name and returns the TLS configuration of a client that
// presents it.
func (a *Authority) Client(name string, now time.Time) (*tls.Config, error) {
	if _, err := a.Issue(name, now); err != nil {
		return nil, err
	}
	pair, err := tls.LoadX509KeyPair(filepath.Join(a.dir, name+".pem"), filepath.Join(a.dir, name+"-key.pem"))
	if err != nil {
		return nil, eris.Wrapf(err, "loading the certificate of %s", name)
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: a.Pool(), Certificates: []tls.Certificate{pair}}, nil
}

// Pool returns a certificate pool that trusts the authority.
func (a *Authority) Pool() *x509.CertPool {
	p := x509.NewCertPool()
	p.AddCert(a.cert)
	return p
}

// fileSource returns the settings source of a file that the authority wrote.
func (a *Authority) fileSource(name string) settings.Source {
	return settings.Source("file:" + filepath.Join(a.dir, name))
}

// writePEM writes one PEM block as a file.
func (a *Authority) writePEM(name, blockType string, der []byte) error {
	b := pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
	return eris.Wrapf(os.WriteFile(filepath.Join(a.dir, name), b, 0o600), "writing %s", name)
}
