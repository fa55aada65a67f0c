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

// outputRecorder records the output of entry hosts: log lines, answers and forwarded request
// keys. It is safe for concurrent use.
type outputRecorder struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (r *outputRecorder) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.b.Write(p)
}

func (r *outputRecorder) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.b.String()
}

// exchange sends a raw request over TLS and records the answer.
func (r *outputRecorder) exchange(t *testing.T, address string, cfg *tls.Config, request string) {
	t.Helper()
	c, err := tls.Dial("tcp", address, cfg)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = c.Write([]byte(request))
	require.NoError(t, err)
	buf := make([]byte, 64<<10)
	n, _ := c.Read(buf)
	_, _ = r.Write(buf[:n])
}

func TestTokensAndKeysAreNotLeaked(t *testing.T) {
	out := &outputRecorder{}
	log := logrus.New()
	log.SetOutput(out)
	log.SetLevel(logrus.DebugLevel)
	d, err := Start(Options{Log: log, EntryHosts: 1, Owner: "Campanella", StopTime: time.Second})
	require.NoError(t, err)
	t.Cleanup(d.Stop)
	now, dir := time.Now(), t.TempDir()
	a, err := NewAuthority(dir, now)
	require.NoError(t, err)
	l, err := a.Issue("entry.godwitcross", now)
	require.NoError(t, err)
	bootstrapToken, tenantToken, wrongToken := strings.Repeat("root-token-", 4), strings.Repeat("tenant-token-", 4), strings.Repeat("wrong-token-", 4)
	callers := l
	callers.Authority = ""
	e, err := d.StartEntryWithSecurity("secured", "Palermo", Security{
		Encrypted: true, Callers: callers, Operators: l, Peers: l,
		BootstrapTokenDigest: configuration.DigestToken([]byte(bootstrapToken)).String(),
	})
	require.NoError(t, err)
	t.Cleanup(func() { _ = e.Stop() })
	operatorTLS, err := a.Client("campanella-operator", now)
	require.NoError(t, err)

	first := Sample()
	s := first.Tenants["Secretaries"]
	s.TokenDigests = []string{configuration.DigestToken([]byte(tenantToken)).String()}
	first.Tenants["Secretaries"] = s
	bootstrap := client.NewClient(client.Config{Address: e.Settings.OperatorAddress, TLS: operatorTLS, Token: bootstrapToken})
	var v journal.Result
	require.NoError(t, bootstrap.Post("/changes", operation.Publication{ID: "first", Change: configuration.Change{Set: first}}, &v))
	require.Equal(t, "bootstrap", v.By)
	err = bootstrap.Post("/changes", operation.Publication{ID: "second", Change: configuration.Change{Base: 1, Delete: []configuration.Key{{Kind: configuration.KindTenant, Name: "Editors"}}}}, &v)
	require.ErrorIs(t, err, client.ErrRefused, "the bootstrap token permits only the first configuration")
	_, _ = out.Write([]byte(err.Error()))

	callerTLS := &tls.Config{RootCAs: a.Pool()}
	for _, token := range []string{bootstrapToken, tenantToken, wrongToken} {
		for _, request := range []string{
			"GET /services/Schedules/x HTTP/1.1\r\nHost: h\r\nTenant-Token: " + token + "\r\n\r\n",
			"GET /services/Schedules/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + token + "\r\n\r\n",
			"GET /services/Schedules/x HTTP/1.1\r\nHost: h\r\nTenant: " + token + "\r\n\r\n",
			"GET /services/" + "Schedules HTTP/1.1\r\nHost: h\r\n" + token + "\r\n\r\n",
			"@" + token + " / HTTP/1.1\r\n\r\n",
		} {
			out.exchange(t, e.Settings.CallerAddress, callerTLS, request)
		}
		for _, path := range []string{"/metrics", "/metrics.json", "/status", "/configuration", "/nowhere"} {
			out.exchange(t, e.Settings.OperatorAddress, operatorTLS, "GET "+path+" HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "+token+"\r\n\r\n")
			out.exchange(t, e.Settings.OperatorAddress, operatorTLS, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
		}
		for _, b := range d.Backends {
			for k := range b.Executions() {
				_, _ = out.Write([]byte(k))
			}
		}
	}
	text := out.String()
	require.Contains(t, text, "certificate_valid_until_seconds", "the output contains metrics")
	require.Contains(t, text, fasthttp.StatusMessage(fasthttp.StatusUnauthorized), "the output contains a rejected request")
	for _, secret := range append(keyLines(t, dir), bootstrapToken, tenantToken, wrongToken) {
		require.NotContains(t, text, secret)
	}
}

// keyLines returns the lines of the private keys in the directory, without PEM headers.
func keyLines(t *testing.T, dir string) []string {
	t.Helper()
	var lines []string
	for _, name := range []inventory.HostID{"entry.godwitcross", "campanella-operator"} {
		b, err := os.ReadFile(dir + "/" + string(name) + "-key.pem")
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
