package scheduling

import (
	"cmp"
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/fleet/job"
	"github.com/godwitcross/godwitcross/fleet/quota"
)

// Tasks of a queue with higher priority (a lower number) may preempt tasks of other
// queues, if those resume from a checkpoint.
const (
	// preemptDelay is how long a step lacks capacity before runs are stopped for it: many
	// tasks end on their own within that time.
	preemptDelay = 150 * time.Millisecond
	// preemptMinAge is the age below which a run isn't preempted: the time between two
	// checkpoints, so that a task that is preempted repeatedly still makes progress.
	preemptMinAge = time.Second
	// maxPreemptors bounds the tasks of a step for which one round preempts.
	maxPreemptors = 4
	// preemptInterval is the interval between preemption rounds, as a round costs time for
	// each run of a pool.
	preemptInterval = 50 * time.Millisecond
)

// markStarved records that a step found no capacity in this round of placement, and lists
// the step for preemption once that has lasted for preemptDelay.
func (s *Scheduler) markStarved(now time.Time, v *poolView, st *step) {
	if st.starvedAt.IsZero() {
		st.starvedAt = now
	}
	q, ok := s.queueOf(st.occ.job)
	if ok && q.Priority < v.lastPriority && !st.Gang && now.Sub(st.starvedAt) >= preemptDelay {
		v.starved = append(v.starved, st)
	}
}

// preempt stops runs of queues with lower priority for the starved steps.
func (s *Scheduler) preempt(now time.Time, v *poolView) {
	claimed, plan := make(map[*worker]job.Resources), quota.NewPlan()
	for _, st := range v.starved {
		q, ok := s.queueOf(st.occ.job)
		if !ok {
			continue
		}
		for range plan.Take(s.account(st.occ.job), st.Resources, min(len(st.waiting), maxPreemptors), false) {
			if !s.freeCapacity(now, v, st, q.Priority, claimed) {
				break
			}
		}
	}
}

// freeCapacity claims capacity for a task of a step on the worker where the fewest runs
// have to be stopped for it, and stops them. No run is stopped where enough is about to
// be free. It reports false if no worker can provide the capacity.
func (s *Scheduler) freeCapacity(now time.Time, v *poolView, st *step, priority int, claimed map[*worker]job.Resources) bool {
	var best *worker
	var victims []*run
	for _, w := range v.workers {
		if !s.meetsConstraints(now, st, w) || !st.occ.job.mayRunIn(w.DataCentre) {
			continue
		}
		runs, ok := s.victims(now, w, st.Requests(), claimed[w], priority)
		if ok && (best == nil || len(runs) < len(victims)) {
			best, victims = w, runs
		}
	}
	if best == nil {
		return false
	}
	claimed[best] = claimed[best].Add(st.Requests())
	for _, r := range victims {
		s.logDecision("run preempted", r.task.job().ID, "Task", r.task.id().String(), "Run", r.number, "Worker", string(best.ID),
			"For", string(st.occ.job.ID), "Priority", priority, "AgeMs", now.Sub(r.orderedAt).Milliseconds())
		s.stopRun(now, r)
	}
	return true
}

// victims returns the runs to stop on a worker to free the needed resources, the youngest
// first; none if enough is free or being freed. It reports false if the worker can't
// provide them.
func (s *Scheduler) victims(now time.Time, w *worker, need, claimed job.Resources, priority int) ([]*run, bool) {
	free := w.free().Sub(claimed)
	var candidates []*run
	for _, r := range w.runs.all() {
		switch {
		case r.phase == stopping || r.phase == stopped:
			free = free.Add(r.resources)
		case s.isPreemptible(now, r, priority):
			candidates = append(candidates, r)
		}
	}
	slices.SortFunc(candidates, func(a, b *run) int {
		return cmp.Or(b.orderedAt.Compare(a.orderedAt), cmp.Compare(a.number, b.number))
	})
	var chosen []*run
	for _, r := range candidates {
		if free.Fits(need) {
			break
		}
		free = free.Add(r.resources)
		chosen = append(chosen, r)
	}
	return chosen, free.Fits(need)
}

// isPreemptible reports whether a run may be stopped for a queue of the given priority,
// at no cost but a restart.
func (s *Scheduler) isPreemptible(now time.Time, r *run, priority int) bool {
	st := r.task.step
	q, ok := s.queueOf(r.task.job())
	return ok && q.Priority > priority && st.Checkpointing && !st.Gang && !st.LongRunning &&
		r.phase == running && now.Sub(r.orderedAt) >= preemptMinAge
}
