package scheduling

import (
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/fleet/job"
)

// A leader may end before it learns that a worker has crashed: the worker returns some seconds
// later. The runs that may be the cause are therefore part of the stored progress of their jobs as
// unproven runs, from which the next leader counts the crash:
//   - isolated runs, and those of jobs that an earlier leader may have started, before they are
//     ordered, as the leader may be killed together with the worker;
//   - others once their worker doesn't answer any more.

// maxRecordWait is how long a run that isn't isolated waits until it is stored as unproven. It is
// ordered then all the same: while the store is unavailable, tasks go on.
const maxRecordWait = 300 * time.Millisecond

// unprovenIncarnation returns the incarnation of a worker that an unproven run is on.
func unprovenIncarnation(u job.UnprovenRun) Incarnation {
	return Incarnation{ID: WorkerID(u.Worker), StartedAt: u.StartedAt}
}

// mustBeRecorded reports whether a run is ordered only once it is stored.
func (r *run) mustBeRecorded() bool {
	return r.isIsolated || r.task.job().inherited
}

// recordRun makes a new run, as an unproven one, part of the next commit.
func (s *Scheduler) recordRun(now time.Time, r *run) {
	r.phase = recording
	if !r.isIsolated {
		r.retryAt = now.Add(maxRecordWait)
	}
	s.addUnproven(r, false, 0)
	s.recording = append(s.recording, r)
}

// markRecorded lets the next pass over the workers order a run that is stored.
func (r *run) markRecorded() {
	if r.phase == recording {
		r.retryAt = r.orderedAt
	}
}

// retryRecorded orders a recorded run that isn't isolated. An isolated one waits for its worker's
// next answer.
func (s *Scheduler) retryRecorded(now time.Time, r *run) {
	switch {
	case !r.isIsolated:
		s.orderRecorded(now, r)
	case !r.worker.isSchedulable(now):
		s.dropRecorded(r)
	}
}

// orderIsolated orders the recorded isolated runs of a worker that has just answered. If one of them
// then breaks the connection, the worker was neither cut off nor gone before.
func (s *Scheduler) orderIsolated(now time.Time, w *worker) {
	for _, r := range w.runs.all() {
		if r.phase == recording && r.isIsolated && !r.retryAt.IsZero() {
			s.orderRecorded(now, r)
		}
	}
}

// orderRecorded orders a recorded run, unless its worker may get no runs any more.
func (s *Scheduler) orderRecorded(now time.Time, r *run) {
	deadline, ok := s.extendLease(now, r.worker)
	if !ok || !s.isViewCurrent() || !r.worker.isSchedulable(now) || !s.stillFits(now, r) {
		s.dropRecorded(r)
		return
	}
	r.phase = starting
	r.orderedAt = now
	s.sendStart(now, r, deadline)
}

// dropRecorded drops a run that wasn't ordered yet. Its task waits again.
func (s *Scheduler) dropRecorded(r *run) {
	s.detach(r)
	s.dropUnproven(r.task, r.number)
	s.enqueue(r.task)
}

// recordUnprovenRuns makes the unproven runs of a worker that doesn't answer any more part of the
// next commit.
func (s *Scheduler) recordUnprovenRuns(now time.Time, w *worker) {
	for _, r := range w.runs.all() {
		switch {
		case r.mayHaveCrashed():
			s.addUnproven(r, true, 0)
		case r.phase == starting || r.phase == uncertain:
			s.addUnproven(r, false, 0)
		default:
			if age, isLate := r.crashedAtAge(now); isLate {
				s.addUnproven(r, true, age)
			}
		}
	}
}

// addUnproven adds a run to the unproven ones of its task. begun tells whether it has begun, and age is that of a run
// which may have crashed its worker late.
func (s *Scheduler) addUnproven(r *run, begun bool, age time.Duration) {
	t, w := r.task, r.worker.Incarnation
	u := job.UnprovenRun{Run: r.number, Worker: string(w.ID), StartedAt: w.StartedAt, Isolated: r.isIsolated, Begun: begun, AgeMs: age.Milliseconds()}
	u.Reset = u.AgeMs > 0 && r.worker.wasReset
	i := slices.IndexFunc(t.unproven, func(o job.UnprovenRun) bool { return o.Run == r.number })
	switch {
	case i < 0:
		if !t.hasUnprovenOn(w) {
			s.unprovenOn[w] = append(s.unprovenOn[w], t)
		}
		t.unproven = append(slices.Clone(t.unproven), u)
	case t.unproven[i] == u:
		return
	default:
		t.unproven = slices.Clone(t.unproven)
		t.unproven[i] = u
	}
	t.job().hasNewUnproven = true
	s.markChanged(t.job())
}

