package scheduling

import (
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/fleet/job"
)

// A task may crash each worker that starts it. The crash also ends the other runs on the worker,
// which did not cause it, so a crash alone doesn't tell which run did. It is counted against the
// runs that had just begun; late_crash.go tells when it counts against others. A task with such a crash is then
// isolated: it starts on a worker on which no other run has just begun, and none begins beside it until it has
// proved itself.
//
// The leader learns of a crash only once the next worker is there. A worker that was cut off soon after
// a run had begun may have ended the run and crashed later, so even two such crashes don't tell that the
// task is the cause. A crash isn't counted if the worker is known to have ended later; see clearedAt.
const (
	// crashWindow is how long a run counts as one that has just begun. It has proved itself once it is listed later,
	// and a crash after that is a late one. The users' tasks crash their workers within 10 ms.
	crashWindow = 250 * time.Millisecond
	// maxCrashes is the number of workers that may crash under a task, isolated or not, before
	// it is given up. Two have to have crashed, and one may have been counted wrongly.
	maxCrashes = 3
	// isolationWait is how long a worker gets no new runs so that an isolated task may start on
	// it: those on it are listed within holdWait.
	isolationWait = holdWait + crashWindow
	// maxLapsedAge is how long a run whose lease lapsed may turn out to have crashed its worker.
	maxLapsedAge = 30 * time.Second
	// minRestartTime is how long a worker is gone at least until its successor starts. It is less than the seconds
	// that this takes, as their clocks may differ.
	minRestartTime = 500 * time.Millisecond
	// clearingSilence is how long a worker hasn't answered when a host list clears its runs: the list
	// may lag behind a crash.
	clearingSilence = time.Second
)

// lapsedRun is a run that had just begun when its worker became unreachable, and whose lease
// has lapsed. It counts as a crash if the host then runs another worker.
type lapsedRun struct {
	task       *task
	number     int64
	isIsolated bool
	// age is that at which the worker may have crashed, 0 for a run that had just begun.
	age    time.Duration
	worker Entry
	// clearedAt is from when an end of the worker isn't due to the run, see clearingTimes.
	clearedAt, lapsedAt time.Time
}

// markListed records that a report lists a run. One that has outlived the age of earlier crashes clears a long-running
// task of them.
func (s *Scheduler) markListed(now time.Time, r *run) {
	if r.begunAt.IsZero() {
		r.begunAt = now
	}
	if now.Sub(r.begunAt) < crashWindow {
		return
	}
	if len(r.task.unproven) > 0 {
		s.dropUnproven(r.task, r.number)
	}
	if !r.isProven {
		r.isProven = true
		r.task.clearSuspicion()
	}
	s.clearOutlived(now, r)
}

// mayHaveCrashed reports whether a run may have crashed its worker. A start without an answer isn't
// enough: the worker may have been cut off before, and have crashed for another reason. A start that the next
// incarnation has accepted came after the crash.
func (r *run) mayHaveCrashed() bool {
	return !r.isProven && !r.beganLater && (r.phase == running || r.phase == uncertain && r.brokeConnection)
}

// replaceCrashed removes a worker that has certainly ended, by endedBy at the latest, as another one runs in its
// place or its host has none. If no order explains that, the worker has crashed.
func (s *Scheduler) replaceCrashed(now time.Time, w *worker, endedBy time.Time, reason string) {
	s.countCrashes(now, w, endedBy)
	s.removeWorker(now, w, reason)
}

// countCrashes counts the crash of a worker, which had ended by endedBy, against the tasks that may have
// caused it.
func (s *Scheduler) countCrashes(now time.Time, w *worker, endedBy time.Time) {
	if w.Draining || s.isHostOrdered(w) {
		return
	}
	begun, late := w.clearingTimes()
	cleared, lateCleared := isCleared(begun, endedBy), isCleared(late, endedBy)
	s.countInheritedUnproven(now, w, endedBy)
	for _, r := range w.runs.all() {
		age, isLate := r.crashedAtAge(now)
		switch {
		case isLate && !lateCleared:
			s.countCrash(now, r.task, r.number, crash{w.Incarnation, r.isIsolated, age})
		case isLate:
		case r.mayHaveCrashed() && cleared:
			r.task.suspected = true
		case r.mayHaveCrashed():
			s.countCrash(now, r.task, r.number, crash{w.Incarnation, r.isIsolated, 0})
		case !r.wasOrderedBefore(w.unreachableSince):
		default:
			// The run may have crashed the worker or never begun.
			r.task.suspected = true
		}
	}
}

// clearRuns records that the worker, which doesn't answer, can no longer be ended by its runs.
func (w *worker) clearRuns(now time.Time) {
	if w.clearedAt.IsZero() {
		w.clearedAt = now
	}
}

