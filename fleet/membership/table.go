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

// entry is a peer as the table keeps it.
type entry struct {
	beat Heartbeat
	// heardAt is when the newest heartbeat arrived, on this host's clock.
	heardAt time.Time
	// told counts how often the newest heartbeat was passed on.
	told      int
	reachable bool
}

// state returns what a silence means where the times of silence are stretched by
// the factor.
func (e *entry) state(now time.Time, stretch float64) State {
	silence := time.Duration(float64(now.Sub(e.heardAt)) / stretch)
	switch {
	case e.beat.Leaving || silence >= GoneAfter:
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
	peers map[inventory.EntryID]*entry
	// rounds counts calls of Targets.
	rounds int
	// local is how many peers of the own data centre are kept.
	local int
}

// Target is a host to exchange with.
type Target struct {
	Address    string
	DataCentre inventory.DataCentreID
}

// NewTable returns a table that knows nobody.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg, peers: make(map[inventory.EntryID]*entry)}
}

// Hear takes heartbeats and returns how many of them were news. An older one
// than the last of its host, and one of this host itself, are passed over.
func (t *Table) Hear(now time.Time, beats []Heartbeat) int {
	news := 0
	for _, b := range beats {
		if t.hear(now, b) {
			news++
		}
	}
	return news
}

// stretch returns the factor of the times of silence.
func (t *Table) stretch() float64 {
	return max(1, float64(t.local)/BaselineLocalHosts)
}

func (t *Table) state(e *entry, now time.Time) State {
	return e.state(now, t.stretch())
}

func (t *Table) hear(now time.Time, b Heartbeat) bool {
	if b.Name == t.cfg.Name || b.Name == "" || b.DataCentre == "" || b.Address == "" {
		return false
	}
	e, ok := t.peers[b.Name]
	if ok && !b.IsNewer(e.beat) {
		return false
	}
	if !ok && (b.Leaving || !t.hasRoom(now, b.DataCentre)) {
		return false
	}
	if !ok && b.DataCentre == t.cfg.DataCentre {
		t.local++
	}
	if !ok || e.beat.Address != b.Address {
		e = &entry{}
		t.peers[b.Name] = e
	}
	e.beat, e.heardAt, e.told = b, now, 0
	return true
}

// hasRoom makes room for one more host of the data centre, at the cost of one
// that is gone, and reports whether there is room.
func (t *Table) hasRoom(now time.Time, dc inventory.DataCentreID) bool {
	limit := MaxRemotePeers
	if dc == t.cfg.DataCentre {
		limit = MaxLocalPeers
	}
	count, gone := 0, inventory.EntryID("")
	others := make(map[inventory.DataCentreID]bool)
	for name, e := range t.peers {
		others[e.beat.DataCentre] = true
		if e.beat.DataCentre != dc {
			continue
		}
		count++
		if t.state(e, now) == Gone && name > gone {
			gone = name
		}
	}
	if !others[dc] && len(others) >= MaxDataCentres {
		return false
	}
	if count < limit {
		return true
	}
	if gone != "" {
		t.drop(gone)
	}
	return gone != ""
}

// Reached notes whether a try to exchange with the address succeeded.
func (t *Table) Reached(address string, ok bool) {
	for _, e := range t.peers {
		if e.beat.Address == address {
			e.reachable = ok
		}
	}
}

// Forget drops peers that were silent for ForgetAfter.
func (t *Table) Forget(now time.Time) {
	for name, e := range t.peers {
		if now.Sub(e.heardAt) >= ExpireAfter {
			t.drop(name)
		}
	}
}

func (t *Table) drop(name inventory.EntryID) {
	if t.peers[name].beat.DataCentre == t.cfg.DataCentre {
		t.local--
	}
	delete(t.peers, name)
}

// Peers returns all known peers in order of their names.
func (t *Table) Peers(now time.Time) []Peer {
	peers := make([]Peer, 0, len(t.peers))
	for _, e := range t.peers {
		peers = append(peers, Peer{Heartbeat: e.beat, State: t.state(e, now), Reachable: e.reachable})
	}
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	return peers
}

// ViewDigest returns a digest of the hosts alive in the own data centre, this
// one included. Hosts that see the same have the same digest.
func (t *Table) ViewDigest(now time.Time) uint32 {
	names := []inventory.EntryID{t.cfg.Name}
	for name, e := range t.peers {
		if e.beat.DataCentre == t.cfg.DataCentre && t.state(e, now) == Alive {
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
	var local, cross []Target
	for _, p := range t.Peers(now) {
		if p.State == Gone && (p.Leaving || t.cfg.Rand.IntN(10) > 0) {
			continue
		}
		if p.DataCentre == t.cfg.DataCentre {
			local = append(local, Target{p.Address, p.DataCentre})
		} else {
			cross = append(cross, Target{p.Address, p.DataCentre})
		}
	}
	var targets []Target
	if len(local) > 0 {
		targets = append(targets, local[t.cfg.Rand.IntN(len(local))])
	}
	if len(cross) > 0 && (!reachesPlatform || t.rounds%CrossEvery == 0 || len(local) == 0) {
		targets = append(targets, cross[t.cfg.Rand.IntN(len(cross))])
	}
	return targets
}

// Tell returns what one message to a host of the data centre says: the own
// heartbeat first, then those of others that were passed on least, never of one
// that is gone. An unknown data centre is given as an empty name.
func (t *Table) Tell(now time.Time, own Heartbeat, to inventory.DataCentreID) []Heartbeat {
	var local, theirs, others []*entry
	for _, e := range t.peers {
		switch {
		case t.state(e, now) == Gone && !e.beat.Leaving:
		case e.beat.DataCentre == t.cfg.DataCentre:
			local = append(local, e)
		case e.beat.DataCentre == to:
			theirs = append(theirs, e)
		default:
			others = append(others, e)
		}
	}
	if to == t.cfg.DataCentre {
		return t.told(own, leastTold(local, TellLocal), leastTold(others, TellContacts))
	}
	return t.told(own, leastTold(local, TellContacts), leastTold(theirs, TellContacts), leastTold(others, TellContacts))
}

func (t *Table) told(own Heartbeat, groups ...[]*entry) []Heartbeat {
	told := []Heartbeat{own}
	for _, group := range groups {
		for _, e := range group {
			e.told++
			told = append(told, e.beat)
		}
	}
	return told
}

func leastTold(entries []*entry, n int) []*entry {
	slices.SortFunc(entries, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.told, b.told), b.heardAt.Compare(a.heardAt), cmp.Compare(a.beat.Name, b.beat.Name))
	})
	return entries[:min(n, len(entries))]
}
