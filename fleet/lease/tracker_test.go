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

// world is a log of leases that trackers read and write.
type world struct {
	t    *testing.T
	r    *Reducer
	next journal.Offset
}

// append folds a record and reports whether it was accepted.
func (w *world) append(kind journal.Kind, body any) bool {
	w.next++
	return w.r.Reduce(entry(w.t, w.next, kind, body)) == nil
}

func (w *world) read(now time.Time, t *Tracker) {
	t.Observe(now, []Duty{waves}, w.r.Holdings())
}

func (w *world) holds(now time.Time, t *Tracker) bool {
	_, _, ok := t.Holds(waves, now)
	return ok
}

// held returns a world in which e1 claimed at start and read it back at once.
func held(t *testing.T) (*world, *Tracker) {
	w := &world{t: t, r: NewReducer()}
	e1 := NewTracker("e1", start)
	w.read(start, e1)
	require.True(t, w.append(KindClaim, e1.Claim(waves, start)))
	w.read(start, e1)
	require.True(t, w.holds(start, e1))
	return w, e1
}

func TestAHolderPausedAtEachStepDoesNotWorkBeyondItsTerm(t *testing.T) {
	const pause = 20 * time.Second
	tests := []struct {
		name string
		run  func(w *world, e1 *Tracker) time.Time
	}{
		{"between claim and append", func(w *world, e1 *Tracker) time.Time {
			c := e1.Claim(waves, start.Add(Term))
			w.append(KindClaim, c)
			w.read(start.Add(Term+pause), e1)
			return start.Add(Term + pause)
		}},
		{"between append and reading back", func(w *world, e1 *Tracker) time.Time {
			r, ok := e1.Renewal(start.Add(RenewEvery))
			require.True(t, ok)
			require.True(t, w.append(KindRenew, r))
			w.read(start.Add(pause), e1)
			return start.Add(pause)
		}},
		{"between reading and acting", func(w *world, e1 *Tracker) time.Time {
			w.read(start.Add(RenewEvery), e1)
			return start.Add(pause)
		}},
		{"with a renewal that never arrived", func(_ *world, e1 *Tracker) time.Time {
			_, ok := e1.Renewal(start.Add(RenewEvery))
			require.True(t, ok)
			return start.Add(Term)
		}},
		{"with a renewal that a claim overtook", func(w *world, e1 *Tracker) time.Time {
			r, ok := e1.Renewal(start.Add(RenewEvery))
			require.True(t, ok)
			h := w.r.Holding(waves)
			require.True(t, w.append(KindClaim, Claim{Duty: waves, Holder: "e2", From: h.Epoch, Seen: h.Renewed}))
			require.False(t, w.append(KindRenew, r))
			w.read(start.Add(RenewEvery), e1)
			return start.Add(RenewEvery)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w, e1 := held(t)
			require.False(t, w.holds(test.run(w, e1), e1))
		})
	}
}

func TestTermsCountFromBeforeTheAppendThatWasReadBack(t *testing.T) {
	w, e1 := held(t)
	first, _ := e1.Renewal(start.Add(RenewEvery))
	_, ok := e1.Renewal(start.Add(2 * RenewEvery))
	require.True(t, ok)
	require.True(t, w.append(KindRenew, first))
	w.read(start.Add(2*RenewEvery), e1)
	_, until, ok := e1.Holds(waves, start.Add(2*RenewEvery))
	require.True(t, ok)
	require.Equal(t, start.Add(RenewEvery+Term), until, "the second renewal was never folded")
}

func TestAClaimantThatWasPausedTakesNothingFromAHolderThatIsThere(t *testing.T) {
	w, e1 := held(t)
	e2 := NewTracker("e2", start)
	w.read(start, e2)
	r, _ := e1.Renewal(start.Add(RenewEvery))
	require.True(t, w.append(KindRenew, r))
	late := start.Add(time.Minute)
	require.True(t, e2.MayClaim(waves, []inventory.EntryID{"e2"}, late), "it has not read the renewal")
	require.False(t, w.append(KindClaim, e2.Claim(waves, late)))
	w.read(late, e2)
	require.False(t, e2.MayClaim(waves, []inventory.EntryID{"e2"}, late), "it waits a term from what it read now")
}

func TestAClaimOfAnEarlierStartGivesNoTerm(t *testing.T) {
	w, e1 := held(t)
	again := NewTracker("e1", start.Add(time.Second))
	w.read(start.Add(time.Second), again)
	require.True(t, w.holds(start.Add(time.Second), e1))
	require.False(t, w.holds(start.Add(time.Second), again))
}

func TestAReleasedDutyIsClaimedAtOnceByTheFirstInRank(t *testing.T) {
	w, e1 := held(t)
	hosts := Rank(waves, []inventory.EntryID{"e2", "e3"})
	first, second := NewTracker(hosts[0], start), NewTracker(hosts[1], start)
	w.read(start, first)
	w.read(start, second)
	require.False(t, first.MayClaim(waves, hosts, start.Add(Term)))
	for _, r := range e1.GiveBack(start) {
		require.True(t, w.append(KindRelease, r))
	}
	require.False(t, w.holds(start, e1))
	now := start.Add(time.Second)
	w.read(now, first)
	w.read(now, second)
	require.True(t, first.MayClaim(waves, hosts, now))
	require.False(t, second.MayClaim(waves, hosts, now))
	require.True(t, second.MayClaim(waves, hosts, now.Add(GracePeriod)))
}
