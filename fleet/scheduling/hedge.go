package scheduling

import "time"

// A task whose step is speculative may run twice at once: it gets a second run where
// its first is in doubt, and the first that is done counts.
const (
	// hedgeEvery is how often runs in doubt are looked for.
	hedgeEvery = 100 * time.Millisecond
	// hedgeUnreachable is how long a worker doesn't answer before its runs are in doubt: one
	// lost answer and its repetition.
	hedgeUnreachable = 300 * time.Millisecond
	// hedgeFactor times the expected duration puts a run in doubt. Tasks of one step
	// differ by some tenths.
	hedgeFactor = 2.5
	// hedgeMinAge is the least age of a slow run in doubt: for short tasks a second start
	// takes about as long as what is left of the first.
	hedgeMinAge = time.Second
)

// hedge starts second runs of tasks that may run twice and whose run is in doubt. It
// uses only room that no waiting task could take.
func (s *Scheduler) hedge(now time.Time) {
	if now.Before(s.nextHedge) {
		return
	}
	s.nextHedge = now.Add(hedgeEvery)
	views := make(map[string]*poolView)
	for _, r := range s.hedgeCandidates(now) {
		js := r.task.owner()
		pool, ok := s.poolOf(js)
		if !ok {
			continue
		}
		v := views[pool]
		if v == nil {
			v = s.view(now, pool)
			views[pool] = v
		}
		if s.needsAdvice(now, v, r.task.step) {
			continue
		}
		w := s.choose(now, v, r.task.step, r.task)
		if w == nil {
			s.addDataCentre(now, v, r.task.step)
			s.fullAt[pool] = now
			continue
		}
		s.note("second run", js.ID, "Task", r.task.id().String(), "Run", r.number, "Worker", string(r.worker.ID),
			"AgeMs", now.Sub(r.since).Milliseconds(), "SilentMs", r.worker.unreachableFor(now).Milliseconds())
		s.startRun(now, w, r.task, s.nextRun(r.task), r.task.step.advice.ticket(w.ID))
	}
}

// hedgeCandidates lists the runs that a second one should run beside.
func (s *Scheduler) hedgeCandidates(now time.Time) []*run {
	var list []*run
	for _, w := range s.workers.all() {
		for _, r := range w.runs.all() {
			if r.mayBeHedged() && (w.unreachableFor(now) >= hedgeUnreachable || s.isSlow(now, r)) {
				list = append(list, r)
			}
		}
	}
	return list
}

// mayBeHedged reports whether a run's task may have a second one now.
func (r *run) mayBeHedged() bool {
	st := r.task.step
	if !st.Speculative || st.Gang || st.LongRunning {
		return false
	}
	return r.task.run == r && r.task.earlierRun == nil && !r.task.done && !r.task.owner().state.Final() &&
		r.phase != stopping && r.phase != stopped
}

// unreachableFor is for how long a worker has answered nothing.
func (w *worker) unreachableFor(now time.Time) time.Duration {
	if w.unreachableSince.IsZero() {
		return 0
	}
	return now.Sub(w.unreachableSince)
}

// isSlow reports whether a run takes far longer than its like.
func (s *Scheduler) isSlow(now time.Time, r *run) bool {
	age := now.Sub(r.since)
	if age < hedgeMinAge {
		return false
	}
	expected := r.task.step.duration(s.taskDurations[r.task.owner().Queue])
	return expected > 0 && age > time.Duration(hedgeFactor*float64(expected))
}

// runs lists the runs of a task, at most two.
func (t *task) runs() []*run {
	var list []*run
	for _, r := range []*run{t.run, t.earlierRun} {
		if r != nil {
			list = append(list, r)
		}
	}
	return list
}

// isOn reports whether the task has a run on a worker.
func (t *task) isOn(w *worker) bool {
	return (t.run != nil && t.run.worker == w) || (t.earlierRun != nil && t.earlierRun.worker == w)
}