// isCleared reports whether the runs of a worker are not to blame for its end, as it may have come after
// clearedAt. A worker whose successor started up to minRestartTime after clearedAt had ended before.
func isCleared(clearedAt, endedBy time.Time) bool {
	return !clearedAt.IsZero() && endedBy.Sub(clearedAt) > minRestartTime
}

// endedBefore returns by when the predecessor of a worker with this start time, in Unix milliseconds, had ended:
// now at the latest.
func (s *Scheduler) endedBefore(now time.Time, startedAt int64) time.Time {
	at := s.tickedAt.Add(time.Duration(startedAt-s.tickedWall) * time.Millisecond)
	if startedAt == 0 || s.tickedAt.IsZero() || at.After(now) {
		return now
	}
	return at
}

// wasOrderedBefore reports whether a run without an answer was ordered before its worker ceased to
// answer.
func (r *run) wasOrderedBefore(at time.Time) bool {
	return (r.phase == starting || r.phase == uncertain) && !at.IsZero() && r.orderedAt.Before(at)
}

// isHostOrdered reports whether an order for its host may have ended the worker. Orders of
// earlier leaders show in a list of hosts that was requested since the worker was registered. An
// order that was accepted before doesn't explain its end.
func (s *Scheduler) isHostOrdered(w *worker) bool {
	h := s.hosts.get(w.Host)
	switch {
	case w.hostOrdered:
		return true
	case h == nil:
		return false
	case h.order.kind != noOrder:
		return !h.order.accepted || w.registeredAt.Before(h.order.acceptedAt)
	default:
		isAway := h.Pool != w.Pool || h.State == HostMoving || h.State == HostMaintenance
		return isAway && s.hostsRequestedAt.After(w.registeredAt)
	}
}

// rememberLapsed keeps the runs of a worker that may have crashed it, until its host is ordered or
// runs another worker, or the same one answers again.
func (s *Scheduler) rememberLapsed(now time.Time, w *worker) {
	w.clearRuns(now)
	if w.Host == "" || w.Draining || s.isHostOrdered(w) {
		return
	}
	begun, late := w.clearingTimes()
	for _, r := range w.runs.all() {
		if age, isLate := r.crashedAtAge(now); isLate {
			s.rememberLapsedRun(now, w, lapsedRun{task: r.task, number: r.number, isIsolated: r.isIsolated, age: age, clearedAt: late})
		} else if r.mayHaveCrashed() {
			s.rememberLapsedRun(now, w, lapsedRun{task: r.task, number: r.number, isIsolated: r.isIsolated, clearedAt: begun})
		}
	}
	s.inheritedUnproven(w, func(t *task, u job.UnprovenRun) {
		if u.Begun {
			s.rememberLapsedRun(now, w, lapsedRun{task: t, number: u.Run, isIsolated: u.Isolated, age: u.Age(), clearedAt: w.clearingTimeOf(u)})
		}
	})
}

func (s *Scheduler) rememberLapsedRun(now time.Time, w *worker, l lapsedRun) {
	l.worker, l.lapsedAt = w.Entry, now
	s.lapsedRuns[w.Host] = append(s.lapsedRuns[w.Host], l)
}

// checkLapsed counts the lapsed runs of a host as crashes if the host now runs another worker. Those of a worker that
// may be the newer one are kept until the other has answered.
func (s *Scheduler) checkLapsed(now time.Time, e Entry, hasAnswered bool) {
	var kept []lapsedRun
	for _, l := range s.lapsedRuns[e.Host] {
		switch {
		case l.worker.Incarnation == e.Incarnation:
		case !hasAnswered && !e.isNewerThan(l.worker):
			kept = append(kept, l)
		case l.worker.Pool == e.Pool && now.Sub(l.lapsedAt) < maxLapsedAge && !isCleared(l.clearedAt, s.endedBefore(now, e.StartedAt)):
			s.countCrash(now, l.task, l.number, crash{l.worker.Incarnation, l.isIsolated, l.age})
		}
	}
	s.keepLapsed(e.Host, kept)
}

// forgetLapsed drops the lapsed runs of a worker that has answered again.
func (s *Scheduler) forgetLapsed(w *worker) {
	s.keepLapsed(w.Host, slices.DeleteFunc(s.lapsedRuns[w.Host], func(l lapsedRun) bool { return l.worker.Incarnation == w.Incarnation }))
}

// keepLapsed sets the lapsed runs of a host.
func (s *Scheduler) keepLapsed(id HostID, runs []lapsedRun) {
	if s.lapsedRuns[id] = runs; len(runs) == 0 {
		delete(s.lapsedRuns, id)
	}
}

// crash is the crash of a worker under a run.
type crash struct {
	worker     Incarnation
	isIsolated bool
	// age is that of the run, 0 if it had just begun.
	age time.Duration
}

