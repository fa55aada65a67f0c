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

func inPool(i int) configuration.Host {
	return configuration.Host{
		Owner: "Corchos", DataCentre: "Montevideo-1", Rack: "rack-1",
		Size:   inventory.Size{Cores: 1000, Memory: inventory.Gibibyte},
		Labels: label.Set{"Pool": []string{"Prices", "Stock", "None"}[i%3]},
	}
}

func selector(t *testing.T, text string) label.Selector {
	t.Helper()
	s, err := label.Parse(text)
	require.NoError(t, err)
	return s
}

func fleet(t *testing.T) configuration.Change {
	t.Helper()
	o := configuration.Objects{
		Owners:      map[inventory.OwnerID]configuration.Owner{"Corchos": {SparePool: "Spare"}},
		Operators:   map[inventory.OperatorID]configuration.Operator{"op": {Owner: "Corchos"}},
		DataCentres: map[inventory.DataCentreID]configuration.DataCentre{"Montevideo-1": {Region: "Montevideo"}},
		Hosts:       make(map[inventory.HostID]configuration.Host),
		Pools:       map[inventory.PoolID]configuration.Pool{"Spare": {Owner: "Corchos"}},
	}
	for _, p := range []string{"Prices", "Stock"} {
		o.Pools[inventory.PoolID(p)] = configuration.Pool{
			Owner: "Corchos", Hosts: selector(t, "Pool="+p), Budget: configuration.Budget{MaxUnavailable: 500_000},
		}
	}
	for i := range hosts {
		o.Hosts[hostID(i)] = inPool(i)
	}
	return configuration.Change{Set: o}
}

// next returns a record of a random kind, right or wrong.
func next(t *testing.T, f *Fleet, rnd *rand.Rand, n int) []byte {
	t.Helper()
	i := rnd.IntN(hosts)
	one := []inventory.HostID{hostID(i)}
	bodies := []struct {
		kind journal.Kind
		body any
	}{
		{configuration.KindChange, configuration.Change{
			Base: f.Configuration.Current().Version,
			Set:  configuration.Objects{Hosts: map[inventory.HostID]configuration.Host{hostID(i): inPool(rnd.IntN(3))}},
		}},
		{lease.KindClaim, lease.Claim{Duty: pool.DutyKeeper, Holder: "e1", From: f.Lease.Holding(pool.DutyKeeper).Epoch, Seen: f.Lease.Holding(pool.DutyKeeper).Renewed}},
		{pool.KindGrant, pool.Grant{Requests: []pool.Request{{Host: hostID(i)}}}},
		{pool.KindHandOver, pool.HandOver{Moves: []pool.Move{{Host: hostID(i), From: "Prices", To: "Stock"}, {Host: hostID(i), From: "Stock", To: "Prices"}}}},
		{pool.KindAdmit, pool.Admit{Hosts: one}},
		{pool.KindGiveBack, pool.GiveBack{Hosts: one}},
		{pool.KindHealth, pool.Health{Failed: one}},
		{pool.KindHealth, pool.Health{Returned: one}},
		{"Later.Kind", 1},
	}
	b := bodies[rnd.IntN(len(bodies))]
	r, err := journal.NewRecord(journal.RecordID(fmt.Sprint("r", n-n%9/8)), b.kind, time.Unix(int64(n), 0), "op", b.body)
	require.NoError(t, err)
	r.Duty, r.Epoch = string(pool.DutyKeeper), f.Lease.Holding(pool.DutyKeeper).Epoch
	if b.kind == configuration.KindChange || b.kind == lease.KindClaim {
		r.Duty, r.Epoch = "", 0
	}
	raw, err := r.Encode()
	require.NoError(t, err)
	return raw
}

func TestEveryPartOfTheStateGoesOnFromASnapshot(t *testing.T) {
	const records = 400
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		whole, cut := NewFleet(), rnd.IntN(records)
		first, err := journal.NewRecord("first", configuration.KindChange, time.Unix(0, 0), "op", fleet(t))
		require.NoError(t, err)
		raw, err := first.Encode()
		require.NoError(t, err)
		var restored *Fleet
		outcomes := make(map[journal.Outcome]int)
		for n := range records {
			v, err := whole.Fold().Apply(journal.Offset(n), raw)
			require.NoError(t, err)
			outcomes[v.Outcome]++
			if restored != nil {
				_, err = restored.Fold().Apply(journal.Offset(n), raw)
				require.NoError(t, err)
				require.Equal(t, whole.Fold().Digest(), restored.Fold().Digest(), "seed %d, cut at %d, record %d: %+v", seed, cut, n, v)
			}
			if n == cut {
				restored = copyOf(t, whole)
			}
			raw = next(t, whole, rnd, n+1)
		}
		require.Equal(t, packed(t, whole), packed(t, restored), "seed %d", seed)
		require.Greater(t, outcomes[journal.Accepted], records/10, "the records must do something")
	}
}

func copyOf(t *testing.T, f *Fleet) *Fleet {
	t.Helper()
	chunks, err := journal.Split(snapshot(t, f), "s")
	require.NoError(t, err)
	a := journal.NewAssembler(journal.StreamFleet)
	for _, c := range chunks {
		require.NoError(t, a.Add(c))
	}
	s, ok := a.Newest()
	require.True(t, ok)
	g := NewFleet()
	require.NoError(t, g.Fold().Restore(s))
	return g
}

func snapshot(t *testing.T, f *Fleet) journal.Snapshot {
	t.Helper()
	s, err := f.Fold().Snapshot(journal.StreamFleet)
	require.NoError(t, err)
	return s
}

func packed(t *testing.T, f *Fleet) []byte {
	t.Helper()
	b, err := snapshot(t, f).Pack()
	require.NoError(t, err)
	return b
}
