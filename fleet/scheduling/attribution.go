package scheduling

import (
	"time"

	"github.com/godwitcross/godwitcross/fleet/job"
)

// A failed run is the fault of its worker, of its image, or of its job. What one of
// them has in common with failures elsewhere tells them apart: a worker at fault fails
// different jobs that succeed elsewhere, a job or an image at fault fails on different
// workers.
const (
	// minFailingWorkers is on how many workers a step or an image fails, without a success, before
	// it is at fault: two sick workers in a row are rarer than something hopeless.
	minFailingWorkers = 2
	// quarantineFailures is how many jobs have to fail on a worker, without a success between
	// and without another cause, before it rests.
	quarantineFailures = 3
)

// failureSet collects where something has failed since its last success.
type failureSet struct {
	workers map[WorkerID]bool
}

func newFailureSet() *failureSet {
	return &failureSet{workers: make(map[WorkerID]bool)}
}

// add notes a failure and returns on how many workers there were any.
func (f *failureSet) add(w WorkerID) int {
	f.workers[w] = true
	return len(f.workers)
}

// attributeFailure decides whose fault a failed run is, and has a worker at fault rest.
func (s *Scheduler) attributeFailure(now time.Time, w *worker, t *task) {
	st, js := t.step, t.owner()
	if st.failures == nil {
		st.failures = newFailureSet()
	}
	elsewhere := st.failures.add(w.ID) >= minFailingWorkers
	if st.Image != "" {
		x := s.failingImages[st.Image]
		if x == nil {
			x = newFailureSet()
			s.failingImages[st.Image] = x
		}
		known := len(x.workers) >= minFailingWorkers
		if x.add(w.ID) >= minFailingWorkers {
			elsewhere = true
			if !known {
				s.note("image fails", js.ID, "Image", st.Image, "Workers", len(x.workers))
			}
		}
	}
	if elsewhere {
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
	s.note("worker rests", js.ID, "Worker", string(w.ID), "Reason", "fails different jobs", "Jobs", quarantineFailures)
}

// clearFailures takes a job's failures off the workers that were blamed for them, and ends the
// rest of those that are left with too few.
func (s *Scheduler) clearFailures(now time.Time, id job.ID) {
	for _, w := range s.workers.all() {
		if !w.failedJobs[id] {
			continue
		}
		delete(w.failedJobs, id)
		if w.onProbation && len(w.failedJobs) < quarantineFailures {
			w.onProbation, w.pausedUntil = false, now
			s.dirty = true
			s.note("worker cleared", id, "Worker", string(w.ID), "Reason", "the job fails elsewhere too")
		}
	}
}

// succeeded ends all suspicions against a worker, a step and its image.
func (s *Scheduler) succeeded(w *worker, t *task) {
	w.failedJobs, w.onProbation = nil, false
	t.step.failures = nil
	delete(s.failingImages, t.step.Image)
}

// isSuspected reports whether a step failed on several workers with no task done. One
// task at a time then shows whether it is hopeless, at the least cost.
func (st *step) isSuspected() bool {
	return !st.Gang && !st.LongRunning && st.done == 0 && st.failures != nil && len(st.failures.workers) >= minFailingWorkers
}

// mostFailed returns the waiting task that is closest to the end of its attempts, and
// false while a task of the step runs.
func (st *step) mostFailed() (*task, bool) {
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
