package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
)

var start = time.Unix(1000, 0)

func newHeartbeat(name string, dc inventory.DataCentreID, inc Incarnation, seq int64) Heartbeat {
	return Heartbeat{Name: inventory.EntryID(name), DataCentre: dc, Address: name + ":1", Incarnation: inc, Sequence: seq}
}

func newTable() *Table {
	return NewTable(Config{Name: "me", DataCentre: "A", Rand: rand.New(rand.NewPCG(1, 1))})
}

func TestHearAcceptsOnlyNewerHeartbeats(t *testing.T) {
	tests := []struct {
		name      string
		heartbeat Heartbeat
		accepted  int
	}{
		{"first", newHeartbeat("e1", "A", 5, 3), 1},
		{"repeat", newHeartbeat("e1", "A", 5, 3), 0},
		{"out of order", newHeartbeat("e1", "A", 5, 2), 0},
		{"of an earlier incarnation", newHeartbeat("e1", "A", 4, 9), 0},
		{"of a later incarnation with a lower sequence number", newHeartbeat("e1", "A", 6, 1), 1},
		{"of this host", newHeartbeat("me", "A", 9, 9), 0},
		{"without an address", Heartbeat{Name: "e2", DataCentre: "A"}, 0},
	}
	table := newTable()
	for _, test := range tests {
		require.Equal(t, test.accepted, table.Merge(start, []Heartbeat{test.heartbeat}), test.name)
	}
}

func TestPeerWithoutHeartbeatsIsSuspectedThenGone(t *testing.T) {
	table := newTable()
	table.Merge(start, []Heartbeat{newHeartbeat("e1", "A", 1, 1)})
	for _, test := range []struct {
		elapsed time.Duration
		want    State
	}{{0, Alive}, {SuspectAfter - 1, Alive}, {SuspectAfter, Suspect}, {GoneAfter, Gone}} {
		require.Equal(t, test.want, table.Peers(start.Add(test.elapsed))[0].State, test.elapsed)
	}
	require.Len(t, table.Gossip(start.Add(GoneAfter), newHeartbeat("me", "A", 1, 1), "A"), 1, "the heartbeat of a gone peer is not passed on")
	table.Merge(start.Add(GoneAfter), []Heartbeat{newHeartbeat("e1", "A", 1, 2)})
	require.Equal(t, Alive, table.Peers(start.Add(GoneAfter))[0].State)
	table.RemoveExpired(start.Add(GoneAfter + ExpireAfter))
	require.Empty(t, table.Peers(start))
}

func TestTimeoutsGrowWithTheNumberOfLocalHosts(t *testing.T) {
	table := newTable()
	for i := range 4 * BaselineLocalHosts {
		table.Merge(start, []Heartbeat{newHeartbeat(fmt.Sprint("a", i), "A", 1, 1)})
	}
	require.Equal(t, Alive, table.Peers(start.Add(4*SuspectAfter - 1))[0].State)
	require.Equal(t, Suspect, table.Peers(start.Add(4 * SuspectAfter))[0].State)
}

func TestMessageHasPeersOfTheRecipientsDataCentre(t *testing.T) {
	table := newTable()
	for i := range MaxRemotePeers {
		table.Merge(start, []Heartbeat{newHeartbeat(fmt.Sprint("b", i), "B", 1, 1), newHeartbeat(fmt.Sprint("c", i), "C", 1, 1)})
	}
	theirs := 0
	for _, b := range table.Gossip(start, newHeartbeat("me", "A", 1, 1), "C") {
		if b.DataCentre == "C" {
			theirs++
		}
	}
	require.Equal(t, GossipRemotePeers, theirs)
}

func TestLeavingHostIsGoneAtOnceDespiteLateHeartbeats(t *testing.T) {
	table := newTable()
	table.Merge(start, []Heartbeat{newHeartbeat("e1", "A", 1, 1)})
	last := newHeartbeat("e1", "A", 1, 3)
	last.Leaving = true
	table.Merge(start, []Heartbeat{last})
	require.Equal(t, Gone, table.Peers(start)[0].State)
	table.Merge(start, []Heartbeat{newHeartbeat("e1", "A", 1, 2)})
	require.Equal(t, Gone, table.Peers(start)[0].State)
}

func TestTableAndMessagesAreBounded(t *testing.T) {
	table := newTable()
	for i := range 2 * MaxLocalPeers {
		table.Merge(start, []Heartbeat{newHeartbeat(fmt.Sprint("a", i), "A", 1, 1), newHeartbeat(fmt.Sprint("b", i), "B", 1, 1)})
	}
	for i := range 2 * MaxDataCentres {
		table.Merge(start, []Heartbeat{newHeartbeat(fmt.Sprint("c", i), inventory.DataCentreID(fmt.Sprint("C", i)), 1, 1)})
	}
	counts := make(map[inventory.DataCentreID]int)
	for _, p := range table.Peers(start) {
		counts[p.DataCentre]++
	}
	require.Equal(t, MaxLocalPeers, counts["A"])
	require.Equal(t, MaxRemotePeers, counts["B"])
	require.Len(t, counts, MaxDataCentres)
	require.Len(t, table.Gossip(start, newHeartbeat("me", "A", 1, 1), "B"), 1+3*GossipRemotePeers)
	require.Len(t, table.Gossip(start, newHeartbeat("me", "A", 1, 1), "A"), 1+GossipLocalPeers+GossipRemotePeers)
}

func TestCompare(t *testing.T) {
	own := Heartbeat{Applied: 10, Digest: 100, History: 1000, KnownKinds: 7}
	history := func(o journal.Offset) (uint64, bool) { return uint64(o) * 100, o >= 5 }
	tests := []struct {
		name string
		peer Heartbeat
		want Relation
	}{
		{"the same", Heartbeat{Applied: 10, Digest: 100, History: 1000, KnownKinds: 7}, Same},
		{"another state from the same records", Heartbeat{Applied: 10, Digest: 101, History: 1000, KnownKinds: 7}, Diverged},
		{"of another release", Heartbeat{Applied: 10, Digest: 101, History: 1000, KnownKinds: 8}, Same},
		{"other records", Heartbeat{Applied: 10, Digest: 101, History: 999, KnownKinds: 7}, OtherLog},
		{"ahead", Heartbeat{Applied: 11}, Ahead},
		{"behind", Heartbeat{Applied: 6, History: 600}, Behind},
		{"behind with other records", Heartbeat{Applied: 6, History: 601}, OtherLog},
		{"behind the known history", Heartbeat{Applied: 4, History: 1}, Behind},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.want, Compare(own, Peer{Heartbeat: test.peer}, history))
		})
	}
}
