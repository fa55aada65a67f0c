package scheduling

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/godwitcross/godwitcross/fleet/job"
)

// maxRecordBytes is the store's limit of a record, RecordBytes in the users' settings.
const maxRecordBytes = 256 << 10

// longSchedule returns a job of many occurrences that are due one second after the other.
func longSchedule(occurrences int) job.Job {
	j := testJob(16)
	j.Steps = append(j.Steps, job.Step{Count: 8, Resources: job.Resources{CPU: 1000}, After: []int{0}})
	j.Times, j.StartAt, j.Interval = occurrences, 1, time.Second
	return j
}

// The progress of one long schedule grew by a row for each done task until the store refused it, and with it
// the progress of all jobs: one leader ended after the other (LOST).
func TestProgressOfLongScheduleFitsARecord(t *testing.T) {
	const occurrences = 2000
	s, now := successor(Restored{})
	s.Accept(now, occurrences*1000, longSchedule(occurrences))
	js := s.jobs[testID]
	require.Len(t, js.occurrences, occurrences)
	for i, o := range js.occurrences[:occurrences-1] {
		for _, st := range o.steps {
			for k, task := range st.tasks {
				// Every third occurrence lacks some tasks yet.
				if i%3 > 0 || k%2 == 0 && st.number == 0 {
					s.markDone(now, 0, task)
				}
			}
		}
	}
	b, err := js.progress().Encode()
	require.NoError(t, err)
	require.Less(t, len(b), maxRecordBytes)
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

// A new leader restores from the record the tasks that are done, as many as there are.
func TestRestoresDoneTasksOfSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		occurrences := rapid.IntRange(1, 120).Draw(rt, "occurrences")
		share := rapid.IntRange(1, 10).Draw(rt, "share")
		j := longSchedule(occurrences)
		s, now := successor(Restored{})
		s.Accept(now, int64(occurrences)*1000, j)
		done := make(map[job.Task]bool)
		for _, o := range s.jobs[testID].occurrences {
			for _, st := range o.steps {
				for _, task := range st.tasks {
					if len(done) < 24*occurrences-1 && rapid.IntRange(0, 9).Draw(rt, "done") < share {
						s.markDone(now, 0, task)
						done[task.id()] = true
					}
				}
			}
		}
		b, err := s.jobs[testID].progress().Encode()
		require.NoError(rt, err)
		p, err := job.DecodeProgress(b)
		require.NoError(rt, err)
		next := New(now, testConfig())
		// The clock of the next leader is behind.
		next.Restore(now, 1, Restored{Jobs: []job.Job{j}, Progress: map[job.ID]job.Progress{testID: p}})
		restored := make(map[job.Task]bool)
		for _, o := range next.jobs[testID].occurrences {
			for _, st := range o.steps {
				for _, task := range st.tasks {
					if task.done {
						restored[task.id()] = true
					}
				}
			}
		}
		require.Equal(rt, done, restored)
	})
}
