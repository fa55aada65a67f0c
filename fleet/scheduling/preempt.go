package scheduling

import (
	"cmp"
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/fleet/job"
)

// Tasks of a queue that comes first may take the room of tasks of later queues, if
// those keep what they have done.
const (
	// preemptAfter is how long a step finds no room before others are stopped for it:
	// many tasks end within that time by themselves.
	preemptAfter = 150 * time.Millisecond
	// preemptAge is how long a run is left alone, so that a task that is stopped again
	// and again still gets on: the time between two checkpoints.
	preemptAge = time.Second
	// preemptAtOnce bounds the runs that one round stops for a step.
	preemptAtOnce = 4
	// preemptEvery is how often pools are looked at for runs that could be stopped, which
	// costs time for each of them.
	preemptEvery = 50 * time.Millisecond
)

// starve notes that a step found no room in this round of placement.
func (s *Scheduler) starve(now time.Time, v *poolView, st *step) {
	if st.starvedAt.IsZero() {
		st.starvedAt = now
	}
	q, ok := s.conf.Queue(st.occ.job.Queue)
	if ok && q.Priority < v.lastPriority && !st.Gang && now.Sub(st.starvedAt) >= preemptAfter {
		v.starved = append(v.starved, st)
	}
}

// preempt stops runs of later queues for the steps that found no room.
func (s *Scheduler) preempt(now time.Time, v *poolView) {
	claimed := make(map[*worker]job.Resources)
	for _, st := range v.starved {
		q, ok := s.conf.Queue(st.occ.job.Queue)
		if !ok {
			continue
		}
		for range min(len(st.waiting), preemptAtOnce) {
			if !s.makeRoom(now, v, st, q.Priority, claimed) {
				break
			}
		}
	}
}

// makeRoom finds room that is about to be free for a task of a step, or has it freed
// where the fewest runs have to be stopped.
func (s *Scheduler) makeRoom(now time.Time, v *poolView, st *step, priority int, claimed map[*worker]job.Resources) bool {
	var best *worker
	var victims []*run
	for _, w := range v.workers {
		if !s.meetsConstraints(now, st, w) || !st.occ.job.mayRunIn(w.DataCentre) {
			continue
		}
		stop, ok := s.victims(now, w, st.Takes(), claimed[w], priority)
		if ok && (best == nil || len(stop) < len(victims)) {
			best, victims = w, stop
		}
	}
	if best == nil {
		return false
	}
	claimed[best] = claimed[best].Add(st.Takes())
	for _, r := range victims {
		s.note("run preempted", r.task.owner().ID, "Task", r.task.id().String(), "Run", r.number, "Worker", string(best.ID),
			"For", string(st.occ.job.ID), "Priority", priority, "AgeMs", now.Sub(r.since).Milliseconds())
		s.stopRun(now, r)
	}
	return true
}

// victims lists the runs to be stopped on a worker for a room, the youngest first: none
// if enough is free or being freed. It reports false where the room can't be made.
func (s *Scheduler) victims(now time.Time, w *worker, need, claimed job.Resources, priority int) ([]*run, bool) {
	free := w.free().Sub(claimed)
	var may []*run
	for _, r := range w.runs.all() {
		switch {
		case r.phase == stopping || r.phase == stopped:
			free = free.Add(r.resources)
		case s.isPreemptible(now, r, priority):
			may = append(may, r)
		}
	}
	slices.SortFunc(may, func(a, b *run) int {
		return cmp.Or(b.since.Compare(a.since), cmp.Compare(a.number, b.number))
	})
	var list []*run
	for _, r := range may {
		if free.Fits(need) {
			break
		}
		free = free.Add(r.resources)
		list = append(list, r)
	}
	return list, free.Fits(need)
}

// isPreemptible reports whether a run may be stopped for a queue of a priority: nothing
// but a restart is lost by it.
func (s *Scheduler) isPreemptible(now time.Time, r *run, priority int) bool {
	st := r.task.step
	q, ok := s.conf.Queue(r.task.owner().Queue)
	return ok && q.Priority > priority && st.Checkpointing && !st.Gang && !st.LongRunning &&
		r.phase == running && now.Sub(r.since) >= preemptAge
}
