package scheduling

import "time"

// maxReportAge is how old a worker's report may be to prove that a task is at work. It
// is below the time after which operators count a silent task as away, and above the
// time between two reports.
const maxReportAge = holdWait + 500*time.Millisecond

// isAtWork reports whether a task is known to work at full pace, on a worker whose
// host was not ordered away.
func (t *task) isAtWork(now time.Time) bool {
	r := t.run
	if r == nil || r.phase != running || r.percent < 100 || r.knownAt.Before(r.provenFrom) {
		return false
	}
	return !r.worker.hostOrdered && r.worker.unreachableSince.IsZero() && now.Sub(r.knownAt) <= maxReportAge
}

// unavailable counts the tasks of a step that are not at work, leaving out one of them.
func (st *step) unavailable(now time.Time, except *task) int {
	n := 0
	for _, t := range st.tasks {
		if t != except && !t.isAtWork(now) {
			n++
		}
	}
	return n
}

// mayInterrupt reports whether our order may end a run: tasks that end may be done
// again, tasks that last have a budget for how many of their step are away at once.
func mayInterrupt(now time.Time, r *run) bool {
	st := r.task.step
	if !st.LongRunning {
		return true
	}
	return st.unavailable(now, r.task) < st.MayMiss
}

// mayTakeDown reports whether a worker's host may go down now with all that runs there.
func (w *worker) mayTakeDown(now time.Time) bool {
	longRunning := make(map[*step]int)
	for _, r := range w.runs.all() {
		if r.task.owner().state.Final() {
			continue
		}
		if r.task.step.LongRunning {
			longRunning[r.task.step]++
		}
	}
	for st, n := range longRunning {
		others := 0
		for _, t := range st.tasks {
			elsewhere := t.run == nil || t.run.worker != w
			if elsewhere && !t.isAtWork(now) {
				others++
			}
		}
		if others+n > st.MayMiss {
			return false
		}
	}
	return true
}
