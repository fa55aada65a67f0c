package scheduling

import (
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/fleet/job"
)

// choose returns the eligible worker with the highest score for a task, or nil.
func (s *Scheduler) choose(now time.Time, v *poolView, st *step, t *task) *worker {
	var best *worker
	var bestScore float64
	awaited, isAwaited := s.awaitedWorker(now, t)
	isSuspect, isApart := t.crashCount() > 0, t.mustBeApart(now)
	for _, w := range v.workers {
		if isAwaited && w.ID != awaited || !s.isEligible(now, st, w) || t.isOn(w) {
			continue
		}
		score := s.score(st, t, w)
		if w.done.IsSlow(now) {
			score -= weightSlow
		}
		if isSuspect && w.hasSuspects(now) {
			if isApart {
				continue
			}
			score -= weightApart
		}
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// chooseFor returns the worker on which a task starts, or nil.
func (s *Scheduler) chooseFor(now time.Time, v *poolView, st *step, t *task) *worker {
	if t.isIsolated() {
		return s.chooseIsolated(now, v, st, t)
	}
	return s.choose(now, v, st, t)
}

// isEligible reports whether a worker is feasible for the step, in a data centre where the job
// may run, and not kept for an isolated run.
func (s *Scheduler) isEligible(now time.Time, st *step, w *worker) bool {
	// Capacity comes first: that is what most workers of a busy pool lack.
	return s.isFeasible(now, st, w) && w.acceptsNewRuns(now) && st.occ.job.mayRunIn(w.DataCentre)
}

// isFeasible reports whether a worker has the capacity for a task of the step and meets
// its constraints, regardless of the worker's data centre.
func (s *Scheduler) isFeasible(now time.Time, st *step, w *worker) bool {
	if !w.free().Fits(st.Requests()) {
		s.evaluations++
		return false
	}
	return s.meetsConstraints(now, st, w)
}

// meetsConstraints reports whether a worker could run a task of the step, leaving its
// free capacity out of account.
func (s *Scheduler) meetsConstraints(now time.Time, st *step, w *worker) bool {
	s.evaluations++
	if w.onProbation && w.runs.len() > 0 {
		return false
	}
	if st.AntiAffinity > 0 && w.runsByStep[st] >= st.AntiAffinity {
		return false
	}
	if st.Requires != "" && !slices.Contains(w.Labels, st.Requires) {
		return false
	}
	return !st.advice.required || st.advice.allows(now, w.ID)
}

// Weights of a worker's score. The unit is the dominant share of the worker in use.
const (
	// weightRack makes a rack near the data outweigh bin packing.
	weightRack = 4.0
	// weightSameRack and weightSameDataCentre keep the tasks of a job together, so that the
	// loss of a rack or a data centre delays few jobs instead of a part of every job. The
	// same rack outweighs bin packing, the same data centre half of it.
	weightSameRack       = 1.0
	weightSameDataCentre = 0.6
	// weightLastFailedOn keeps a task off the worker on which it failed as long as others
	// fit.
	weightLastFailedOn = 8.0
	// weightSlow keeps tasks off a slow worker as long as others fit.
	weightSlow = 2.0
	// weightSpread keeps long-running tasks on different racks.
	weightSpread = 2.0
)

// score rates a worker for a task. Tasks are bin packed, so that other hosts become idle
// and may leave the pool; backfill tasks prefer the least loaded workers, and
// long-running tasks are also spread over racks.
func (s *Scheduler) score(st *step, t *task, w *worker) float64 {
	score := dominantShare(w.used, w.Capacity)
	if st.Backfill {
		score = -score
	}
	if st.Affinity != "" && st.Affinity == w.Rack {
		score += weightRack
	}
	if st.SameRack {
		score += weightRack * float64(st.onRack(w.Rack)) / float64(st.Count)
	}
	switch {
	case st.LongRunning:
		score -= weightSpread * float64(st.onRack(w.Rack)) / float64(st.Count)
	case st.occ.onRacks[w.Rack] > 0:
		score += weightSameRack + weightSameDataCentre
	case st.occ.inDataCentres[w.DataCentre] > 0:
		score += weightSameDataCentre
	}
	if t.lastFailedOn == w.ID {
		score -= weightLastFailedOn
	}
	return score
}

// onRack counts the step's tasks that have a run on a rack.
func (st *step) onRack(rack string) int {
	n := 0
	for _, t := range st.tasks {
		if t.run != nil && t.run.worker.Rack == rack {
			n++
		}
	}
	return n
}

// dominantShare returns the larger of the shares of processor and memory in use.
func dominantShare(used, capacity job.Resources) float64 {
	var cpu, mem float64
	if capacity.CPU > 0 {
		cpu = float64(used.CPU) / float64(capacity.CPU)
	}
	if capacity.MemMB > 0 {
		mem = float64(used.MemMB) / float64(capacity.MemMB)
	}
	return max(cpu, mem)
}
