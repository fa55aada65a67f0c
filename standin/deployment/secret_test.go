package deployment

import (
	"bytes"
	"crypto/tls"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/ctl/client"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/operation"
)

// seen collects all that leaves an entry host. It is safe for concurrent use.
type seen struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *seen) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *seen) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// ask sends a raw request over TLS and keeps the answer.
func (s *seen) ask(t *testing.T, address string, cfg *tls.Config, request string) {
	t.Helper()
	c, err := tls.Dial("tcp", address, cfg)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = c.Write([]byte(request))
	require.NoError(t, err)
	buf := make([]byte, 64<<10)
	n, _ := c.Read(buf)
	_, _ = s.Write(buf[:n])
}

func TestNoTokenOrKeyIsShown(t *testing.T) {
	out := &seen{}
	log := logrus.New()
	log.SetOutput(out)
	log.SetLevel(logrus.DebugLevel)
	d, err := Start(Options{Log: log, EntryHosts: 1, Owner: "Campanella", StopTime: time.Second})
	require.NoError(t, err)
	t.Cleanup(d.Stop)
	now, folder := time.Now(), t.TempDir()
	a, err := NewAuthority(folder, now)
	require.NoError(t, err)
	l, err := a.Issue("entry.godwitcross", now)
	require.NoError(t, err)
	root, tenant, wrong := strings.Repeat("root-token-", 4), strings.Repeat("tenant-token-", 4), strings.Repeat("wrong-token-", 4)
	callers := l
	callers.Authority = ""
	e, err := d.StartSecured("secured", "Palermo", Security{
		Encrypted: true, Callers: callers, Operators: l, Peers: l,
		BootstrapTokenDigest: configuration.DigestToken([]byte(root)).String(),
	})
	require.NoError(t, err)
	t.Cleanup(func() { _ = e.Stop() })
	mutual, err := a.Client("campanella-operator", now)
	require.NoError(t, err)

	first := Sample()
	s := first.Tenants["Secretaries"]
	s.TokenDigests = []string{configuration.DigestToken([]byte(tenant)).String()}
	first.Tenants["Secretaries"] = s
	bootstrap := client.NewClient(client.Config{Address: e.Settings.OperatorAddress, TLS: mutual, Token: root})
	var v journal.Result
	require.NoError(t, bootstrap.Post("/changes", operation.Publication{ID: "first", Change: configuration.Change{Set: first}}, &v))
	require.Equal(t, "bootstrap", v.By)
	err = bootstrap.Post("/changes", operation.Publication{ID: "second", Change: configuration.Change{Base: 1, Delete: []configuration.Key{{Kind: configuration.KindTenant, Name: "Editors"}}}}, &v)
	require.ErrorIs(t, err, client.ErrRefused, "the first token is good for the first configuration alone")
	_, _ = out.Write([]byte(err.Error()))

	trusting := &tls.Config{RootCAs: a.Pool()}
	for _, token := range []string{root, tenant, wrong} {
		for _, request := range []string{
			"GET /services/Schedules/x HTTP/1.1\r\nHost: h\r\nTenant-Token: " + token + "\r\n\r\n",
			"GET /services/Schedules/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + token + "\r\n\r\n",
			"GET /services/Schedules/x HTTP/1.1\r\nHost: h\r\nTenant: " + token + "\r\n\r\n",
			"GET /services/" + "Schedules HTTP/1.1\r\nHost: h\r\n" + token + "\r\n\r\n",
			"@" + token + " / HTTP/1.1\r\n\r\n",
		} {
			out.ask(t, e.Settings.CallerAddress, trusting, request)
		}
		for _, path := range []string{"/metrics", "/metrics.json", "/status", "/configuration", "/nowhere"} {
			out.ask(t, e.Settings.OperatorAddress, mutual, "GET "+path+" HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "+token+"\r\n\r\n")
			out.ask(t, e.Settings.OperatorAddress, mutual, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
		}
		for _, b := range d.Backends {
			for k := range b.Executions() {
				_, _ = out.Write([]byte(k))
			}
		}
	}
	text := out.String()
	require.Contains(t, text, "certificate_valid_until_seconds", "the metrics were read")
	require.Contains(t, text, fasthttp.StatusMessage(fasthttp.StatusUnauthorized), "somebody was refused")
	for _, secret := range append(keyLines(t, folder), root, tenant, wrong) {
		require.NotContains(t, text, secret)
	}
}

// keyLines returns the inner lines of all keys in the folder.
func keyLines(t *testing.T, folder string) []string {
	t.Helper()
	var lines []string
	for _, name := range []inventory.HostID{"entry.godwitcross", "campanella-operator"} {
		b, err := os.ReadFile(folder + "/" + string(name) + "-key.pem")
		require.NoError(t, err)
		for _, line := range strings.Split(string(b), "\n") {
			if line != "" && !strings.HasPrefix(line, "---") {
				lines = append(lines, line)
			}
		}
	}
	require.NotEmpty(t, lines)
	return lines
}
