package scheduling

import "time"

// A task of a speculative step may run twice at once. It gets a second attempt if its
// worker is unreachable or its run is far slower than expected, or is likely to be; the first attempt
// that is done counts.
const (
	// hedgeInterval is the interval between searches for runs to hedge.
	hedgeInterval = 100 * time.Millisecond
	// hedgeUnreachable is how long a worker is unreachable before its runs are hedged: one
	// lost answer and the retry.
	hedgeUnreachable = 300 * time.Millisecond
	// hedgeFactor times the expected duration is the age at which a run counts as slow.
	// Durations within a step differ by some tenths.
	hedgeFactor = 2.5
	// hedgeMinAge is the minimum age of a slow run: for short tasks a second attempt takes
	// about as long as the rest of the first.
	hedgeMinAge = time.Second
	// hedgeMinGain is the least expected gain of a second attempt of a run on a reachable worker.
	hedgeMinGain = 200 * time.Millisecond
	// idleRoomCost is the cost of room in a pool without waiting tasks, as a share of that in others:
	// its hosts are there, but leave sooner while they are idle.
	idleRoomCost = 0.3
)

// hedge starts a second attempt for each hedge candidate. It uses only capacity that no
// waiting task can take.
func (s *Scheduler) hedge(now time.Time) {
	if now.Before(s.nextHedge) {
		return
	}
	s.nextHedge = now.Add(hedgeInterval)
	views := make(map[string]*poolView)
	for _, r := range s.hedgeCandidates(now) {
		js := r.task.job()
		pool, ok := s.startPool(js)
		if !ok || !s.fitsQuota(r.task.step, 1) {
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
		s.logDecision("second attempt started", js.ID, "Task", r.task.id().String(), "Run", r.number, "Worker", string(r.worker.ID),
			"AgeMs", now.Sub(r.orderedAt).Milliseconds(), "SilentMs", r.worker.unreachableFor(now).Milliseconds())
		s.startRun(now, w, r.task, s.nextRun(r.task), r.task.step.advice.ticket(w.ID))
	}
}

// hedgeCandidates returns the runs whose task should get a second attempt.
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

// mayBeHedged reports whether a run's task may get a second attempt now. Long-running tasks serve
// from one place, the runs of a gang share a number, and an isolated task may crash its workers,
// so they are never hedged.
func (r *run) mayBeHedged() bool {
	st := r.task.step
	if !st.Speculative || st.Gang || st.LongRunning || r.task.isIsolated() || len(r.task.lateCrashed) > 0 {
		return false
	}
	return r.task.run == r && r.task.earlierRun == nil && !r.task.done && !r.task.job().state.Final() &&
		r.phase != recording && r.phase != stopping && r.phase != stopped
}

// unreachableFor returns how long the worker has been unreachable, 0 if it is reachable.
func (w *worker) unreachableFor(now time.Time) time.Duration {
	if w.unreachableSince.IsZero() {
		return 0
	}
	return now.Sub(w.unreachableSince)
}

// isSlow reports whether a second attempt of a run is worth its room: the run takes far longer than
// expected for its step, or the expected gain exceeds the cost of the room. While tasks wait, that is the
// case if both attempts together take less room than the run alone.
func (s *Scheduler) isSlow(now time.Time, r *run) bool {
	age := now.Sub(r.orderedAt)
	d := s.taskDurations[r.task.job().Queue]
	expected := r.task.step.duration(d)
	if expected <= 0 || age <= expected {
		return false
	}
	if age >= hedgeMinAge && age > time.Duration(hedgeFactor*float64(expected)) {
		return true
	}
	remaining, ok := d.Remaining(expected, age)
	again := time.Duration(float64(expected) * d.MeanFactor())
	cost := again
	if pool, ok := s.poolOf(r.task.job()); ok && s.waitingSince[pool].IsZero() {
		cost = time.Duration(idleRoomCost * float64(again))
	}
	return ok && remaining-again >= max(cost, hedgeMinGain)
}

// runs returns the current runs of a task, at most two.
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
