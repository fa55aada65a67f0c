package state

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/label"
	"github.com/godwitcross/godwitcross/fleet/lease"
	"github.com/godwitcross/godwitcross/fleet/pool"
)

const hosts = 12

func hostID(i int) inventory.HostID {
	return inventory.HostID(fmt.Sprintf("host-%02d", i%hosts))
}

func hostWithPool(i int) configuration.Host {
	return configuration.Host{
		Owner: "Corchos", DataCentre: "Montevideo-1", Rack: "rack-1",
		Size:   inventory.Size{Cores: 1000, Memory: inventory.Gibibyte},
		Labels: label.Set{"Pool": []string{"Prices", "Stock", "None"}[i%3]},
	}
}

func parseSelector(t *testing.T, text string) label.Selector {
	t.Helper()
	s, err := label.Parse(text)
	require.NoError(t, err)
	return s
}

func initialChange(t *testing.T) configuration.Change {
	t.Helper()
	objects := configuration.Objects{
		Owners:      map[inventory.OwnerID]configuration.Owner{"Corchos": {SparePool: "Spare"}},
		Operators:   map[inventory.OperatorID]configuration.Operator{"op": {Owner: "Corchos"}},
		DataCentres: map[inventory.DataCentreID]configuration.DataCentre{"Montevideo-1": {Region: "Montevideo"}},
		Hosts:       make(map[inventory.HostID]configuration.Host),
		Pools:       map[inventory.PoolID]configuration.Pool{"Spare": {Owner: "Corchos"}},
	}
	for _, name := range []string{"Prices", "Stock"} {
		objects.Pools[inventory.PoolID(name)] = configuration.Pool{
			Owner: "Corchos", Hosts: parseSelector(t, "Pool="+name), Budget: configuration.Budget{MaxUnavailable: 500_000},
		}
	}
	for i := range hosts {
		objects.Hosts[hostID(i)] = hostWithPool(i)
	}
	return configuration.Change{Set: objects}
}

// randomRecord returns the n-th record, of a random kind. It may be valid, invalid or of
// an unknown kind, and every ninth one repeats the previous record's ID.
func randomRecord(t *testing.T, f *Fleet, rnd *rand.Rand, n int) []byte {
	t.Helper()
	hostIndex := rnd.IntN(hosts)
	hostIDs := []inventory.HostID{hostID(hostIndex)}
	bodies := []struct {
		kind journal.Kind
		body any
	}{
		{configuration.KindChange, configuration.Change{
			Base: f.Configuration.Current().Version,
			Set:  configuration.Objects{Hosts: map[inventory.HostID]configuration.Host{hostID(hostIndex): hostWithPool(rnd.IntN(3))}},
		}},
		{lease.KindClaim, lease.Claim{Duty: pool.DutyKeeper, Holder: "e1", From: f.Lease.Holding(pool.DutyKeeper).Epoch, Seen: f.Lease.Holding(pool.DutyKeeper).Renewed}},
		{pool.KindGrant, pool.Grant{Requests: []pool.Request{{Host: hostID(hostIndex)}}}},
		{pool.KindHandOver, pool.HandOver{Moves: []pool.Move{{Host: hostID(hostIndex), From: "Prices", To: "Stock"}, {Host: hostID(hostIndex), From: "Stock", To: "Prices"}}}},
		{pool.KindAdmit, pool.Admit{Hosts: hostIDs}},
		{pool.KindRelease, pool.Release{Hosts: hostIDs}},
		{pool.KindHealth, pool.Health{Failed: hostIDs}},
		{pool.KindHealth, pool.Health{Returned: hostIDs}},
		{"Later.Kind", 1},
	}
	chosen := bodies[rnd.IntN(len(bodies))]
	record, err := journal.NewRecord(journal.RecordID(fmt.Sprint("r", n-n%9/8)), chosen.kind, time.Unix(int64(n), 0), "op", chosen.body)
	require.NoError(t, err)
	record.Duty, record.Epoch = string(pool.DutyKeeper), f.Lease.Holding(pool.DutyKeeper).Epoch
	if chosen.kind == configuration.KindChange || chosen.kind == lease.KindClaim {
		record.Duty, record.Epoch = "", 0
	}
	raw, err := record.Encode()
	require.NoError(t, err)
	return raw
}

// TestRestoredSnapshotMatchesOriginal guards against a part of the state that is missing
// from the snapshot: the restored state then diverges from the original as more records
// are applied to both.
func TestRestoredSnapshotMatchesOriginal(t *testing.T) {
	const records = 400
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		original, snapshotAt := NewFleet(), rnd.IntN(records)
		first, err := journal.NewRecord("first", configuration.KindChange, time.Unix(0, 0), "op", initialChange(t))
		require.NoError(t, err)
		raw, err := first.Encode()
		require.NoError(t, err)
		var restored *Fleet
		outcomes := make(map[journal.Outcome]int)
		for n := range records {
			result, err := original.StateMachine().Apply(journal.Offset(n), raw)
			require.NoError(t, err)
			outcomes[result.Outcome]++
			if restored != nil {
				_, err = restored.StateMachine().Apply(journal.Offset(n), raw)
				require.NoError(t, err)
				require.Equal(t, original.StateMachine().Digest(), restored.StateMachine().Digest(), "seed %d, snapshot at %d, record %d: %+v", seed, snapshotAt, n, result)
			}
			if n == snapshotAt {
				restored = restoreCopy(t, original)
			}
			raw = randomRecord(t, original, rnd, n+1)
		}
		require.Equal(t, packSnapshot(t, original), packSnapshot(t, restored), "seed %d", seed)
		require.Greater(t, outcomes[journal.Accepted], records/10, "too few of the random records are accepted to test the state")
	}
}

func restoreCopy(t *testing.T, f *Fleet) *Fleet {
	t.Helper()
	chunks, err := journal.Split(snapshot(t, f), "s")
	require.NoError(t, err)
	assembler := journal.NewAssembler(journal.StreamFleet)
	for _, chunk := range chunks {
		require.NoError(t, assembler.Add(chunk))
	}
	newest, ok := assembler.Newest()
	require.True(t, ok)
	restored := NewFleet()
	require.NoError(t, restored.StateMachine().Restore(newest))
	return restored
}

func snapshot(t *testing.T, f *Fleet) journal.Snapshot {
	t.Helper()
	s, err := f.StateMachine().Snapshot(journal.StreamFleet)
	require.NoError(t, err)
	return s
}

func packSnapshot(t *testing.T, f *Fleet) []byte {
	t.Helper()
	b, err := snapshot(t, f).Pack()
	require.NoError(t, err)
	return b
}
