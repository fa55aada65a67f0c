package scheduling

// away counts the tasks of a step that are not at work, leaving out one of them.
func (st *step) away(except *task) int {
	n := 0
	for _, t := range st.tasks {
		if t != except && (t.run == nil || t.run.phase != running || t.run.percent < 100 || t.run.relocating) {
			n++
		}
	}
	return n
}

// mayInterrupt reports whether our order may end a run: tasks that end may be done
// again, tasks that last have a budget for how many of their step are away at once.
func mayInterrupt(r *run) bool {
	st := r.task.step
	if !st.LongRunning {
		return true
	}
	if r.phase != running || r.percent < 100 {
		// It isn't at work; whether it counts depends on the others alone.
		return st.away(r.task) < max(st.MayMiss, 1)
	}
	return st.away(r.task) < st.MayMiss
}

// mayTakeDown reports whether a worker's host may go down now with all that runs there.
func (w *worker) mayTakeDown() bool {
	lasting := make(map[*step]int)
	for _, r := range w.runs {
		if r.task.owner().state.Final() {
			continue
		}
		if r.task.step.LongRunning {
			lasting[r.task.step]++
		}
	}
	for st, n := range lasting {
		others := 0
		for _, t := range st.tasks {
			elsewhere := t.run == nil || t.run.worker != w
			if elsewhere && (t.run == nil || t.run.phase != running || t.run.percent < 100) {
				others++
			}
		}
		if others+n > st.MayMiss {
			return false
		}
	}
	return true
}
