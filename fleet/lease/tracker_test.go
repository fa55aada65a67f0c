package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
)

const waves Duty = "Waves"

var start = time.Unix(1000, 0)

// leaseLog is a log of leases that trackers read and write.
type leaseLog struct {
	t       *testing.T
	reducer *Reducer
	offset  journal.Offset
}

// append folds a record and reports whether it was accepted.
func (w *leaseLog) append(kind journal.Kind, body any) bool {
	w.offset++
	return w.reducer.Reduce(entry(w.t, w.offset, kind, body)) == nil
}

func (w *leaseLog) observe(now time.Time, t *Tracker) {
	t.Observe(now, []Duty{waves}, w.reducer.Holdings())
}

func (w *leaseLog) holds(now time.Time, t *Tracker) bool {
	_, _, ok := t.Holds(waves, now)
	return ok
}

// newLogWithHolder returns a world in which e1 claimed at start and read it back at once.
func newLogWithHolder(t *testing.T) (*leaseLog, *Tracker) {
	w := &leaseLog{t: t, reducer: NewReducer()}
	e1 := NewTracker("e1", start)
	w.observe(start, e1)
	require.True(t, w.append(KindClaim, e1.Claim(waves, start)))
	w.observe(start, e1)
	require.True(t, w.holds(start, e1))
	return w, e1
}

func TestPausedHolderDoesNotWorkBeyondItsLease(t *testing.T) {
	const pause = 20 * time.Second
	tests := []struct {
		name string
		run  func(w *leaseLog, e1 *Tracker) time.Time
	}{
		{"between claim and append", func(w *leaseLog, e1 *Tracker) time.Time {
			c := e1.Claim(waves, start.Add(Term))
			w.append(KindClaim, c)
			w.observe(start.Add(Term+pause), e1)
			return start.Add(Term + pause)
		}},
		{"between append and reading back", func(w *leaseLog, e1 *Tracker) time.Time {
			r, ok := e1.Renewal(start.Add(RenewEvery))
			require.True(t, ok)
			require.True(t, w.append(KindRenew, r))
			w.observe(start.Add(pause), e1)
			return start.Add(pause)
		}},
		{"between reading and acting", func(w *leaseLog, e1 *Tracker) time.Time {
			w.observe(start.Add(RenewEvery), e1)
			return start.Add(pause)
		}},
		{"with a renewal that never arrived", func(_ *leaseLog, e1 *Tracker) time.Time {
			_, ok := e1.Renewal(start.Add(RenewEvery))
			require.True(t, ok)
			return start.Add(Term)
		}},
		{"with a renewal that a claim overtook", func(w *leaseLog, e1 *Tracker) time.Time {
			r, ok := e1.Renewal(start.Add(RenewEvery))
			require.True(t, ok)
			h := w.reducer.Holding(waves)
			require.True(t, w.append(KindClaim, Claim{Duty: waves, Holder: "e2", From: h.Epoch, Seen: h.Renewed}))
			require.False(t, w.append(KindRenew, r))
			w.observe(start.Add(RenewEvery), e1)
			return start.Add(RenewEvery)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w, e1 := newLogWithHolder(t)
			require.False(t, w.holds(test.run(w, e1), e1))
		})
	}
}

func TestLeaseCountsFromTheSendTimeOfTheAppliedRecord(t *testing.T) {
	w, e1 := newLogWithHolder(t)
	first, _ := e1.Renewal(start.Add(RenewEvery))
	_, ok := e1.Renewal(start.Add(2 * RenewEvery))
	require.True(t, ok)
	require.True(t, w.append(KindRenew, first))
	w.observe(start.Add(2*RenewEvery), e1)
	_, until, ok := e1.Holds(waves, start.Add(2*RenewEvery))
	require.True(t, ok)
	require.Equal(t, start.Add(RenewEvery+Term), until, "the second renewal was never folded")
}

func TestPausedClaimantCannotTakeARenewedDuty(t *testing.T) {
	w, e1 := newLogWithHolder(t)
	e2 := NewTracker("e2", start)
	w.observe(start, e2)
	r, _ := e1.Renewal(start.Add(RenewEvery))
	require.True(t, w.append(KindRenew, r))
	late := start.Add(time.Minute)
	require.True(t, e2.MayClaim(waves, []inventory.EntryID{"e2"}, late), "it has not read the renewal")
	require.False(t, w.append(KindClaim, e2.Claim(waves, late)))
	w.observe(late, e2)
	require.False(t, e2.MayClaim(waves, []inventory.EntryID{"e2"}, late), "it waits a term from what it read now")
}

func TestClaimOfAnEarlierIncarnationGivesNoLease(t *testing.T) {
	w, e1 := newLogWithHolder(t)
	restarted := NewTracker("e1", start.Add(time.Second))
	w.observe(start.Add(time.Second), restarted)
	require.True(t, w.holds(start.Add(time.Second), e1))
	require.False(t, w.holds(start.Add(time.Second), restarted))
}

func TestReleasedDutyIsClaimedAtOnceByTheFirstInRank(t *testing.T) {
	w, e1 := newLogWithHolder(t)
	hosts := Rank(waves, []inventory.EntryID{"e2", "e3"})
	first, second := NewTracker(hosts[0], start), NewTracker(hosts[1], start)
	w.observe(start, first)
	w.observe(start, second)
	require.False(t, first.MayClaim(waves, hosts, start.Add(Term)))
	for _, r := range e1.GiveBack(start) {
		require.True(t, w.append(KindRelease, r))
	}
	require.False(t, w.holds(start, e1))
	now := start.Add(time.Second)
	w.observe(now, first)
	w.observe(now, second)
	require.True(t, first.MayClaim(waves, hosts, now))
	require.False(t, second.MayClaim(waves, hosts, now))
	require.True(t, second.MayClaim(waves, hosts, now.Add(GracePeriod)))
}
