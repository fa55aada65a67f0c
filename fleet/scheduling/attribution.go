package scheduling

import (
	"time"

	"github.com/godwitcross/godwitcross/fleet/job"
)

// The failure of a run is attributed to its worker, its image or its job, by comparing it
// with other failures: a faulty worker fails different jobs that succeed elsewhere, a
// faulty job or image fails on different workers.
const (
	// minFailingWorkers is the number of workers on which a step or an image has to fail,
	// with no success, before the failures are attributed to it: two faulty workers in a row
	// are rarer than a job that always fails.
	minFailingWorkers = 2
	// quarantineFailures is the number of jobs that have to fail on a worker, with no
	// success in between and no other cause, before the worker is quarantined.
	quarantineFailures = 3
)

// failureSet holds the workers on which a step or an image has failed since its last
// success.
type failureSet struct {
	workers map[WorkerID]bool
}

func newFailureSet() *failureSet {
	return &failureSet{workers: make(map[WorkerID]bool)}
}

// add records a failure and returns the number of workers with failures.
func (f *failureSet) add(w WorkerID) int {
	f.workers[w] = true
	return len(f.workers)
}

// attributeFailure attributes a failed run to its worker, its image or its job, and
// quarantines a worker with too many failures.
func (s *Scheduler) attributeFailure(now time.Time, w *worker, t *task) {
	st, js := t.step, t.job()
	if st.failures == nil {
		st.failures = newFailureSet()
	}
	failsElsewhere := st.failures.add(w.ID) >= minFailingWorkers
	if st.Image != "" {
		imageFailures := s.failingImages[st.Image]
		if imageFailures == nil {
			imageFailures = newFailureSet()
			s.failingImages[st.Image] = imageFailures
		}
		wasKnown := len(imageFailures.workers) >= minFailingWorkers
		if imageFailures.add(w.ID) >= minFailingWorkers {
			failsElsewhere = true
			if !wasKnown {
				s.logDecision("image fails", js.ID, "Image", st.Image, "Workers", len(imageFailures.workers))
			}
		}
	}
	if failsElsewhere {
		s.clearFailures(now, js.ID)
		return
	}
	if w.failedJobs == nil {
		w.failedJobs = make(map[job.ID]bool)
	}
	w.failedJobs[js.ID] = true
	if len(w.failedJobs) < quarantineFailures || w.onProbation && now.Before(w.pausedUntil) {
		return
	}
	w.onProbation = true
	w.pausedUntil = now.Add(unhealthyPause)
	s.logDecision("worker quarantined", js.ID, "Worker", string(w.ID), "Reason", "fails different jobs", "Jobs", quarantineFailures)
}

// clearFailures removes a job's failures from the workers that they were attributed to,
// and releases workers from quarantine that are left with too few.
func (s *Scheduler) clearFailures(now time.Time, id job.ID) {
	for _, w := range s.workers.all() {
		if !w.failedJobs[id] {
			continue
		}
		delete(w.failedJobs, id)
		if w.onProbation && len(w.failedJobs) < quarantineFailures {
			w.onProbation, w.pausedUntil = false, now
			s.dirty = true
			s.logDecision("worker released from quarantine", id, "Worker", string(w.ID), "Reason", "the job fails elsewhere too")
		}
	}
}

// recordSuccess clears the failures of a worker, a step and its image after a successful
// run.
func (s *Scheduler) recordSuccess(w *worker, t *task) {
	w.failedJobs, w.onProbation = nil, false
	t.step.failures = nil
	delete(s.failingImages, t.step.Image)
}

// isSuspected reports whether a step has failed on several workers with no task done. Its
// tasks then run one at a time, so that a step that always fails costs few runs.
func (st *step) isSuspected() bool {
	return !st.Gang && !st.LongRunning && st.doneTasks == 0 && st.failures != nil && len(st.failures.workers) >= minFailingWorkers
}

// mostFailedTask returns the waiting task with the fewest attempts left, and false if
// there is none or a task of the step runs.
func (st *step) mostFailedTask() (*task, bool) {
	var most *task
	for _, t := range st.tasks {
		if t.run != nil {
			return nil, false
		}
		if t.queued && (most == nil || len(t.failed) > len(most.failed)) {
			most = t
		}
	}
	return most, most != nil
}