// dropUnproven removes a run from the unproven ones of its task, if it is one.
func (s *Scheduler) dropUnproven(t *task, number int64) {
	s.dropUnprovenIf(t, func(u job.UnprovenRun) bool { return u.Run == number })
}

// dropUnprovenOn removes all unproven runs on an incarnation of a worker.
func (s *Scheduler) dropUnprovenOn(w Incarnation) {
	for _, t := range slices.Clone(s.unprovenOn[w]) {
		s.dropUnprovenIf(t, func(u job.UnprovenRun) bool { return unprovenIncarnation(u) == w })
	}
}

// dropUnlisted removes the unproven runs of earlier leaders that a worker doesn't list: they have
// ended, or never began.
func (s *Scheduler) dropUnlisted(w *worker) {
	for _, t := range slices.Clone(s.unprovenOn[w.Incarnation]) {
		s.dropUnprovenIf(t, func(u job.UnprovenRun) bool { return unprovenIncarnation(u) == w.Incarnation && !w.hasRun(t, u.Run) })
		t.clearSuspicion()
	}
}

func (s *Scheduler) dropUnprovenIf(t *task, drop func(u job.UnprovenRun) bool) {
	var kept []job.UnprovenRun
	for _, u := range t.unproven {
		if !drop(u) {
			kept = append(kept, u)
		}
	}
	if len(kept) == len(t.unproven) {
		return
	}
	dropped := t.unproven
	t.unproven = kept
	for _, u := range dropped {
		w := unprovenIncarnation(u)
		if t.hasUnprovenOn(w) {
			continue
		}
		if s.unprovenOn[w] = slices.DeleteFunc(s.unprovenOn[w], func(o *task) bool { return o == t }); len(s.unprovenOn[w]) == 0 {
			delete(s.unprovenOn, w)
		}
	}
	if !t.job().state.Final() {
		s.markChanged(t.job())
	}
}

func (t *task) hasUnprovenOn(w Incarnation) bool {
	return slices.ContainsFunc(t.unproven, func(u job.UnprovenRun) bool { return unprovenIncarnation(u) == w })
}

// clearSuspicion ends the isolation of a task that wasn't counted for a crash, unless another of its
// runs is unproven.
func (t *task) clearSuspicion() {
	t.suspected = t.suspected && len(t.unproven) > 0
}

// hasIsolatedRun reports whether a run is an unproven one that was isolated.
func (t *task) hasIsolatedRun(number int64) bool {
	return slices.ContainsFunc(t.unproven, func(u job.UnprovenRun) bool { return u.Run == number && u.Isolated })
}

// hasRun reports whether a run of a task is known to the leader on the worker.
func (w *worker) hasRun(t *task, number int64) bool {
	r := w.runs.get(t.id())
	return r != nil && r.number == number
}

// inheritedUnproven calls do with each unproven run of an earlier leader on a worker.
func (s *Scheduler) inheritedUnproven(w *worker, do func(t *task, u job.UnprovenRun)) {
	for _, t := range s.unprovenOn[w.Incarnation] {
		for _, u := range t.unproven {
			if unprovenIncarnation(u) == w.Incarnation && !w.hasRun(t, u.Run) {
				do(t, u)
			}
		}
	}
}

// countInheritedUnproven counts the crash of a worker against the unproven runs of earlier
// leaders on it, unless they are cleared. A task that may never have been there is only isolated.
func (s *Scheduler) countInheritedUnproven(now time.Time, w *worker, endedBy time.Time) {
	s.inheritedUnproven(w, func(t *task, u job.UnprovenRun) {
		switch {
		case u.Begun && !isCleared(w.clearingTimeOf(u), endedBy):
			s.countCrash(now, t, u.Run, crash{w.Incarnation, u.Isolated, u.Age()})
		case u.AgeMs == 0:
			t.suspected = true
		}
	})
}

// clearingTimeOf is clearingTimes for an unproven run of an earlier leader.
func (w *worker) clearingTimeOf(u job.UnprovenRun) time.Time {
	switch {
	case u.AgeMs == 0:
		return w.clearedAt
	case u.Reset:
		return w.shownAt
	}
	return time.Time{}
}

// restoreUnproven restores the unproven runs of a task. The crash of a worker that isn't
// registered any more has been counted already.
func (s *Scheduler) restoreUnproven(t *task, runs []job.UnprovenRun) {
	for _, u := range runs {
		t.lastRun = max(t.lastRun, u.Run)
		inc := unprovenIncarnation(u)
		if w := s.workers.get(inc.ID); w == nil || w.Incarnation != inc {
			continue
		}
		if !t.hasUnprovenOn(inc) {
			s.unprovenOn[inc] = append(s.unprovenOn[inc], t)
		}
		t.unproven = append(t.unproven, u)
		t.suspected = t.suspected || u.AgeMs == 0
	}
}
