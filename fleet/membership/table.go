package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// Peer is the last known state of another host.
type Peer struct {
	Heartbeat
	State State
	// Reachable is set if the last exchange with the peer succeeded.
	Reachable bool
}

// peerEntry is the table's entry of a peer.
type peerEntry struct {
	heartbeat Heartbeat
	// receivedAt is when the newest heartbeat arrived, by this host's clock.
	receivedAt time.Time
	// timesSent counts the messages in which the newest heartbeat was passed on.
	timesSent int
	reachable bool
}

// state returns the state of the peer by the time since its newest heartbeat, where
// SuspectAfter and GoneAfter are multiplied by the factor.
func (e *peerEntry) state(now time.Time, factor float64) State {
	elapsed := time.Duration(float64(now.Sub(e.receivedAt)) / factor)
	switch {
	case e.heartbeat.Leaving || elapsed >= GoneAfter:
		return Gone
	case elapsed >= SuspectAfter:
		return Suspect
	}
	return Alive
}

// Config configures a Table.
type Config struct {
	Name       inventory.EntryID
	DataCentre inventory.DataCentreID
	// Rand selects the targets of exchanges. Nothing else may use it.
	Rand *rand.Rand
}

// Table is one host's view of the other hosts. Its size is bounded for any input.
type Table struct {
	cfg   Config
	peers map[inventory.EntryID]*peerEntry
	// rounds counts the calls of Targets.
	rounds int
	// localPeers is the number of peers of the own data centre.
	localPeers int
}

// Target is a host to exchange heartbeats with.
type Target struct {
	Address    string
	DataCentre inventory.DataCentreID
}

// NewTable returns a Table without peers.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg, peers: make(map[inventory.EntryID]*peerEntry)}
}

// Merge merges received heartbeats into the table and returns how many of them were new.
// Heartbeats that are not newer than the last of their host, and those of this host
// itself, are ignored.
func (t *Table) Merge(now time.Time, heartbeats []Heartbeat) int {
	accepted := 0
	for _, h := range heartbeats {
		if t.mergeOne(now, h) {
			accepted++
		}
	}
	return accepted
}

// timeoutFactor returns the factor by which SuspectAfter and GoneAfter grow with the
// number of local peers.
func (t *Table) timeoutFactor() float64 {
	return max(1, float64(t.localPeers)/BaselineLocalHosts)
}

func (t *Table) state(e *peerEntry, now time.Time) State {
	return e.state(now, t.timeoutFactor())
}

func (t *Table) mergeOne(now time.Time, h Heartbeat) bool {
	if h.Name == t.cfg.Name || h.Name == "" || h.DataCentre == "" || h.Address == "" {
		return false
	}
	e, ok := t.peers[h.Name]
	if ok && !h.IsNewer(e.heartbeat) {
		return false
	}
	if !ok && (h.Leaving || !t.ensureCapacity(now, h.DataCentre)) {
		return false
	}
	if !ok && h.DataCentre == t.cfg.DataCentre {
		t.localPeers++
	}
	if !ok || e.heartbeat.Address != h.Address {
		e = &peerEntry{}
		t.peers[h.Name] = e
	}
	e.heartbeat, e.receivedAt, e.timesSent = h, now, 0
	return true
}

// ensureCapacity reports whether one more host of the data centre can be kept. At the
// limit it evicts a peer that is gone.
func (t *Table) ensureCapacity(now time.Time, dc inventory.DataCentreID) bool {
	limit := MaxRemotePeers
	if dc == t.cfg.DataCentre {
		limit = MaxLocalPeers
	}
	count, gone := 0, inventory.EntryID("")
	dataCentres := make(map[inventory.DataCentreID]bool)
	for name, e := range t.peers {
		dataCentres[e.heartbeat.DataCentre] = true
		if e.heartbeat.DataCentre != dc {
			continue
		}
		count++
		if t.state(e, now) == Gone && name > gone {
			gone = name
		}
	}
	if !dataCentres[dc] && len(dataCentres) >= MaxDataCentres {
		return false
	}
	if count < limit {
		return true
	}
	if gone != "" {
		t.remove(gone)
	}
	return gone != ""
}

// SetReachable records whether the last exchange with the address succeeded.
func (t *Table) SetReachable(address string, ok bool) {
	for _, e := range t.peers {
		if e.heartbeat.Address == address {
			e.reachable = ok
		}
	}
}

