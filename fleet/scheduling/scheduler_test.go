package scheduling

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/job"
)

// A cancellation that arrives before its job, and once more after it, must not be taken off
// the number of other jobs that wait.
func TestQueuedJobsAfterRepeatedCancellation(t *testing.T) {
	s, now := readyScheduler(t)
	other := testJob(1)
	other.ID = "00000000000000b7"
	s.Accept(now, 0, other)
	require.Equal(t, 1, s.QueuedJobs("q"))
	s.Cancel(now, 0, testID)
	s.Accept(now, 0, testJob(1))
	s.Cancel(now, 0, testID)
	s.Cancel(now, 0, testID)
	require.Equal(t, 1, s.QueuedJobs("q"))
}

// A job that ends without a start doesn't wait any more.
func TestQueuedJobsAfterAnEndWithoutStart(t *testing.T) {
	s, now := readyScheduler(t)
	s.Accept(now, 0, testJob(1))
	s.finish(now, 0, s.jobs[testID], job.Failed, "test")
	require.Zero(t, s.QueuedJobs("q"))
}

// Placement must not take the whole processor of a leader with many waiting tasks: its reads
// of the streams and the reports of workers came seconds late.
func TestPlacementRestsInProportion(t *testing.T) {
	s, now := readyScheduler(t)
	// round ticks and ends the tick after the given time. It reports whether tasks were placed.
	round := func(took time.Duration) bool {
		began := now
		s.dirty = true
		s.Tick(now, 0)
		now = now.Add(took)
		s.EndTick(now)
		return s.placedAt.Equal(began)
	}
	now = now.Add(placementInterval)
	require.True(t, round(50*time.Millisecond))
	now = now.Add(90 * time.Millisecond)
	require.False(t, round(0), "the rest is twice the round")
	now = now.Add(20 * time.Millisecond)
	require.True(t, round(2*time.Second))
	now = now.Add(maxPlacementRest)
	require.True(t, round(0), "the rest is bounded")
	now = now.Add(maxPlacementGap)
	require.True(t, round(0), "a round that takes no time needs no rest")
}

// With an old view nothing is ordered that an unread cancellation, draining or job may forbid:
// no start, no repeated start that had no answer, and no move of a host to another pool.
func TestNoOrdersFromAnOldView(t *testing.T) {
	const oldView, currentView = maxViewLag + time.Millisecond, maxViewLag
	t.Run("start", func(t *testing.T) {
		h := newHarness(t, 1)
		h.s.SetViewLag(oldView)
		h.job(1, "")
		require.Empty(t, h.tick())
		h.s.SetViewLag(currentView)
		require.Len(t, h.tick(), 1)
	})
	t.Run("repeated start", func(t *testing.T) {
		s, now := readyScheduler(t)
		s.Accept(now, 0, testJob(1))
		now = now.Add(placementInterval)
		s.Tick(now, 0)
		ordered := starts(s.TakeActions())
		require.Len(t, ordered, 1)
		st := ordered[0]
		s.Started(now, st.Worker, st.Task, st.Run, Answer{Outcome: Unknown})
		s.SetViewLag(oldView)
		now = now.Add(retryGap)
		s.Tick(now, 0)
		require.Empty(t, starts(s.TakeActions()))
		s.SetViewLag(currentView)
		now = now.Add(retryGap)
		s.Tick(now, 0)
		require.Len(t, starts(s.TakeActions()), 1)
	})
	t.Run("move", func(t *testing.T) {
		s, now := newLeader(t, "")
		s.SetViewLag(oldView)
		require.Empty(t, firstMoves(s, now, 4*time.Second))
		s.SetViewLag(currentView)
		require.NotEmpty(t, firstMoves(s, now.Add(4*time.Second), 4*time.Second))
	})
}
