package scheduling

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/job"
)

// paused returns the workers that get no tasks at present.
func (h *harness) paused() (ids []WorkerID) {
	for id, w := range h.s.workers.all() {
		if h.now.Before(w.pausedUntil) {
			ids = append(ids, id)
		}
	}
	return ids
}

// A worker on which several always failing jobs fail first is quarantined. It is released
// as soon as the jobs fail on other workers too.
func TestAlwaysFailingJobsQuarantineNoWorker(t *testing.T) {
	h := newHarness(t, 4)
	for range 6 {
		h.job(2, "")
	}
	for i := range 60 {
		for _, st := range h.tick() {
			h.end(st, EndFailed)
		}
		if i > 0 {
			require.Empty(t, h.paused())
		}
	}
	for id := range h.s.jobs {
		require.Equal(t, job.Failed, h.s.jobs[id].state)
	}
}

// A job of many tasks that always fail ends after few runs: once its step has failed on
// two workers, its tasks run one at a time.
func TestAlwaysFailingJobOfManyTasksCostsFewRuns(t *testing.T) {
	h := newHarness(t, 4)
	id := h.job(8, "")
	for i := range 20 {
		more := h.tick()
		if i >= minFailingWorkers {
			require.LessOrEqual(t, len(more), 1)
		}
		for _, st := range more {
			h.end(st, EndFailed)
		}
	}
	require.Equal(t, job.Failed, h.s.jobs[id].state)
	require.LessOrEqual(t, len(h.starts), 8*minFailingWorkers+h.s.attempts(h.s.jobs[id])-minFailingWorkers)
}

// A worker that fails all its runs is quarantined after a few different jobs, and then
// gets a single task on probation.
func TestWorkerThatFailsDifferentJobsIsQuarantined(t *testing.T) {
	h := newHarness(t, 3)
	failing := WorkerID("w1")
	for range 40 {
		h.job(1, "good")
	}
	failed := 0
	for range 40 {
		for _, st := range h.tick() {
			if st.Worker.ID == failing {
				failed++
				h.end(st, EndFailed)
			} else {
				h.end(st, EndDone)
			}
		}
		if failed >= quarantineFailures {
			break
		}
	}
	require.Equal(t, []WorkerID{failing}, h.paused())
	h.now = h.now.Add(unhealthyPause)
	h.job(10, "good")
	onFailing := 0
	for _, st := range h.tick() {
		if st.Worker.ID == failing {
			onFailing++
		}
	}
	require.LessOrEqual(t, onFailing, 1, "a single task on probation")
}

// The failures of an image that fails everywhere are not attributed to workers, whichever
// jobs use it.
func TestFailingImageQuarantinesNoWorker(t *testing.T) {
	h := newHarness(t, 6)
	for range 20 {
		h.job(1, "bad")
	}
	seen := make(map[WorkerID]bool)
	for range 30 {
		for _, st := range h.tick() {
			h.end(st, EndFailed)
			seen[st.Worker.ID] = true
		}
		if len(seen) >= minFailingWorkers {
			require.LessOrEqual(t, len(h.paused()), 1, "one may be quarantined before the image is known to fail")
		}
	}
	require.GreaterOrEqual(t, len(seen), minFailingWorkers)
}

// A successful run of an image on any worker clears its failures.
func TestSuccessClearsImageFailures(t *testing.T) {
	h := newHarness(t, 4)
	for i := range 3 {
		st := Start{Worker: Incarnation{ID: WorkerID(fmt.Sprintf("w%d", i+1)), StartedAt: 1}}
		h.job(1, "mixed")
		w := h.s.workers.get(st.Worker.ID)
		h.s.failingImages["mixed"] = newFailureSet()
		h.s.failingImages["mixed"].add(w.ID)
	}
	h.tick()
	h.end(h.starts[0], EndDone)
	require.Nil(t, h.s.failingImages["mixed"])
}

// failingTask returns a task of a new job of one step, to which tests attribute failures.
func (h *harness) failingTask(count int, image string) *task {
	id := h.job(count, image)
	return h.s.jobs[id].occurrences[0].steps[0].tasks[0]
}

// Once an image has failed on several workers, failures of other jobs with the image are
// not attributed to a worker on which each of them failed once.
func TestFailingImageIsNotAttributedToWorkers(t *testing.T) {
	for name, tt := range map[string]struct {
		image       string
		quarantined bool
	}{"of a failing image": {"bad", false}, "of images that fail nowhere else": {"", true}} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 3)
			for _, id := range []WorkerID{"w1", "w2"} {
				h.s.attributeFailure(h.now, h.s.workers.get(id), h.failingTask(1, "bad"))
			}
			for range quarantineFailures {
				h.s.attributeFailure(h.now, h.s.workers.get("w3"), h.failingTask(1, tt.image))
			}
			require.Equal(t, tt.quarantined, len(h.paused()) == 1)
		})
	}
}

// A success in between resets the count of a step's failures.
func TestSuccessClearsStepFailures(t *testing.T) {
	h := newHarness(t, 2)
	tk := h.failingTask(2, "")
	w1, w2 := h.s.workers.get("w1"), h.s.workers.get("w2")
	h.s.attributeFailure(h.now, w1, tk)
	h.s.recordSuccess(w1, tk)
	h.s.attributeFailure(h.now, w2, tk)
	require.True(t, w2.failedJobs[tk.job().ID], "the failure is still attributed to the worker")
	require.False(t, tk.step.isSuspected())
}

// A step with a task that is done isn't suspected, whichever other tasks fail.
func TestIsSuspected(t *testing.T) {
	h := newHarness(t, 2)
	tk := h.failingTask(4, "")
	for _, id := range []WorkerID{"w1", "w2"} {
		h.s.attributeFailure(h.now, h.s.workers.get(id), tk)
	}
	require.True(t, tk.step.isSuspected())
	tk.step.doneTasks = 1
	require.False(t, tk.step.isSuspected())
}

// Of a suspected step, the task with the fewest attempts left starts first, and only that
// one counts as demand.
func TestOneTaskOfSuspectedStepGoesFirst(t *testing.T) {
	h := newHarness(t, 2)
	tk := h.failingTask(4, "")
	for _, id := range []WorkerID{"w1", "w2"} {
		h.s.attributeFailure(h.now, h.s.workers.get(id), tk)
	}
	tk.step.tasks[1].failed = []int64{1}
	tk.step.tasks[2].failed = []int64{1, 2}
	require.Equal(t, 1, h.s.demands(h.now)["p"].tasks)
	started := h.tick()
	require.Len(t, started, 1)
	require.Equal(t, 2, started[0].Task.Index)
}

// A worker on probation gets one task at a time.
func TestWorkerOnProbationGetsOneTask(t *testing.T) {
	h := newHarness(t, 1)
	w := h.s.workers.get("w1")
	w.onProbation = true
	h.job(3, "")
	require.Len(t, h.tick(), 1)
	require.Empty(t, h.tick(), "while that one runs")
	h.end(h.starts[0], EndDone)
	require.Len(t, h.tick(), 2, "the probation ends with a success")
}
