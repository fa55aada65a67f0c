package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/retry"
)

var start = time.Unix(0, 0)

func instances(n int, dcs ...inventory.DataCentreID) []Instance {
	out := make([]Instance, n)
	for i := range out {
		out[i] = Instance{ID: inventory.InstanceID(fmt.Sprintf("%04d", i)), DataCentre: dcs[i%len(dcs)]}
	}
	return out
}

// newTable returns a table of one entry host that owns all 8 slots of n servers.
func newTable(n int, dcs ...inventory.DataCentreID) *Table {
	t := NewTable(Config{DataCentre: "a", Slots: 8, Random: rand.New(rand.NewPCG(1, 1))})
	t.Update(instances(n, dcs...), nil, start)
	return t
}

// take chooses n servers and returns how often each was chosen.
func take(t *testing.T, table *Table, n int, now time.Time) map[inventory.InstanceID]int {
	t.Helper()
	got := make(map[inventory.InstanceID]int)
	for range n {
		i, err := table.Choose(nil, false, now)
		require.NoError(t, err)
		got[i.ID]++
	}
	return got
}

func TestShare(t *testing.T) {
	for _, hosts := range []int{1, 2, 7, 8, 9, 72, 500} {
		for _, servers := range []int{1, 2, 10, 50} {
			least, most, total := 1<<30, 0, 0
			for index := range servers {
				sum := 0
				for rank := range hosts {
					sum += int(Share(8, index, rank, hosts))
				}
				require.Equal(t, 8, sum, "all slots of a server are assigned")
			}
			for rank := range hosts {
				own := 0
				for index := range servers {
					own += int(Share(8, index, rank, hosts))
				}
				least, most, total = min(least, own), max(most, own), total+own
			}
			require.Equal(t, 8*servers, total)
			require.LessOrEqual(t, most-least, 1, "shares differ by at most one slot")
		}
	}
}

func TestChooseFillsLocalThenRemoteServers(t *testing.T) {
	table := newTable(4, "a", "b")
	got := take(t, table, 16, start)
	require.Equal(t, map[inventory.InstanceID]int{"0000": 8, "0002": 8}, got, "local servers are filled first")
	got = take(t, table, 16, start)
	require.Equal(t, map[inventory.InstanceID]int{"0001": 8, "0003": 8}, got, "remote servers take the overflow")
	_, err := table.Choose(nil, true, start)
	require.ErrorIs(t, err, ErrBusy)
}

func TestTriedServerIsChosenLast(t *testing.T) {
	table := newTable(2, "a")
	i, err := table.Choose([]inventory.InstanceID{"0000"}, false, start)
	require.NoError(t, err)
	require.Equal(t, inventory.InstanceID("0001"), i.ID)
	i, err = table.Choose([]inventory.InstanceID{"0000", "0001"}, false, start)
	require.NoError(t, err)
	require.NotEmpty(t, i.ID)
}

func TestBorrowing(t *testing.T) {
	table := NewTable(Config{Name: "0", DataCentre: "a", Slots: 8, Random: rand.New(rand.NewPCG(1, 1))})
	var hosts []Host
	for i := range 9 {
		hosts = append(hosts, Host{ID: inventory.EntryID(fmt.Sprint(i)), DataCentre: "a"})
	}
	table.Update(instances(9, "a"), hosts, start)
	take(t, table, 8, start)
	_, err := table.Choose(nil, false, start)
	require.ErrorIs(t, err, ErrBusy, "only own slots are used unless mayBorrow is set")
	// Other hosts send nothing, so each answer on a borrowed slot raises the allowance.
	now := start
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		if i, err := table.Choose(nil, true, now); err == nil {
			table.RecordResult(i.ID, retry.ResultAnswered, time.Millisecond, now)
		}
	}
	free := 0
	for ; ; free++ {
		if _, err := table.Choose(nil, true, now); err != nil {
			break
		}
	}
	require.Equal(t, 64, free, "a host without competition can use every free slot")
}

func TestRefusalHalvesBorrowLimit(t *testing.T) {
	l := newBorrowLimit()
	for range 10 {
		l.increase()
	}
	require.True(t, l.allows(6, start))
	l.decrease()
	require.False(t, l.allows(6, start))
	for range 10 {
		l.decrease()
	}
	require.True(t, l.allows(0, start.Add(probeInterval)), "one probe per interval")
	l.recordBorrow(start)
	require.False(t, l.allows(0, start.Add(probeInterval/2)))
}

// fail reports failures of the server until it is ejected.
func fail(table *Table, id inventory.InstanceID, now time.Time) {
	for range maxFailures {
		table.RecordResult(id, retry.ResultNotSent, 0, now)
	}
}

