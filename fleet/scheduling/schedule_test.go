package scheduling

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/job"
)

// longSchedule returns a job of many occurrences that are due one second after the other.
func longSchedule(occurrences int) job.Job {
	j := testJob(16)
	j.Steps = append(j.Steps, job.Step{Count: 8, Resources: job.Resources{CPU: 1000}, After: []int{0}})
	j.Times, j.StartAt, j.Interval = occurrences, 1, time.Second
	return j
}

// A new leader whose clock is behind dropped the progress of all occurrences after the first one that had
// begun without a task done, and ran their tasks again once they were due (TWICE).
func TestClockBehindKeepsProgressOfLaterOccurrences(t *testing.T) {
	j := longSchedule(3)
	done := []job.TaskProgress{{Occurrence: 0, Done: true}, {Occurrence: 2, Index: 1, Done: true}}
	s := New(testStart, testConfig())
	s.Restore(testStart, 1, Restored{Jobs: []job.Job{j}, Progress: map[job.ID]job.Progress{testID: {State: job.Running, Tasks: done}}})
	for _, p := range done {
		task := s.findTask(job.Task{Job: testID, Occurrence: p.Occurrence, Index: p.Index})
		require.NotNil(t, task)
		require.True(t, task.done)
	}
}
