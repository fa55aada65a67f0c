package lease

import (
	"maps"
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
)

// watch is what one host saw of a duty on its own clock.
type watch struct {
	holding Holding
	// seen is when holding was first seen.
	seen time.Time
	// until ends the own term; it counts from before the append that began it.
	until time.Time
	// claimedAt is when the own last claim was sent.
	claimedAt time.Time
}

// Tracker decides for one host which duties it holds, may claim and renews. It
// believes nothing but what was folded: a claim or a renewal counts once it was
// read back, from the time before it was sent.
type Tracker struct {
	name    inventory.EntryID
	watched map[Duty]*watch
	// lastNumber is the number of the last claim or renewal.
	lastNumber SequenceNumber
	// sentAt has when each claim and renewal of the last Term was sent.
	sentAt map[SequenceNumber]time.Time
	// renewed is when the last renewal was sent.
	renewed time.Time
}

// NewTracker returns the tracker of a host that holds nothing. It is given the
// start of the process, so that numbers rise across restarts.
func NewTracker(name inventory.EntryID, start time.Time) *Tracker {
	return &Tracker{
		name: name, watched: make(map[Duty]*watch),
		lastNumber: SequenceNumber(start.UnixNano()), sentAt: make(map[SequenceNumber]time.Time),
	}
}

// nextNumber returns the number of a record that is sent now.
func (t *Tracker) nextNumber(now time.Time) SequenceNumber {
	maps.DeleteFunc(t.sentAt, func(_ SequenceNumber, at time.Time) bool { return now.Sub(at) >= Term })
	t.lastNumber++
	t.sentAt[t.lastNumber] = now
	return t.lastNumber
}

// Observe takes what was folded. It must be called with all duties before any
// decision at the same time.
func (t *Tracker) Observe(now time.Time, duties []Duty, holdings map[Duty]Holding) {
	for _, d := range duties {
		w, ok := t.watched[d]
		if !ok {
			w = &watch{seen: now}
			t.watched[d] = w
		}
		if h := holdings[d]; h != w.holding {
			w.until = t.term(w, h)
			w.holding, w.seen = h, now
		}
	}
}

// term returns when the own term ends under a new holding.
func (t *Tracker) term(w *watch, h Holding) time.Time {
	if h.Holder != t.name {
		return time.Time{}
	}
	until := time.Time{}
	if h.Epoch == w.holding.Epoch {
		until = w.until
	}
	if at, ok := t.sentAt[h.Number]; ok && at.Add(Term).After(until) {
		return at.Add(Term)
	}
	return until
}

// Holds returns the epoch under which the host may work on the duty, and when
// its term ends.
func (t *Tracker) Holds(d Duty, now time.Time) (epoch journal.Epoch, until time.Time, ok bool) {
	w, watched := t.watched[d]
	if !watched || w.holding.Holder != t.name || !now.Before(w.until) {
		return 0, time.Time{}, false
	}
	return w.holding.Epoch, w.until, true
}

// MayClaim reports whether the duty is free on this host's clock and it is this
// host's turn: the hosts before it in rank had Grace each to claim.
func (t *Tracker) MayClaim(d Duty, hosts []inventory.EntryID, now time.Time) bool {
	w, watched := t.watched[d]
	if !watched {
		return false
	}
	rank := slices.Index(Rank(d, hosts), t.name)
	if rank < 0 || now.Sub(w.claimedAt) < Term {
		return false
	}
	wait := time.Duration(rank) * GracePeriod
	if w.holding.Holder != "" {
		wait += Term + GracePeriod
	}
	return now.Sub(w.seen) >= wait
}

// Claim returns a claim that is sent now.
func (t *Tracker) Claim(d Duty, now time.Time) Claim {
	w := t.watched[d]
	w.claimedAt = now
	return Claim{Duty: d, Holder: t.name, From: w.holding.Epoch, Seen: w.holding.Renewed, Number: t.nextNumber(now)}
}

// Renewal returns the renewal of all duties held, sent now, if it is due.
func (t *Tracker) Renewal(now time.Time) (Renew, bool) {
	held := t.Held(now)
	if len(held) == 0 || now.Sub(t.renewed) < RenewEvery {
		return Renew{}, false
	}
	t.renewed = now
	return Renew{Holder: t.name, Number: t.nextNumber(now), Held: held}, true
}

// Held returns the epoch of each duty that the host holds.
func (t *Tracker) Held(now time.Time) map[Duty]journal.Epoch {
	held := make(map[Duty]journal.Epoch)
	for d := range t.watched {
		if epoch, _, ok := t.Holds(d, now); ok {
			held[d] = epoch
		}
	}
	return held
}

// GiveBack ends all terms and returns the releases, in order of duties.
func (t *Tracker) GiveBack(now time.Time) []Release {
	held := t.Held(now)
	var releases []Release
	for _, d := range slices.Sorted(maps.Keys(held)) {
		t.watched[d].until = time.Time{}
		releases = append(releases, Release{Duty: d, Holder: t.name, Epoch: held[d]})
	}
	return releases
}
