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

// exchanges returns how often the host's peers answered it and did not.
func exchanges(t *testing.T, c *client.Client) (answered, not int64) {
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
		not += p.Value
	}
	return answered, not
}

func TestEntryHostsProveEachOthersName(t *testing.T) {
	const patience = 10 * time.Second
	log := logrus.New()
	log.SetOutput(io.Discard)
	d, err := Start(Options{Log: log, EntryHosts: 1, Owner: "Campanella", StopTime: time.Second})
	require.NoError(t, err)
	t.Cleanup(d.Stop)
	now := time.Now()
	ours, err := NewAuthority(t.TempDir(), now)
	require.NoError(t, err)
	theirs, err := NewAuthority(t.TempDir(), now)
	require.NoError(t, err)
	operators, err := ours.Issue("operators", now)
	require.NoError(t, err)
	peers, err := ours.Issue("entry.godwitcross", now)
	require.NoError(t, err)
	start := func(name inventory.EntryID, rules Security) (*Entry, *client.Client) {
		t.Helper()
		rules.Encrypted, rules.Callers, rules.Operators, rules.Names = true, operators, operators, true
		e, err := d.StartSecured(name, "Palermo", rules)
		require.NoError(t, err)
		t.Cleanup(func() { _ = e.Stop() })
		cfg, err := ours.Client("scraper", now)
		require.NoError(t, err)
		return e, client.NewClient(client.Config{Address: e.Settings.OperatorAddress, TLS: cfg})
	}
	first, _ := start("first", Security{Peers: peers})
	address := []string{first.Settings.PeerAddress}

	_, c := start("second", Security{Peers: peers, PeerAddresses: address})
	require.Eventually(t, func() bool { n, _ := exchanges(t, c); return n > 0 }, patience, 20*time.Millisecond)

	foreign, err := theirs.Issue("entry.godwitcross", now)
	require.NoError(t, err)
	foreign.Authority = peers.Authority
	misnamed, err := ours.Issue("backend.godwitcross", now)
	require.NoError(t, err)
	for name, rules := range map[inventory.EntryID]Security{
		"foreign":  {Peers: foreign, PeerAddresses: address},
		"misnamed": {Peers: misnamed, PeerAddresses: address},
	} {
		t.Run(string(name), func(t *testing.T) {
			_, c := start(name, rules)
			require.Eventually(t, func() bool { _, n := exchanges(t, c); return n > 1 }, patience, 20*time.Millisecond)
			answered, _ := exchanges(t, c)
			require.Zero(t, answered)
		})
	}
}