// countCrash counts a crash of a worker against a task, and gives the task up after too many.
func (s *Scheduler) countCrash(now time.Time, t *task, number int64, c crash) {
	if t.done || t.job().state.Final() || slices.Contains(t.crashed, number) || slices.Contains(t.lateCrashed, number) {
		return
	}
	if c.age > 0 {
		t.addLateCrash(number, c.age)
	} else {
		t.crashed = append(t.crashed, number)
	}
	t.job().crashes++
	s.markChanged(t.job())
	s.logDecision("worker crashed under a task", t.job().ID, "Task", t.id().String(), "Run", number, "Worker", string(c.worker.ID), "Born", c.worker.StartedAt,
		"SinceTakeoverMs", now.Sub(s.startedAt).Milliseconds(), "Crashes", t.crashCount(), "Isolated", c.isIsolated, "AgeMs", c.age.Milliseconds())
	s.giveUpIfDeadly(t)
}

// giveUpIfDeadly gives up a task under which too many workers have crashed: its job fails at the next tick. A
// long-running task is only not started any more, as the other tasks of its step go on serving.
func (s *Scheduler) giveUpIfDeadly(t *task) {
	switch {
	case t.isGivenUp():
		s.logDecision("long-running task given up", t.job().ID, "Task", t.id().String(), "Crashes", t.crashCount())
	case t.isDeadly():
		s.deadlyJobs = append(s.deadlyJobs, t.job())
	}
}

// isGivenUp reports whether a long-running task isn't started any more.
func (t *task) isGivenUp() bool {
	return t.step.LongRunning && t.isDeadly()
}

// failDeadlyJobs ends the jobs whose tasks crash their workers.
func (s *Scheduler) failDeadlyJobs(now time.Time, wall int64) {
	for _, js := range s.deadlyJobs {
		s.finish(now, wall, js, job.Failed, "a task crashed its workers")
	}
	s.deadlyJobs = nil
}

// isIsolated reports whether a task starts only where no other run has just begun.
func (t *task) isIsolated() bool {
	return t.suspected || len(t.crashed) > 0
}

// crashesStored reports whether the crashes under the tasks of a job are stored, so that the
// next leader knows of them.
func (js *jobState) crashesStored() bool {
	return js.storedCrashes == js.crashes
}

// runsIsolated reports whether an isolated run on the worker hasn't proved itself yet.
func (w *worker) runsIsolated() bool {
	if r := w.isolatedRun; r != nil && (r.isProven || w.runs.get(r.task.id()) != r) {
		w.isolatedRun = nil
	}
	return w.isolatedRun != nil
}

// hasNewRuns reports whether a run on the worker hasn't proved itself yet.
func (w *worker) hasNewRuns() bool {
	for _, r := range w.runs.all() {
		if !r.isProven && r.phase != stopping && r.phase != stopped {
			return true
		}
	}
	return false
}

// acceptsNewRuns reports whether the worker, apart from its capacity, may get runs that aren't
// isolated.
func (w *worker) acceptsNewRuns(now time.Time) bool {
	return !w.runsIsolated() && !now.Before(w.quietUntil)
}

// chooseIsolated returns the worker with the highest score on which no run has just begun, or
// nil. Then one of the others gets no new runs for isolationWait, while less than half of the pool does
// already.
func (s *Scheduler) chooseIsolated(now time.Time, v *poolView, st *step, t *task) *worker {
	var best, busy *worker
	var bestScore, busyScore float64
	quiet := 0
	for _, w := range v.workers {
		if !w.acceptsNewRuns(now) {
			quiet++
		}
		if w.runsIsolated() || t.isOn(w) || !st.occ.job.mayRunIn(w.DataCentre) || !s.isFeasible(now, st, w) {
			continue
		}
		score := s.score(st, t, w)
		if t.crashCount() > 0 && w.hasSuspects(now) {
			if t.mustBeApart(now) {
				continue
			}
			score -= weightApart
		}
		switch {
		case !w.hasNewRuns() && (best == nil || score > bestScore):
			best, bestScore = w, score
		case w.hasNewRuns() && !now.Before(w.quietUntil) && (busy == nil || score > busyScore):
			busy, busyScore = w, score
		}
	}
	if best == nil && busy != nil && 2*quiet < len(v.workers) {
		busy.quietUntil = now.Add(isolationWait)
	}
	return best
}

// isolatedView returns the part of a pool on which an isolated gang may start.
func (v *poolView) isolatedView() *poolView {
	out := *v
	out.workers = slices.DeleteFunc(slices.Clone(v.workers), func(w *worker) bool { return w.hasNewRuns() })
	return &out
}

// hasIsolated reports whether a task of the step is isolated.
func (st *step) hasIsolated() bool {
	return slices.ContainsFunc(st.tasks, (*task).isIsolated)
}