// RemoveExpired removes the peers without a heartbeat for ExpireAfter.
func (t *Table) RemoveExpired(now time.Time) {
	for name, e := range t.peers {
		if now.Sub(e.receivedAt) >= ExpireAfter {
			t.remove(name)
		}
	}
}

func (t *Table) remove(name inventory.EntryID) {
	if t.peers[name].heartbeat.DataCentre == t.cfg.DataCentre {
		t.localPeers--
	}
	delete(t.peers, name)
}

// Peers returns all known peers, sorted by name.
func (t *Table) Peers(now time.Time) []Peer {
	peers := make([]Peer, 0, len(t.peers))
	for _, e := range t.peers {
		peers = append(peers, Peer{Heartbeat: e.heartbeat, State: t.state(e, now), Reachable: e.reachable})
	}
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	return peers
}

// ViewDigest returns a digest of the names of the hosts alive in the own data centre,
// including this host. Hosts with the same view have the same digest.
func (t *Table) ViewDigest(now time.Time) uint32 {
	names := []inventory.EntryID{t.cfg.Name}
	for name, e := range t.peers {
		if e.heartbeat.DataCentre == t.cfg.DataCentre && t.state(e, now) == Alive {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	d := xxhash.New()
	for _, n := range names {
		_, _ = d.WriteString(string(n) + "\x00")
	}
	return uint32(d.Sum64())
}

// Targets returns the hosts to exchange heartbeats with in this round: one of the own
// data centre, and one of a remote data centre every RemoteExchangeRounds rounds, or in
// each round while this host does not reach the platform. Gone peers are tried a tenth as
// often, so that the end of a network partition is detected.
func (t *Table) Targets(now time.Time, reachesPlatform bool) []Target {
	t.rounds++
	var local, remote []Target
	for _, p := range t.Peers(now) {
		if p.State == Gone && (p.Leaving || t.cfg.Rand.IntN(10) > 0) {
			continue
		}
		if p.DataCentre == t.cfg.DataCentre {
			local = append(local, Target{p.Address, p.DataCentre})
		} else {
			remote = append(remote, Target{p.Address, p.DataCentre})
		}
	}
	var targets []Target
	if len(local) > 0 {
		targets = append(targets, local[t.cfg.Rand.IntN(len(local))])
	}
	if len(remote) > 0 && (!reachesPlatform || t.rounds%RemoteExchangeRounds == 0 || len(local) == 0) {
		targets = append(targets, remote[t.cfg.Rand.IntN(len(remote))])
	}
	return targets
}

// Gossip returns the heartbeats of one message to a host of the data centre: first the own
// one, then those of peers that were passed on least often. Peers that are gone are left
// out unless they announced a planned stop. The name of an unknown data centre is empty.
func (t *Table) Gossip(now time.Time, own Heartbeat, to inventory.DataCentreID) []Heartbeat {
	var local, recipientPeers, others []*peerEntry
	for _, e := range t.peers {
		switch {
		case t.state(e, now) == Gone && !e.heartbeat.Leaving:
		case e.heartbeat.DataCentre == t.cfg.DataCentre:
			local = append(local, e)
		case e.heartbeat.DataCentre == to:
			recipientPeers = append(recipientPeers, e)
		default:
			others = append(others, e)
		}
	}
	if to == t.cfg.DataCentre {
		return t.collect(own, leastSent(local, GossipLocalPeers), leastSent(others, GossipRemotePeers))
	}
	return t.collect(own, leastSent(local, GossipRemotePeers), leastSent(recipientPeers, GossipRemotePeers), leastSent(others, GossipRemotePeers))
}

func (t *Table) collect(own Heartbeat, groups ...[]*peerEntry) []Heartbeat {
	heartbeats := []Heartbeat{own}
	for _, group := range groups {
		for _, e := range group {
			e.timesSent++
			heartbeats = append(heartbeats, e.heartbeat)
		}
	}
	return heartbeats
}

func leastSent(entries []*peerEntry, n int) []*peerEntry {
	slices.SortFunc(entries, func(a, b *peerEntry) int {
		return cmp.Or(cmp.Compare(a.timesSent, b.timesSent), b.receivedAt.Compare(a.receivedAt), cmp.Compare(a.heartbeat.Name, b.heartbeat.Name))
	})
	return entries[:min(n, len(entries))]
}
