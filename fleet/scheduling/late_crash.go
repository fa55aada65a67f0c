package scheduling

import (
	"slices"
	"time"
)

// A task may also crash its workers long after its start. Each run that goes on when a worker crashes may be the cause
// then, also those of the task's neighbours. So
//   - the crash counts only if the worker was in touch: it had answered just before its connection broke. One that was
//     cut off may have ended the run before it crashed, and so may one whose connection was reset and that a list of
//     hosts shows later;
//   - tasks with crashes are kept apart, so that the next one tells them from each other;
//   - a long-running task is cleared by a run that outlives the age at which its workers crashed, and needs one crash
//     more to be given up, as it is there whenever a worker crashes for another reason.

const (
	// maxTouchAge is how old the last answer of a worker may be when its connection breaks: the wait of a hold, and
	// the pause before it.
	maxTouchAge = holdWait + 500*time.Millisecond
	// maxServingCrashes is maxCrashes for long-running tasks with a crash long after a start.
	maxServingCrashes = maxCrashes + 1
	// maxBlamedAge is the age of a run of a long-running task from which it isn't blamed for a crash.
	maxBlamedAge = time.Minute
	// apartAfter is the number of crashes from which a task starts only on a worker without another suspect for up to
	// maxApart. Below it the task prefers such a worker.
	apartAfter = maxCrashes - 1
	maxApart   = 2 * time.Second
	// weightApart outweighs all other reasons to choose a worker.
	weightApart = 16.0
)

// crashCount returns the number of runs that may have crashed their workers.
func (t *task) crashCount() int {
	return len(t.crashed) + len(t.lateCrashed)
}

// isDeadly reports whether so many workers have crashed under a task that it isn't started any more.
func (t *task) isDeadly() bool {
	if t.step.LongRunning && len(t.lateCrashed) > 0 {
		return t.crashCount() >= maxServingCrashes
	}
	return t.crashCount() >= maxCrashes
}

// clearingAge is the age from which a run shows that it doesn't crash its worker at the age of the earlier crashes.
func (t *task) clearingAge() time.Duration {
	return min(crashWindow+2*t.crashAge, maxBlamedAge)
}

// clearOutlived clears a long-running task whose run has outlived the age of its crashes.
func (s *Scheduler) clearOutlived(now time.Time, r *run) {
	t := r.task
	if !t.step.LongRunning || t.crashCount() == 0 || t.isDeadly() || now.Sub(r.begunAt) < t.clearingAge() {
		return
	}
	t.crashed, t.lateCrashed, t.crashAge = nil, nil, 0
	s.markChanged(t.job())
}

// isInTouch reports whether the worker has answered an order of late.
func (w *worker) isInTouch(now time.Time) bool {
	return w.contacted && now.Sub(later(w.reportedAt, w.clockAt)) <= maxTouchAge
}

// breakConnection records that the connection to a worker broke while it was in touch.
func (w *worker) breakConnection(now time.Time, isReset bool) {
	if w.isInTouch(now) {
		w.brokeAt, w.wasReset = now, isReset
	}
}

// closedConnection reports whether the worker itself closed its connection while it was in touch, and so had ended
// then. What lists of hosts show, or whether its lease has lapsed since, tells nothing more.
func (w *worker) closedConnection() bool {
	return !w.brokeAt.IsZero() && !w.wasReset
}

// clearingTimes returns from when an end of the worker isn't due to runs that had just begun, and to others; zero if
// it may be.
func (w *worker) clearingTimes() (begun, late time.Time) {
	if w.closedConnection() {
		return time.Time{}, time.Time{}
	}
	return w.clearedAt, w.shownAt
}

// lostTouchAt returns when a worker that has ended was last in touch, and false if it ceased to answer without a sign
// of its end.
func (w *worker) lostTouchAt(now time.Time) (time.Time, bool) {
	if w.unreachableSince.IsZero() && w.isInTouch(now) {
		return now, true
	}
	return w.brokeAt, !w.brokeAt.IsZero()
}

// crashedAtAge returns the age of a run that went on when its worker, which was in touch, ended; and false for a run
// that wasn't listed last, that has just begun, or that is a long-running task's beyond maxBlamedAge.
func (r *run) crashedAtAge(now time.Time) (time.Duration, bool) {
	at, ok := r.worker.lostTouchAt(now)
	if !ok || r.phase != running || !r.isProven || !r.isListed || r.report != r.worker.reports {
		return 0, false
	}
	age := max(at.Sub(r.begunAt), crashWindow)
	return age, !r.task.step.LongRunning || age <= maxBlamedAge
}

// hasSuspects reports whether a run on the worker is that of a task with crashes, and hasn't outlived their age.
func (w *worker) hasSuspects(now time.Time) bool {
	for _, r := range w.runs.all() {
		if r.task.crashCount() > 0 && (r.begunAt.IsZero() || now.Sub(r.begunAt) < r.task.clearingAge()) {
			return true
		}
	}
	return false
}

// mustBeApart reports whether a task waits for a worker without another suspect.
func (t *task) mustBeApart(now time.Time) bool {
	return t.crashCount() >= apartAfter && now.Sub(t.lostAt) < maxApart
}

// addLateCrash adds a run at whose age its worker crashed.
func (t *task) addLateCrash(number int64, age time.Duration) {
	t.lateCrashed = append(slices.Clip(t.lateCrashed), number)
	t.crashAge = max(t.crashAge, age)
}
