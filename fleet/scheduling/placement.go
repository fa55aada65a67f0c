package scheduling

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// place assigns waiting tasks to workers. Steps are ordered by queue priority, then by
// lateness, so that steps which can still meet their objective come first; then
// occurrences that have started, then the least slack.
func (s *Scheduler) place(now time.Time) {
	s.refreshQuotas(now)
	steps := s.stepsToPlace(now)
	if len(steps) == 0 {
		return
	}
	if s.pressure.placingSince.IsZero() {
		s.pressure.placingSince = now
	}
	views := make(map[string]*poolView)
	for _, st := range steps {
		pool, ok := s.startPool(st.occ.job)
		if !ok || s.isHeldBack(st) {
			continue
		}
		v := views[pool]
		if v == nil {
			v = s.view(now, pool)
			views[pool] = v
		}
		if len(v.workers) == 0 {
			continue
		}
		if st.Gang {
			s.placeGang(now, v, st)
			continue
		}
		s.placeStep(now, v, st)
	}
	s.logHeldBack(now)
	if !now.Before(s.nextPreempt) {
		s.nextPreempt = now.Add(preemptInterval)
		for _, pool := range slices.Sorted(maps.Keys(views)) {
			s.preempt(now, views[pool])
		}
	}
}

// rankedStep is a step with what decides its place in the order of placement.
type rankedStep struct {
	*step
	priority int
	lateness lateness
	// place is that in the plan of a pool with too little capacity, 0 in other pools. isPlanned is set if a plan has set
	// lateness and place.
	place      int
	isPlanned  bool
	hasStarted bool
	slack      time.Duration
}

// stepsToPlace returns the steps with waiting tasks in the order of placement. Where callers may compete for
// too little capacity, the steps of pools that have too little are in the order of fleet/overload instead.
func (s *Scheduler) stepsToPlace(now time.Time) []*step {
	underPressure := s.isUnderPressure()
	var all []rankedStep
	for name, list := range s.waiting.all() {
		kept := list[:0]
		for _, st := range list {
			if len(st.waiting) == 0 {
				st.listed = false
				continue
			}
			kept = append(kept, st)
			q, _ := s.queueOf(st.occ.job)
			k := rankedStep{step: st, priority: q.Priority, hasStarted: st.occ.hasStarted()}
			if !underPressure {
				k.lateness, k.slack = s.lateness(now, q, st)
			}
			all = append(all, k)
		}
		clear(list[len(kept):])
		s.waiting.put(name, kept)
	}
	s.countShares()
	if underPressure {
		s.rankByPlan(now, all)
	}
	slices.SortFunc(all, func(a, b rankedStep) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.lateness, b.lateness), cmp.Compare(a.place, b.place), compareBool(b.hasStarted, a.hasStarted), cmp.Compare(a.slack, b.slack), cmp.Compare(a.occ.job.ID, b.occ.job.ID), cmp.Compare(a.number, b.number))
	})
	steps := make([]*step, len(all))
	for i, k := range all {
		steps[i] = k.step
	}
	return steps
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// hasStarted reports whether a task of the occurrence runs or is done. Such occurrences
// are placed first, as their work has no value until all of it is done.
func (o *occurrence) hasStarted() bool {
	for _, st := range o.steps {
		if st.doneTasks > 0 || len(st.waiting) < st.Count && st.released {
			return true
		}
	}
	return false
}

// mayStart reports whether a task may start now: its retry delay is over, the crashes of workers
// under it are stored, leadership was confirmed since its last run was lost, and no worker that
// hasn't answered yet can still run it for an earlier leader. Speculative tasks wait for such
// workers for speculativePause only.
//
// After a takeover, a task of an inherited job, one restored from the store, may still run on an
// unaccounted worker, one that earlier leaders registered and that hasn't reported yet. It waits
// while there is such a worker in its pools and data centres, at most until its lease has lapsed.
// Tasks of jobs accepted since the takeover don't wait. Apart from that, isSchedulable lets only
// contacted workers get tasks: they know this leader's token and start nothing that an earlier one
// ordered.
func (s *Scheduler) mayStart(now time.Time, t *task) bool {
	if now.Before(t.notBefore) {
		return false
	}
	if t.isIsolated() && !t.job().crashesStored() {
		return false
	}
	if !t.lostAt.IsZero() && s.leaderConfirmedAt.Before(t.lostAt) {
		return false // a later leader may have stored that the run ended as done
	}
	if !t.job().inherited {
		return true
	}
	if t.step.Speculative && !t.isIsolated() && now.Sub(s.startedAt) > speculativePause {
		return true
	}
	return !s.waitsForLease(now, t)
}

// placeStep assigns as many waiting tasks of a step as fit.
func (s *Scheduler) placeStep(now time.Time, v *poolView, st *step) {
	if !v.maxFree.Fits(st.Requests()) {
		s.markStarved(now, v, st)
		return
	}
	if !v.mayFit(st) {
		s.addDataCentre(now, v, st)
		s.markStarved(now, v, st)
		return
	}
	if s.needsAdvice(now, v, st) {
		return
	}
	if st.isSuspected() {
		s.placeSuspected(now, v, st)
		return
	}
	kept := st.waiting[:0]
	for i, t := range st.waiting {
		if !s.mayStart(now, t) {
			kept = append(kept, t)
			continue
		}
		if s.isHeldBack(st) {
			kept = append(kept, st.waiting[i:]...)
			break
		}
		w := s.chooseFor(now, v, st, t)
		if _, isAwaited := s.awaitedWorker(now, t); w == nil && isAwaited {
			kept = append(kept, t)
			continue
		}
		if w == nil && (t.isIsolated() || t.mustBeApart(now)) {
			s.addDataCentre(now, v, st)
			kept = append(kept, t)
			continue
		}
		if w == nil {
			s.addDataCentre(now, v, st)
			s.markStarved(now, v, st)
			v.tighten()
			kept = append(kept, st.waiting[i:]...)
			break
		}
		t.queued, v.isTight = false, false
		st.starvedAt = time.Time{}
		if !s.startRun(now, w, t, s.nextRun(t), st.advice.ticket(w.ID)) {
			t.queued = true
			kept = append(kept, st.waiting[i:]...)
			break
		}
	}
	clear(st.waiting[len(kept):])
	st.waiting = kept
}

// placeSuspected assigns a single task of a step that may fail on every worker.
func (s *Scheduler) placeSuspected(now time.Time, v *poolView, st *step) {
	t, ok := st.mostFailedTask()
	if !ok || !s.mayStart(now, t) {
		return
	}
	w := s.chooseFor(now, v, st, t)
	if w != nil && s.startRun(now, w, t, s.nextRun(t), st.advice.ticket(w.ID)) {
		s.unqueue(t)
	}
}

// placementGap returns the pause between two rounds of placement. It grows with the
// number of waiting steps, as each of them costs time in a round.
func (s *Scheduler) placementGap() time.Duration {
	steps := 0
	for _, list := range s.waiting.all() {
		steps += len(list)
	}
	return min(time.Duration(steps)*placementGapPerStep, maxPlacementGap)
}
