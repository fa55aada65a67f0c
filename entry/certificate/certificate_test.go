package certificate

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/entry/listener"
	"github.com/godwitcross/godwitcross/entry/metric"
	"github.com/godwitcross/godwitcross/entry/settings"
)

const (
	peerName    = "entry.godwitcross"
	day         = 24 * time.Hour
	testTimeout = 10 * time.Second
)

// authority signs certificates for tests.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T, name string) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-day), NotAfter: time.Now().Add(day),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, c, c, &key.PublicKey, key)
	require.NoError(t, err)
	c, err = x509.ParseCertificate(der)
	require.NoError(t, err)
	return &authority{t: t, cert: c, key: key}
}

func (a *authority) pem() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.cert.Raw})
}

// issue returns a certificate and its key in PEM.
func (a *authority) issue(name string, from, until time.Duration) (cert, key []byte) {
	a.t.Helper()
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<60))
	require.NoError(a.t, err)
	der, err := x509.CreateCertificate(rand.Reader, &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Now().Add(from), NotAfter: time.Now().Add(until),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.cert, &k.PublicKey, a.key)
	require.NoError(a.t, err)
	b, err := x509.MarshalPKCS8PrivateKey(k)
	require.NoError(a.t, err)
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: b})
}

// certificateDir is the directory of a host's certificates.
type certificateDir struct {
	t    *testing.T
	path string
}

func (f certificateDir) write(cert, key, authority []byte) {
	f.t.Helper()
	for name, b := range map[string][]byte{"cert.pem": cert, "key.pem": key, "authority.pem": authority} {
		if b != nil {
			require.NoError(f.t, os.WriteFile(filepath.Join(f.path, name), b, 0o600))
		}
	}
}

func (f certificateDir) sources() Sources {
	at := func(n string) settings.Source { return settings.Source("file:" + filepath.Join(f.path, n)) }
	return Sources{Certificate: at("cert.pem"), Key: at("key.pem"), Authority: at("authority.pem")}
}

// newTestStore returns a store for mutual TLS with a certificate that the authority
// issued.
func newTestStore(t *testing.T, a *authority, trusted *authority, name string, from, until time.Duration) (*Store, certificateDir) {
	t.Helper()
	f := certificateDir{t, t.TempDir()}
	cert, key := a.issue(name, from, until)
	f.write(cert, key, trusted.pem())
	s, err := NewStore(StoreConfig{
		Log: logrus.New(), Metrics: metric.NewRegistry(), Name: "peers", Sources: f.sources(),
		Clients: ClientCertificateRequired, ClientName: peerName, MinVersion: tls.VersionTLS13,
	}, time.Now().Add(min(0, until)-time.Minute))
	require.NoError(t, err)
	return s, f
}

// handshake runs both sides of a handshake, sends one byte each way and returns the
// errors of server and client.
func handshake(t *testing.T, server, client *tls.Config) (error, error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	b, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	a, err := l.Accept()
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- exchange(tls.Server(a, server), a) }()
	clientErr := exchange(tls.Client(b, client), b)
	return <-done, clientErr
}

func exchange(c *tls.Conn, raw net.Conn) error {
	defer raw.Close()
	_ = raw.SetDeadline(time.Now().Add(testTimeout))
	if err := c.Handshake(); err != nil {
		return err
	}
	sent := make(chan error, 1)
	go func() { _, err := c.Write([]byte{1}); sent <- err }()
	_, err := io.ReadFull(c, make([]byte, 1))
	if err != nil {
		return err
	}
	return <-sent
}