func TestEjectionNeverEmptiesAService(t *testing.T) {
	for _, n := range []int{1, 2, 3, 10, 50} {
		table := newTable(n, "a")
		for _, i := range instances(n, "a") {
			fail(table, i.ID, start)
		}
		require.Equal(t, n-n/2, table.Len(), "of %d", n)
		for _, i := range instances(n, "a") {
			table.ObserveLeavingSign(i.ID, LeavingSignHeader, start)
		}
		require.Equal(t, n-n/2, table.Len(), "signs of leaving count towards the limit")
	}
}

// TestUnreachableDataCentre ejects every server of another data centre. The slots of the
// entry hosts there go to the other hosts until one of these servers answers again.
func TestUnreachableDataCentre(t *testing.T) {
	table := NewTable(Config{Name: "0", DataCentre: "a", Slots: 8, Random: rand.New(rand.NewPCG(1, 1))})
	table.Update(instances(4, "a", "b"), []Host{{"0", "a"}, {"1", "b"}, {"2", "b"}, {"3", "a"}}, start)
	require.Equal(t, inventory.Slots(8), table.ownSlots)
	fail(table, "0001", start)
	require.Equal(t, 4, table.Hosts())
	fail(table, "0003", start)
	require.Equal(t, 2, table.Hosts())
	require.Equal(t, inventory.Slots(8), table.ownSlots, "half of each server here instead of a quarter of all")
	table.reinstateDue(start.Add(time.Minute))
	require.Equal(t, 2, table.Hosts(), "a reinstated server stays suspected until it answers")
	table.RecordResult("0003", retry.ResultAnswered, time.Millisecond, start.Add(time.Minute))
	require.Equal(t, 4, table.Hosts())
}

func TestSlowStartAfterEjection(t *testing.T) {
	table := newTable(2, "a")
	fail(table, "0000", start)
	require.Equal(t, 1, table.Len())
	now := start.Add(ejectionBackoff.Initial * 2)
	s := table.servers["0000"]
	for _, want := range []inventory.Slots{1, 2, 4, 8, 8} {
		table.reinstateDue(now)
		require.Equal(t, want, s.rampLimit)
		table.recordAnswer(s, time.Millisecond)
	}
}

func TestSlowServerIsEjected(t *testing.T) {
	table := newTable(4, "a")
	for _, i := range instances(4, "a") {
		for range minLatencySamples {
			took := 10 * time.Millisecond
			if i.ID == "0002" {
				took = time.Second
			}
			table.RecordResult(i.ID, retry.ResultAnswered, took, start)
		}
	}
	table.EjectSlow(start)
	require.Equal(t, 3, table.Len())
	require.NotContains(t, take(t, table, 24, start), inventory.InstanceID("0002"))
}

func TestLeaving(t *testing.T) {
	leaving := func(list []Instance, i int) []Instance {
		list[i].Leaving = true
		return list
	}
	t.Run("the host list may exclude all servers", func(t *testing.T) {
		table := newTable(2, "a")
		table.Update(leaving(leaving(instances(2, "a"), 0), 1), nil, start)
		_, err := table.Choose(nil, true, start.Add(time.Hour))
		require.ErrorIs(t, err, ErrNoServer)
	})
	t.Run("a server that stays after all has a slow start", func(t *testing.T) {
		table := newTable(2, "a")
		table.Update(leaving(instances(2, "a"), 0), nil, start)
		require.Equal(t, 1, table.Len())
		table.Update(instances(2, "a"), nil, start)
		require.Equal(t, inventory.Slots(1), table.servers["0000"].rampLimit)
	})
	t.Run("a server that only recycles connections is not excluded again", func(t *testing.T) {
		table := newTable(2, "a")
		table.ObserveLeavingSign("0000", LeavingSignHeader, start)
		require.Equal(t, 1, table.Len())
		now := start.Add(leavingSignHold)
		table.reinstateDue(now)
		table.RecordResult("0000", retry.ResultAnswered, time.Millisecond, now)
		table.ObserveLeavingSign("0000", LeavingSignHeader, now)
		require.Equal(t, 2, table.Len())
	})
	t.Run("an empty list is ignored", func(t *testing.T) {
		table := newTable(2, "a")
		table.Update(nil, nil, start)
		require.Equal(t, 2, table.Len())
	})
	t.Run("the load of a removed server is dropped", func(t *testing.T) {
		table := newTable(2, "a")
		take(t, table, 16, start)
		table.Update(instances(1, "a"), nil, start)
		table.RecordResult("0001", retry.ResultAnswered, time.Millisecond, start)
		require.Equal(t, inventory.Slots(8), table.InFlight())
	})
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 8600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table := newTable(n, "a", "b")
			b.ReportAllocs()
			for b.Loop() {
				i, _ := table.Choose(nil, true, start)
				table.RecordResult(i.ID, retry.ResultAnswered, time.Millisecond, start)
			}
		})
	}
}
