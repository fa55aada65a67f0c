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

// leaseLog is a log of lease records that trackers read and write.
type leaseLog struct {
	t       *testing.T
	reducer *Reducer
	offset  journal.Offset
}

// append applies a record and reports whether it was accepted.
func (l *leaseLog) append(kind journal.Kind, body any) bool {
	l.offset++
	return l.reducer.Reduce(entry(l.t, l.offset, kind, body)) == nil
}

func (l *leaseLog) observe(now time.Time, t *Tracker) {
	t.Observe(now, []Duty{waves}, l.reducer.Holdings())
}

func (l *leaseLog) holds(now time.Time, t *Tracker) bool {
	_, _, ok := t.Holds(waves, now)
	return ok
}

// newLogWithHolder returns a leaseLog in which e1 claimed the duty at start and read the
// claim back at once.
func newLogWithHolder(t *testing.T) (*leaseLog, *Tracker) {
	l := &leaseLog{t: t, reducer: NewReducer()}
	e1 := NewTracker("e1", start)
	l.observe(start, e1)
	require.True(t, l.append(KindClaim, e1.Claim(waves, start)))
	l.observe(start, e1)
	require.True(t, l.holds(start, e1))
	return l, e1
}

func TestPausedHolderDoesNotWorkBeyondItsLease(t *testing.T) {
	const pause = 20 * time.Second
	tests := []struct {
		name string
		run  func(l *leaseLog, e1 *Tracker) time.Time
	}{
		{"between claim and append", func(l *leaseLog, e1 *Tracker) time.Time {
			c := e1.Claim(waves, start.Add(Duration))
			l.append(KindClaim, c)
			l.observe(start.Add(Duration+pause), e1)
			return start.Add(Duration + pause)
		}},
		{"between append and reading back", func(l *leaseLog, e1 *Tracker) time.Time {
			r, ok := e1.Renewal(start.Add(RenewInterval))
			require.True(t, ok)
			require.True(t, l.append(KindRenew, r))
			l.observe(start.Add(pause), e1)
			return start.Add(pause)
		}},
		{"between reading and acting", func(l *leaseLog, e1 *Tracker) time.Time {
			l.observe(start.Add(RenewInterval), e1)
			return start.Add(pause)
		}},
		{"with a renewal that was lost", func(_ *leaseLog, e1 *Tracker) time.Time {
			_, ok := e1.Renewal(start.Add(RenewInterval))
			require.True(t, ok)
			return start.Add(Duration)
		}},
		{"with a claim of another host ahead of the renewal", func(l *leaseLog, e1 *Tracker) time.Time {
			r, ok := e1.Renewal(start.Add(RenewInterval))
			require.True(t, ok)
			h := l.reducer.Holding(waves)
			require.True(t, l.append(KindClaim, Claim{Duty: waves, Holder: "e2", From: h.Epoch, Seen: h.Renewed}))
			require.False(t, l.append(KindRenew, r))
			l.observe(start.Add(RenewInterval), e1)
			return start.Add(RenewInterval)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, e1 := newLogWithHolder(t)
			require.False(t, l.holds(test.run(l, e1), e1))
		})
	}
}

func TestLeaseCountsFromTheSendTimeOfTheAppliedRecord(t *testing.T) {
	l, e1 := newLogWithHolder(t)
	first, _ := e1.Renewal(start.Add(RenewInterval))
	_, ok := e1.Renewal(start.Add(2 * RenewInterval))
	require.True(t, ok)
	require.True(t, l.append(KindRenew, first))
	l.observe(start.Add(2*RenewInterval), e1)
	_, until, ok := e1.Holds(waves, start.Add(2*RenewInterval))
	require.True(t, ok)
	require.Equal(t, start.Add(RenewInterval+Duration), until, "the second renewal was never applied")
}

func TestPausedClaimantCannotTakeARenewedDuty(t *testing.T) {
	l, e1 := newLogWithHolder(t)
	e2 := NewTracker("e2", start)
	l.observe(start, e2)
	r, _ := e1.Renewal(start.Add(RenewInterval))
	require.True(t, l.append(KindRenew, r))
	late := start.Add(time.Minute)
	require.True(t, e2.MayClaim(waves, []inventory.EntryID{"e2"}, late), "it has not read the renewal")
	require.False(t, l.append(KindClaim, e2.Claim(waves, late)))
	l.observe(late, e2)
	require.False(t, e2.MayClaim(waves, []inventory.EntryID{"e2"}, late), "it waits for a whole lease from the renewal that it has just read")
}

func TestClaimOfAnEarlierIncarnationGivesNoLease(t *testing.T) {
	l, e1 := newLogWithHolder(t)
	restarted := NewTracker("e1", start.Add(time.Second))
	l.observe(start.Add(time.Second), restarted)
	require.True(t, l.holds(start.Add(time.Second), e1))
	require.False(t, l.holds(start.Add(time.Second), restarted))
}

func TestReleasedDutyIsClaimedAtOnceByTheFirstInRank(t *testing.T) {
	l, e1 := newLogWithHolder(t)
	hosts := Rank(waves, []inventory.EntryID{"e2", "e3"})
	first, second := NewTracker(hosts[0], start), NewTracker(hosts[1], start)
	l.observe(start, first)
	l.observe(start, second)
	require.False(t, first.MayClaim(waves, hosts, start.Add(Duration)))
	for _, r := range e1.ReleaseAll(start) {
		require.True(t, l.append(KindRelease, r))
	}
	require.False(t, l.holds(start, e1))
	now := start.Add(time.Second)
	l.observe(now, first)
	l.observe(now, second)
	require.True(t, first.MayClaim(waves, hosts, now))
	require.False(t, second.MayClaim(waves, hosts, now))
	require.True(t, second.MayClaim(waves, hosts, now.Add(GracePeriod)))
}
