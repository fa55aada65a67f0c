package lease

import (
	"maps"
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
)

// observation is the last holding of a duty that a host read, with times on its own
// clock.
type observation struct {
	holding Holding
	// seenAt is when the holding was first read.
	seenAt time.Time
	// expiresAt is the end of this host's lease, counted from before the append of the
	// claim or renewal.
	expiresAt time.Time
	// claimedAt is when this host sent its last claim.
	claimedAt time.Time
}

// Tracker decides for one host which duties it holds, may claim and renews. It relies
// only on applied records: a claim or renewal takes effect once it has been read back,
// and its lease counts from the time before it was sent.
type Tracker struct {
	name         inventory.EntryID
	observations map[Duty]*observation
	// lastNumber is the number of the last claim or renewal that was sent.
	lastNumber SequenceNumber
	// sentAt has the send time of each claim and renewal that is younger than Duration.
	sentAt map[SequenceNumber]time.Time
	// renewedAt is when the last renewal was sent.
	renewedAt time.Time
}

// NewTracker returns the Tracker of a host that holds no duty. Numbers count from the
// start time of the process, so that they increase across restarts.
func NewTracker(name inventory.EntryID, start time.Time) *Tracker {
	return &Tracker{
		name: name, observations: make(map[Duty]*observation),
		lastNumber: SequenceNumber(start.UnixNano()), sentAt: make(map[SequenceNumber]time.Time),
	}
}

// nextNumber returns the number of a record that is sent now, and removes the send times
// of expired leases.
func (t *Tracker) nextNumber(now time.Time) SequenceNumber {
	maps.DeleteFunc(t.sentAt, func(_ SequenceNumber, at time.Time) bool { return now.Sub(at) >= Duration })
	t.lastNumber++
	t.sentAt[t.lastNumber] = now
	return t.lastNumber
}

// Observe updates the tracker with the applied holdings. It must be called with all
// duties before any decision at the same time.
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

// expiry returns when this host's lease expires under a new holding.
func (t *Tracker) expiry(o *observation, h Holding) time.Time {
	if h.Holder != t.name {
		return time.Time{}
	}
	expiresAt := time.Time{}
	if h.Epoch == o.holding.Epoch {
		expiresAt = o.expiresAt
	}
	if at, ok := t.sentAt[h.Number]; ok && at.Add(Duration).After(expiresAt) {
		return at.Add(Duration)
	}
	return expiresAt
}

// Holds returns the epoch under which the host may perform the duty, and when its lease
// expires.
func (t *Tracker) Holds(d Duty, now time.Time) (epoch journal.Epoch, expiresAt time.Time, ok bool) {
	o, observed := t.observations[d]
	if !observed || o.holding.Holder != t.name || !now.Before(o.expiresAt) {
		return 0, time.Time{}, false
	}
	return o.holding.Epoch, o.expiresAt, true
}

// MayClaim reports whether the duty is released, or its lease expired by this host's
// clock, and whether this host is next to claim it: each host that ranks before it has
// had GracePeriod to do so.
func (t *Tracker) MayClaim(d Duty, hosts []inventory.EntryID, now time.Time) bool {
	o, observed := t.observations[d]
	if !observed {
		return false
	}
	rank := slices.Index(Rank(d, hosts), t.name)
	if rank < 0 || now.Sub(o.claimedAt) < Duration {
		return false
	}
	wait := time.Duration(rank) * GracePeriod
	if o.holding.Holder != "" {
		wait += Duration + GracePeriod
	}
	return now.Sub(o.seenAt) >= wait
}

// Claim returns a claim and records now as its send time.
func (t *Tracker) Claim(d Duty, now time.Time) Claim {
	o := t.observations[d]
	o.claimedAt = now
	return Claim{Duty: d, Holder: t.name, From: o.holding.Epoch, Seen: o.holding.Renewed, Number: t.nextNumber(now)}
}

// Renewal returns a renewal of all duties held if it is due, and records now as its send
// time.
func (t *Tracker) Renewal(now time.Time) (Renew, bool) {
	held := t.Held(now)
	if len(held) == 0 || now.Sub(t.renewedAt) < RenewInterval {
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

// ReleaseAll ends all leases of the host and returns the releases, sorted by duty.
func (t *Tracker) ReleaseAll(now time.Time) []Release {
	held := t.Held(now)
	var releases []Release
	for _, d := range slices.Sorted(maps.Keys(held)) {
		t.observations[d].expiresAt = time.Time{}
		releases = append(releases, Release{Duty: d, Holder: t.name, Epoch: held[d]})
	}
	return releases
}
