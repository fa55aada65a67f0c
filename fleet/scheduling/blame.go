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
	// failsOn is on how many workers a step or an image fails, without a success, before
	// it is at fault: two sick workers in a row are rarer than something hopeless.
	failsOn = 2
	// failuresToRest is how many jobs have to fail on a worker, without a success between
	// and without another cause, before it rests.
	failuresToRest = 3
)

// suspect collects where something has failed since its last success.
type suspect struct {
	workers map[WorkerID]bool
}

func newSuspect() *suspect {
	return &suspect{workers: make(map[WorkerID]bool)}
}

// fails notes a failure and returns on how many workers there were any.
func (x *suspect) fails(w WorkerID) int {
	x.workers[w] = true
	return len(x.workers)
}

// blame decides whose fault a failed run is, and has a worker at fault rest.
func (s *Scheduler) blame(now time.Time, w *worker, t *task) {
	st, js := t.step, t.owner()
	if st.failing == nil {
		st.failing = newSuspect()
	}
	elsewhere := st.failing.fails(w.ID) >= failsOn
	if st.Image != "" {
		x := s.images[st.Image]
		if x == nil {
			x = newSuspect()
			s.images[st.Image] = x
		}
		known := len(x.workers) >= failsOn
		if x.fails(w.ID) >= failsOn {
			elsewhere = true
			if !known {
				s.note("image fails", js.ID, "Image", st.Image, "Workers", len(x.workers))
			}
		}
	}
	if elsewhere {
		s.clear(now, js.ID)
		return
	}
	if w.blamed == nil {
		w.blamed = make(map[job.ID]bool)
	}
	w.blamed[js.ID] = true
	if len(w.blamed) < failuresToRest || w.onTrial && now.Before(w.restUntil) {
		return
	}
	w.onTrial = true
	w.restUntil = now.Add(unhealthyPause)
	s.note("worker rests", js.ID, "Worker", string(w.ID), "Reason", "fails different jobs", "Jobs", failuresToRest)
}

// clear takes a job's failures off the workers that were blamed for them, and ends the
// rest of those that are left with too few.
func (s *Scheduler) clear(now time.Time, id job.ID) {
	for _, w := range s.workers.all() {
		if !w.blamed[id] {
			continue
		}
		delete(w.blamed, id)
		if w.onTrial && len(w.blamed) < failuresToRest {
			w.onTrial, w.restUntil = false, now
			s.dirty = true
			s.note("worker cleared", id, "Worker", string(w.ID), "Reason", "the job fails elsewhere too")
		}
	}
}

// succeeded ends all suspicions against a worker, a step and its image.
func (s *Scheduler) succeeded(w *worker, t *task) {
	w.blamed, w.onTrial = nil, false
	t.step.failing = nil
	delete(s.images, t.step.Image)
}

// isSuspect reports whether a step failed on several workers with no task done. One
// task at a time then shows whether it is hopeless, at the least cost.
func (st *step) isSuspect() bool {
	return !st.Gang && !st.LongRunning && st.done == 0 && st.failing != nil && len(st.failing.workers) >= failsOn
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
