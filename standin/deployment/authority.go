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

// certificateLife is how long the certificates of the stand-in authority hold.
const certificateLife = time.Hour

// Authority stands in for the authority that signs the certificates of entry
// hosts and operators. Its files lie in a folder of its own.
type Authority struct {
	folder string
	cert   *x509.Certificate
	key    *ecdsa.PrivateKey
	serial int64
}

// NewAuthority returns an authority that writes into the folder.
func NewAuthority(folder string, now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "making the authority's key")
	}
	a := &Authority{folder: folder, key: key, serial: 1}
	a.cert = &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: "Stand-in authority"},
		NotBefore: now.Add(-time.Minute), NotAfter: now.Add(certificateLife),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, a.cert, a.cert, &key.PublicKey, key)
	if err != nil {
		return nil, eris.Wrap(err, "signing the authority's certificate")
	}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		return nil, eris.Wrap(err, "reading the authority's certificate")
	}
	return a, a.write("authority.pem", "CERTIFICATE", der)
}

// Issue writes a certificate for the name and the loopback address, and its
// key, and returns where they lie.
func (a *Authority) Issue(name string, now time.Time) (settings.Listener, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return settings.Listener{}, eris.Wrapf(err, "making the key of %s", name)
	}
	a.serial++
	der, err := x509.CreateCertificate(rand.Reader, &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: name},
		DNSNames: []string{name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: now.Add(-time.Minute), NotAfter: now.Add(certificateLife),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return settings.Listener{}, eris.Wrapf(err, "signing the certificate of %s", name)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return settings.Listener{}, eris.Wrapf(err, "encoding the key of %s", name)
	}
	if err := a.write(name+".pem", "CERTIFICATE", der); err != nil {
		return settings.Listener{}, err
	}
	if err := a.write(name+"-key.pem", "PRIVATE KEY", private); err != nil {
		return settings.Listener{}, err
	}
	return settings.Listener{Transport: settings.TransportTLS, Certificate: a.source(name + ".pem"), Key: a.source(name + "-key.pem"), Authority: a.source("authority.pem")}, nil
}

// Client returns the configuration of a client that bears the name.
func (a *Authority) Client(name string, now time.Time) (*tls.Config, error) {
	if _, err := a.Issue(name, now); err != nil {
		return nil, err
	}
	pair, err := tls.LoadX509KeyPair(filepath.Join(a.folder, name+".pem"), filepath.Join(a.folder, name+"-key.pem"))
	if err != nil {
		return nil, eris.Wrapf(err, "loading the certificate of %s", name)
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: a.Pool(), Certificates: []tls.Certificate{pair}}, nil
}

// Pool returns the authority as clients trust it.
func (a *Authority) Pool() *x509.CertPool {
	p := x509.NewCertPool()
	p.AddCert(a.cert)
	return p
}

func (a *Authority) source(name string) settings.Source {
	return settings.Source("file:" + filepath.Join(a.folder, name))
}

func (a *Authority) write(name, kind string, der []byte) error {
	b := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return eris.Wrapf(os.WriteFile(filepath.Join(a.folder, name), b, 0o600), "writing %s", name)
}