func TestMutualHandshakes(t *testing.T) {
	ours, theirs := newAuthority(t, "ours"), newAuthority(t, "theirs")
	server, _ := newTestStore(t, ours, ours, peerName, -time.Hour, day)
	good := func(t *testing.T) *tls.Config {
		s, _ := newTestStore(t, ours, ours, peerName, -time.Hour, day)
		return s.Client(peerName)
	}
	tests := map[string]struct {
		client func(t *testing.T) *tls.Config
		// server and seen are parts of the errors of server and client.
		server, seen string
	}{
		"both are entry hosts": {client: good},
		"client without a certificate": {func(t *testing.T) *tls.Config {
			c := good(t)
			c.Certificates = nil
			return c
		}, "didn't provide a certificate", "certificate required"},
		"client of another authority": {func(t *testing.T) *tls.Config {
			s, _ := newTestStore(t, theirs, ours, peerName, -time.Hour, day)
			return alwaysSendCertificate(s.Client(peerName))
		}, "signed by unknown authority", "unknown certificate authority"},
		"client with another name": {func(t *testing.T) *tls.Config {
			s, _ := newTestStore(t, ours, ours, "ana", -time.Hour, day)
			return s.Client(peerName)
		}, "not " + peerName, "bad certificate"},
		"client whose certificate has expired": {func(t *testing.T) *tls.Config {
			s, _ := newTestStore(t, ours, ours, peerName, -day, -time.Minute)
			return s.Client(peerName)
		}, "expired", "expired certificate"},
		"client that trusts another authority": {func(t *testing.T) *tls.Config {
			s, _ := newTestStore(t, ours, theirs, peerName, -time.Hour, day)
			return s.Client(peerName)
		}, "bad certificate", "signed by unknown authority"},
		"client that expects another name": {func(t *testing.T) *tls.Config {
			s, _ := newTestStore(t, ours, ours, peerName, -time.Hour, day)
			return s.Client("backend.godwitcross")
		}, "bad certificate", "not backend.godwitcross"},
		"client of an old version": {func(t *testing.T) *tls.Config {
			c := good(t)
			c.MinVersion, c.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
			return c
		}, "unsupported versions", "protocol version not supported"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			serverErr, clientErr := handshake(t, server.Server(), test.client(t))
			if test.server == "" {
				require.NoError(t, serverErr)
				require.NoError(t, clientErr)
				return
			}
			require.ErrorContains(t, serverErr, test.server)
			require.ErrorContains(t, clientErr, test.seen)
		})
	}
}

// alwaysSendCertificate makes a client send its certificate although the server
// names other authorities.
func alwaysSendCertificate(c *tls.Config) *tls.Config {
	pair := c.Certificates[0]
	c.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &pair, nil }
	return c
}

func TestLoadErrorsDoNotContainTheSources(t *testing.T) {
	a := newAuthority(t, "ours")
	cert, key := a.issue(peerName, -time.Hour, day)
	_, otherKey := a.issue(peerName, -time.Hour, day)
	old, oldKey := a.issue(peerName, -day, -time.Hour)
	early, earlyKey := a.issue(peerName, time.Hour, day)
	tests := map[string]struct {
		cert, key, authority []byte
		want                 error
	}{
		"no file":                         {nil, key, a.pem(), ErrSource},
		"key of another certificate":      {cert, otherKey, a.pem(), ErrPair},
		"key and certificate swapped":     {key, cert, a.pem(), ErrPair},
		"half a key":                      {cert, key[:len(key)/2], a.pem(), ErrPair},
		"expired":                         {old, oldKey, a.pem(), ErrExpired},
		"not valid yet":                   {early, earlyKey, a.pem(), ErrExpired},
		"authority without a certificate": {cert, key, key, ErrSource},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := certificateDir{t, t.TempDir()}
			f.write(test.cert, test.key, test.authority)
			_, err := loadSources(f.sources(), time.Now())
			require.ErrorIs(t, err, test.want)
			for _, line := range strings.Split(string(key)+string(otherKey)+string(oldKey), "\n") {
				if len(line) > 20 && !strings.HasPrefix(line, "---") {
					require.NotContains(t, err.Error(), line)
				}
			}
		})
	}
	t.Run("an environment variable that is not set", func(t *testing.T) {
		_, err := loadSources(Sources{Certificate: "environment:GODWITCROSS_NOT_SET"}, time.Now())
		require.ErrorIs(t, err, ErrSource)
	})
	t.Run("an environment variable that is set", func(t *testing.T) {
		t.Setenv("GODWITCROSS_TEST_KEY", string(key))
		f := certificateDir{t, t.TempDir()}
		f.write(cert, nil, a.pem())
		s := f.sources()
		s.Key = "environment:GODWITCROSS_TEST_KEY"
		_, err := loadSources(s, time.Now())
		require.NoError(t, err)
	})
}

