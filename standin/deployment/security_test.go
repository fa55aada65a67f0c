package deployment

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/ctl/client"
	"github.com/godwitcross/godwitcross/entry/metric"
	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// exchanges returns the numbers of the host's exchanges with peers that were answered and that
// failed. It returns zeros if the metrics can't be read.
func exchanges(t *testing.T, c *client.Client) (answered, failed int64) {
	t.Helper()
	var points []metric.Point
	if c.Get("/metrics.json", &points) != nil {
		return 0, 0
	}
	for _, p := range points {
		if !strings.HasPrefix(p.Name, "peer_exchanges") {
			continue
		}
		if strings.Contains(p.Name, `"yes"`) {
			answered = p.Value
			continue
		}
		failed += p.Value
	}
	return answered, failed
}

func TestEntryHostsAuthenticatePeersByName(t *testing.T) {
	const timeout = 10 * time.Second
	log := logrus.New()
	log.SetOutput(io.Discard)
	d, err := Start(Options{Log: log, EntryHosts: 1, Owner: "Campanella", StopTime: time.Second})
	require.NoError(t, err)
	t.Cleanup(d.Stop)
	now := time.Now()
	authority, err := NewAuthority(t.TempDir(), now)
	require.NoError(t, err)
	foreignAuthority, err := NewAuthority(t.TempDir(), now)
	require.NoError(t, err)
	operators, err := authority.Issue("operators", now)
	require.NoError(t, err)
	peers, err := authority.Issue("entry.godwitcross", now)
	require.NoError(t, err)
	start := func(name inventory.EntryID, security Security) (*Entry, *client.Client) {
		t.Helper()
		security.Encrypted, security.Callers, security.Operators, security.TrustHeaderNames = true, operators, operators, true
		e, err := d.StartEntryWithSecurity(name, "Palermo", security)
		require.NoError(t, err)
		t.Cleanup(func() { _ = e.Stop() })
		cfg, err := authority.Client("scraper", now)
		require.NoError(t, err)
		return e, client.NewClient(client.Config{Address: e.Settings.OperatorAddress, TLS: cfg})
	}
	first, _ := start("first", Security{Peers: peers})
	address := []string{first.Settings.PeerAddress}

	_, c := start("second", Security{Peers: peers, PeerAddresses: address})
	require.Eventually(t, func() bool { n, _ := exchanges(t, c); return n > 0 }, timeout, 20*time.Millisecond)

	foreignPeers, err := foreignAuthority.Issue("entry.godwitcross", now)
	require.NoError(t, err)
	foreignPeers.Authority = peers.Authority
	misnamedPeers, err := authority.Issue("backend.godwitcross", now)
	require.NoError(t, err)
	for name, security := range map[inventory.EntryID]Security{
		"foreign":  {Peers: foreignPeers, PeerAddresses: address},
		"misnamed": {Peers: misnamedPeers, PeerAddresses: address},
	} {
		t.Run(string(name), func(t *testing.T) {
			_, c := start(name, security)
			require.Eventually(t, func() bool { _, n := exchanges(t, c); return n > 1 }, timeout, 20*time.Millisecond)
			answered, _ := exchanges(t, c)
			require.Zero(t, answered)
		})
	}
}
