package scheduling

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/job"
)

// paused returns the workers that get no tasks at present.
func (b *harness) paused() (ids []WorkerID) {
	for id, w := range b.s.workers.all() {
		if b.now.Before(w.pausedUntil) {
			ids = append(ids, id)
		}
	}
	return ids
}

// A worker on which several always failing jobs fail first is quarantined. It is released as
// soon as the jobs fail on other workers too.
func TestAlwaysFailingJobsQuarantineNoWorker(t *testing.T) {
	b := newHarness(t, 4)
	for range 6 {
		b.job(2, "")
	}
	for i := range 60 {
		for _, st := range b.tick() {
			b.end(st, EndFailed)
		}
		if i > 0 {
			require.Empty(t, b.paused())
		}
	}
	for id := range b.s.jobs {
		require.Equal(t, job.Failed, b.s.jobs[id].state)
	}
}

// A job of many tasks that always fail ends after few runs: once its step has failed on two
// workers, its tasks run one at a time.
func TestAlwaysFailingJobOfManyTasksCostsFewRuns(t *testing.T) {
	b := newHarness(t, 4)
	id := b.job(8, "")
	for i := range 20 {
		more := b.tick()
		if i >= minFailingWorkers {
			require.LessOrEqual(t, len(more), 1)
		}
		for _, st := range more {
			b.end(st, EndFailed)
		}
	}
	require.Equal(t, job.Failed, b.s.jobs[id].state)
	require.LessOrEqual(t, len(b.starts), 8*minFailingWorkers+b.s.attempts(b.s.jobs[id])-minFailingWorkers)
}

// A worker that fails all its runs is quarantined after a few different jobs, and then gets a
// single task on probation.
func TestWorkerThatFailsDifferentJobsIsQuarantined(t *testing.T) {
	b := newHarness(t, 3)
	failing := WorkerID("w1")
	for range 40 {
		b.job(1, "good")
	}
	failed := 0
	for range 40 {
		for _, st := range b.tick() {
			if st.Worker.ID == failing {
				failed++
				b.end(st, EndFailed)
			} else {
				b.end(st, EndDone)
			}
		}
		if failed >= quarantineFailures {
			break
		}
	}
	require.Equal(t, []WorkerID{failing}, b.paused())
	b.now = b.now.Add(unhealthyPause)
	b.job(10, "good")
	onFailing := 0
	for _, st := range b.tick() {
		if st.Worker.ID == failing {
			onFailing++
		}
	}
	require.LessOrEqual(t, onFailing, 1, "a single task on probation")
}

// The failures of an image that fails everywhere are not attributed to workers, whichever
// jobs use it.
func TestFailingImageQuarantinesNoWorker(t *testing.T) {
	b := newHarness(t, 6)
	for range 20 {
		b.job(1, "bad")
	}
	seen := make(map[WorkerID]bool)
	for range 30 {
		for _, st := range b.tick() {
			b.end(st, EndFailed)
			seen[st.Worker.ID] = true
		}
		if len(seen) >= minFailingWorkers {
			require.LessOrEqual(t, len(b.paused()), 1, "one may be quarantined before the image is known to fail")
		}
	}
	require.GreaterOrEqual(t, len(seen), minFailingWorkers)
}

// A successful run of an image on any worker clears its failures.
func TestSuccessClearsImageFailures(t *testing.T) {
	b := newHarness(t, 4)
	for i := range 3 {
		st := Start{Worker: Incarnation{ID: WorkerID(fmt.Sprintf("w%d", i+1)), StartedAt: 1}}
		b.job(1, "mixed")
		w := b.s.workers.get(st.Worker.ID)
		b.s.failingImages["mixed"] = newFailureSet()
		b.s.failingImages["mixed"].add(w.ID)
	}
	b.tick()
	b.end(b.starts[0], EndDone)
	require.Nil(t, b.s.failingImages["mixed"])
}

// failingTask returns a task of a new job of one step, to which tests attribute failures.
func (b *harness) failingTask(count int, image string) *task {
	id := b.job(count, image)
	return b.s.jobs[id].occurrences[0].steps[0].tasks[0]
}

// Once an image has failed on several workers, failures of other jobs with the image are not
// attributed to a worker on which each of them failed once.
func TestFailingImageIsNotAttributedToWorkers(t *testing.T) {
	for name, tt := range map[string]struct {
		image       string
		quarantined bool
	}{"of a failing image": {"bad", false}, "of images that fail nowhere else": {"", true}} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, 3)
			for _, id := range []WorkerID{"w1", "w2"} {
				b.s.attributeFailure(b.now, b.s.workers.get(id), b.failingTask(1, "bad"))
			}
			for range quarantineFailures {
				b.s.attributeFailure(b.now, b.s.workers.get("w3"), b.failingTask(1, tt.image))
			}
			require.Equal(t, tt.quarantined, len(b.paused()) == 1)
		})
	}
}

// A success in between resets the count of a step's failures.
func TestSuccessClearsStepFailures(t *testing.T) {
	b := newHarness(t, 2)
	tk := b.failingTask(2, "")
	w1, w2 := b.s.workers.get("w1"), b.s.workers.get("w2")
	b.s.attributeFailure(b.now, w1, tk)
	b.s.recordSuccess(w1, tk)
	b.s.attributeFailure(b.now, w2, tk)
	require.True(t, w2.failedJobs[tk.job().ID], "the failure is still attributed to the worker")
	require.False(t, tk.step.isSuspected())
}

// A step with a task that is done isn't suspected, whichever other tasks fail.
func TestIsSuspected(t *testing.T) {
	b := newHarness(t, 2)
	tk := b.failingTask(4, "")
	for _, id := range []WorkerID{"w1", "w2"} {
		b.s.attributeFailure(b.now, b.s.workers.get(id), tk)
	}
	require.True(t, tk.step.isSuspected())
	tk.step.done = 1
	require.False(t, tk.step.isSuspected())
}

// Of a suspected step, the task with the fewest attempts left starts first, and only that
// one counts as demand.
func TestOneTaskOfSuspectedStepGoesFirst(t *testing.T) {
	b := newHarness(t, 2)
	tk := b.failingTask(4, "")
	for _, id := range []WorkerID{"w1", "w2"} {
		b.s.attributeFailure(b.now, b.s.workers.get(id), tk)
	}
	tk.step.tasks[1].failed = []int64{1}
	tk.step.tasks[2].failed = []int64{1, 2}
	require.Equal(t, 1, b.s.demands(b.now)["p"].tasks)
	started := b.tick()
	require.Len(t, started, 1)
	require.Equal(t, 2, started[0].Task.Index)
}

// A worker on probation gets one task at a time.
func TestWorkerOnProbationGetsOneTask(t *testing.T) {
	b := newHarness(t, 1)
	w := b.s.workers.get("w1")
	w.onProbation = true
	b.job(3, "")
	require.Len(t, b.tick(), 1)
	require.Empty(t, b.tick(), "while that one runs")
	b.end(b.starts[0], EndDone)
	require.Len(t, b.tick(), 2, "the probation ends with a success")
}
