package scheduling

import (
	"testing"

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