// serveTLS starts a server with limits and the store's certificates and returns its
// address.
func serveTLS(t *testing.T, s *Store, l settings.Limits) (string, *fasthttp.Server) {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = raw.Close() })
	log := logrus.New()
	log.SetOutput(io.Discard)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok") }}
	listener.Bound(server, log, l)
	go func() { _ = server.Serve(tls.NewListener(raw, s.Server())) }()
	return raw.Addr().String(), server
}

func TestCertificateReplacementKeepsOpenConnections(t *testing.T) {
	const clients, requests = 8, 50
	a := newAuthority(t, "ours")
	s, f := newTestStore(t, a, a, peerName, -time.Hour, day)
	s.cfg.Log.(*logrus.Logger).SetOutput(io.Discard)
	address, _ := serveTLS(t, s, settings.CallerLimits)
	first := s.Client(peerName)
	var sent, answered atomic.Int64
	var wg sync.WaitGroup
	connected, replaced := make(chan struct{}, clients), make(chan struct{})
	for range clients {
		wg.Go(func() {
			c := &fasthttp.HostClient{Addr: address, IsTLS: true, TLSConfig: first, MaxConns: 1, MaxIdemponentCallAttempts: 1}
			ask := func() {
				sent.Add(1)
				status, body, err := c.Get(nil, "https://"+address+"/")
				if err == nil && status == fasthttp.StatusOK && string(body) == "ok" {
					answered.Add(1)
				}
			}
			ask()
			connected <- struct{}{}
			for done := false; !done; {
				ask()
				select {
				case <-replaced:
					done = true
				default:
				}
			}
			for range requests {
				ask()
			}
		})
	}
	for range clients {
		<-connected
	}
	next := newAuthority(t, "next")
	cert, key := next.issue(peerName, -time.Hour, day)
	f.write(cert, nil, next.pem())
	require.ErrorIs(t, s.Refresh(time.Now()), ErrPair, "half a replacement is not used")
	f.write(nil, key, nil)
	require.NoError(t, s.Refresh(time.Now()))
	close(replaced)
	wg.Wait()
	require.GreaterOrEqual(t, sent.Load(), int64(clients*(requests+2)))
	require.Equal(t, sent.Load(), answered.Load(), "no request fails")

	_, clientErr := handshake(t, s.Server(), first)
	require.Error(t, clientErr, "a new handshake uses the new certificate")
	serverErr, clientErr := handshake(t, s.Server(), s.Client(peerName))
	require.NoError(t, serverErr)
	require.NoError(t, clientErr)
}

func TestExpiredReplacementIsNotUsed(t *testing.T) {
	a := newAuthority(t, "ours")
	s, f := newTestStore(t, a, a, peerName, -time.Hour, day)
	before := s.current.Load()
	cert, key := a.issue(peerName, -day, -time.Hour)
	f.write(cert, key, nil)
	require.ErrorIs(t, s.Refresh(time.Now()), ErrExpired)
	require.Same(t, before, s.current.Load())
}

func TestUnfinishedHandshakesAreBounded(t *testing.T) {
	const attempts, bound = 2000, 50
	a := newAuthority(t, "ours")
	s, _ := newTestStore(t, a, a, peerName, -time.Hour, day)
	l := settings.CallerLimits
	l.HeaderTimeout, l.ConnectionsPerAddress = time.Second, bound
	address, server := serveTLS(t, s, l)
	hello := clientHello(t)
	peak := uint32(0)
	for range attempts {
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		_, _ = c.Write(hello[:len(hello)/2])
		peak = max(peak, server.GetCurrentConcurrency())
	}
	require.LessOrEqual(t, peak, uint32(bound))
	require.Eventually(t, func() bool { return server.GetOpenConnectionsCount() == 0 }, testTimeout, 10*time.Millisecond, "all connections are closed")
	c := &fasthttp.HostClient{Addr: address, IsTLS: true, TLSConfig: s.Client(peerName)}
	status, _, err := c.Get(nil, "https://"+address+"/")
	require.NoError(t, err)
	require.Equal(t, fasthttp.StatusOK, status)
}

// clientHello returns the first message of a handshake.
func clientHello(t *testing.T) []byte {
	t.Helper()
	a, b := net.Pipe()
	go func() { _ = tls.Client(a, &tls.Config{ServerName: peerName}).Handshake() }()
	buf := make([]byte, 4096)
	n, err := b.Read(buf)
	require.NoError(t, err)
	_ = b.Close()
	return buf[:n]
}
