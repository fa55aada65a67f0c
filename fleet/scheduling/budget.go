package scheduling

import "time"

// maxReportAge is the maximum age of a worker's report that proves a task to be
// available. It is below the time after which operators count a task with no report as
// unavailable, and above the interval between two reports.
const maxReportAge = holdWait + 500*time.Millisecond

// isAvailable reports whether a task is known to run at full pace, on a reachable worker
// whose host has no order to leave.
func (t *task) isAvailable(now time.Time) bool {
	r := t.run
	if r == nil || r.phase != running || r.reportedPace < 100 || r.lastSeenAt.Before(r.reportsValidFrom) {
		return false
	}
	return !r.worker.hostOrdered && r.worker.unreachableSince.IsZero() && now.Sub(r.lastSeenAt) <= maxReportAge
}

// unavailable counts the tasks of a step that are not available, except the given one.
func (st *step) unavailable(now time.Time, except *task) int {
	n := 0
	for _, t := range st.tasks {
		if t != except && !t.isAvailable(now) {
			n++
		}
	}
	return n
}

// mayInterrupt reports whether an order of the scheduler may end a run. Other tasks can
// be run again, but long-running ones have a disruption budget: how many tasks of their
// step may be unavailable at once.
func mayInterrupt(now time.Time, r *run) bool {
	st := r.task.step
	if !st.LongRunning {
		return true
	}
	return st.unavailable(now, r.task) < st.MaxUnavailable
}

// mayTakeDown reports whether the disruption budgets of all long-running tasks on a
// worker allow its host to go down now.
func (w *worker) mayTakeDown(now time.Time) bool {
	longRunning := make(map[*step]int)
	for _, r := range w.runs.all() {
		if r.task.job().state.Final() {
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
			if elsewhere && !t.isAvailable(now) {
				others++
			}
		}
		if others+n > st.MaxUnavailable {
			return false
		}
	}
	return true
}
