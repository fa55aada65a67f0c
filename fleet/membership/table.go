package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// Peer is what a table knows of another host.
type Peer struct {
	Heartbeat
	State State
	// Reachable is set while the last try to exchange with it succeeded.
	Reachable bool
}

// peerEntry is a peer as the table keeps it.
type peerEntry struct {
	heartbeat Heartbeat
	// heardAt is when the newest heartbeat arrived, on this host's clock.
	heardAt time.Time
	// timesSent counts how often the newest heartbeat was passed on.
	timesSent int
	reachable bool
}

// state returns what a silence means where the times of silence are stretched by
// the factor.
func (e *peerEntry) state(now time.Time, factor float64) State {
	silence := time.Duration(float64(now.Sub(e.heardAt)) / factor)
	switch {
	case e.heartbeat.Leaving || silence >= GoneAfter:
		return Gone
	case silence >= SuspectAfter:
		return Suspect
	}
	return Alive
}

// Config is what a table is built from.
type Config struct {
	Name       inventory.EntryID
	DataCentre inventory.DataCentreID
	// Rand chooses whom to talk to. The table owns it.
	Rand *rand.Rand
}

// Table is one host's view of the others. It is bounded, whatever it hears.
type Table struct {
	cfg   Config
	peers map[inventory.EntryID]*peerEntry
	// rounds counts calls of Targets.
	rounds int
	// localPeers is how many peers of the own data centre are kept.
	localPeers int
}

// Target is a host to exchange with.
type Target struct {
	Address    string
	DataCentre inventory.DataCentreID
}

// NewTable returns a table that knows nobody.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg, peers: make(map[inventory.EntryID]*peerEntry)}
}

// Hear takes heartbeats and returns how many of them were news. An older one
// than the last of its host, and one of this host itself, are passed over.
func (t *Table) Hear(now time.Time, heartbeats []Heartbeat) int {
	accepted := 0
	for _, h := range heartbeats {
		if t.mergeOne(now, h) {
			accepted++
		}
	}
	return accepted
}

// silenceFactor returns the factor of the times of silence.
func (t *Table) silenceFactor() float64 {
	return max(1, float64(t.localPeers)/BaselineLocalHosts)
}

func (t *Table) state(e *peerEntry, now time.Time) State {
	return e.state(now, t.silenceFactor())
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
	e.heartbeat, e.heardAt, e.timesSent = h, now, 0
	return true
}

// ensureCapacity makes room for one more host of the data centre, at the cost of one
// that is gone, and reports whether there is room.
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

// Reached notes whether a try to exchange with the address succeeded.
func (t *Table) Reached(address string, ok bool) {
	for _, e := range t.peers {
		if e.heartbeat.Address == address {
			e.reachable = ok
		}
	}
}

// Forget drops peers that were silent for ForgetAfter.
func (t *Table) Forget(now time.Time) {
	for name, e := range t.peers {
		if now.Sub(e.heardAt) >= ExpireAfter {
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

// Peers returns all known peers in order of their names.
func (t *Table) Peers(now time.Time) []Peer {
	peers := make([]Peer, 0, len(t.peers))
	for _, e := range t.peers {
		peers = append(peers, Peer{Heartbeat: e.heartbeat, State: t.state(e, now), Reachable: e.reachable})
	}
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	return peers
}

// ViewDigest returns a digest of the hosts alive in the own data centre, this
// one included. Hosts that see the same have the same digest.
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

// Targets returns whom to exchange with in this round: one host of the own data
// centre; one of another every CrossEvery rounds, or each round while the host
// does not reach the platform. Gone peers are tried as well, a tenth as often, so
// that a healed cut is noticed.
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
	if len(remote) > 0 && (!reachesPlatform || t.rounds%CrossEvery == 0 || len(local) == 0) {
		targets = append(targets, remote[t.cfg.Rand.IntN(len(remote))])
	}
	return targets
}

// Tell returns what one message to a host of the data centre says: the own
// heartbeat first, then those of others that were passed on least, never of one
// that is gone. An unknown data centre is given as an empty name.
func (t *Table) Tell(now time.Time, own Heartbeat, to inventory.DataCentreID) []Heartbeat {
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
		return t.collect(own, leastSent(local, TellLocal), leastSent(others, TellContacts))
	}
	return t.collect(own, leastSent(local, TellContacts), leastSent(recipientPeers, TellContacts), leastSent(others, TellContacts))
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
		return cmp.Or(cmp.Compare(a.timesSent, b.timesSent), b.heardAt.Compare(a.heardAt), cmp.Compare(a.heartbeat.Name, b.heartbeat.Name))
	})
	return entries[:min(n, len(entries))]
}
