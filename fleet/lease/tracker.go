package lease

import (
	"maps"
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
)

// observation is what one host saw of a duty on its own clock.
type observation struct {
	holding Holding
	// seenAt is when holding was first seen.
	seenAt time.Time
	// expiresAt ends the own term; it counts from before the append that began it.
	expiresAt time.Time
	// claimedAt is when the own last claim was sent.
	claimedAt time.Time
}

// Tracker decides for one host which duties it holds, may claim and renews. It
// believes nothing but what was folded: a claim or a renewal counts once it was
// read back, from the time before it was sent.
type Tracker struct {
	name         inventory.EntryID
	observations map[Duty]*observation
	// lastNumber is the number of the last claim or renewal.
	lastNumber SequenceNumber
	// sentAt has when each claim and renewal of the last Term was sent.
	sentAt map[SequenceNumber]time.Time
	// renewedAt is when the last renewal was sent.
	renewedAt time.Time
}

// NewTracker returns the tracker of a host that holds nothing. It is given the
// start of the process, so that numbers rise across restarts.
func NewTracker(name inventory.EntryID, start time.Time) *Tracker {
	return &Tracker{
		name: name, observations: make(map[Duty]*observation),
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
		o, ok := t.observations[d]
		if !ok {
			o = &observation{seenAt: now}
			t.observations[d] = o
		}
		if h := holdings[d]; h != o.holding {
			o.expiresAt = t.expiry(o, h)
			o.holding, o.seenAt = h, now
		}
	}
}

// expiry returns when the own term ends under a new holding.
func (t *Tracker) expiry(o *observation, h Holding) time.Time {
	if h.Holder != t.name {
		return time.Time{}
	}
	expiresAt := time.Time{}
	if h.Epoch == o.holding.Epoch {
		expiresAt = o.expiresAt
	}
	if at, ok := t.sentAt[h.Number]; ok && at.Add(Term).After(expiresAt) {
		return at.Add(Term)
	}
	return expiresAt
}

// Holds returns the epoch under which the host may work on the duty, and when
// its term ends.
func (t *Tracker) Holds(d Duty, now time.Time) (epoch journal.Epoch, expiresAt time.Time, ok bool) {
	o, observed := t.observations[d]
	if !observed || o.holding.Holder != t.name || !now.Before(o.expiresAt) {
		return 0, time.Time{}, false
	}
	return o.holding.Epoch, o.expiresAt, true
}

// MayClaim reports whether the duty is free on this host's clock and it is this
// host's turn: the hosts before it in rank had Grace each to claim.
func (t *Tracker) MayClaim(d Duty, hosts []inventory.EntryID, now time.Time) bool {
	o, observed := t.observations[d]
	if !observed {
		return false
	}
	rank := slices.Index(Rank(d, hosts), t.name)
	if rank < 0 || now.Sub(o.claimedAt) < Term {
		return false
	}
	wait := time.Duration(rank) * GracePeriod
	if o.holding.Holder != "" {
		wait += Term + GracePeriod
	}
	return now.Sub(o.seenAt) >= wait
}

// Claim returns a claim that is sent now.
func (t *Tracker) Claim(d Duty, now time.Time) Claim {
	o := t.observations[d]
	o.claimedAt = now
	return Claim{Duty: d, Holder: t.name, From: o.holding.Epoch, Seen: o.holding.Renewed, Number: t.nextNumber(now)}
}

// Renewal returns the renewal of all duties held, sent now, if it is due.
func (t *Tracker) Renewal(now time.Time) (Renew, bool) {
	held := t.Held(now)
	if len(held) == 0 || now.Sub(t.renewedAt) < RenewEvery {
		return Renew{}, false
	}
	t.renewedAt = now
	return Renew{Holder: t.name, Number: t.nextNumber(now), Held: held}, true
}

// Held returns the epoch of each duty that the host holds.
func (t *Tracker) Held(now time.Time) map[Duty]journal.Epoch {
	held := make(map[Duty]journal.Epoch)
	for d := range t.observations {
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
		t.observations[d].expiresAt = time.Time{}
		releases = append(releases, Release{Duty: d, Holder: t.name, Epoch: held[d]})
	}
	return releases
}
