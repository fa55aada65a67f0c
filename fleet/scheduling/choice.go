package scheduling

import (
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/fleet/job"
)

// choose returns the worker that suits a task best, or nil.
func (s *Scheduler) choose(now time.Time, v *poolView, st *step, t *task) *worker {
	var best *worker
	var bestScore float64
	for _, w := range v.workers {
		if !s.isEligible(now, st, w) || t.isOn(w) {
			continue
		}
		score := s.score(st, t, w)
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// isEligible reports whether a worker may run a task of the step now.
func (s *Scheduler) isEligible(now time.Time, st *step, w *worker) bool {
	return st.occ.job.mayRunIn(w.DataCentre) && s.isFeasible(now, st, w)
}

// isFeasible reports whether a worker could run a task of the step, in whichever data centre
// it is.
func (s *Scheduler) isFeasible(now time.Time, st *step, w *worker) bool {
	if !w.free().Fits(st.Takes()) {
		s.evaluations++
		return false
	}
	return s.meetsConstraints(now, st, w)
}

// meetsConstraints reports whether a worker could run a task of the step if it had room.
func (s *Scheduler) meetsConstraints(now time.Time, st *step, w *worker) bool {
	s.evaluations++
	if w.onProbation && w.runs.len() > 0 {
		return false
	}
	if st.AntiAffinity > 0 && w.steps[st] >= st.AntiAffinity {
		return false
	}
	if st.Requires != "" && !slices.Contains(w.Labels, st.Requires) {
		return false
	}
	return !st.advice.asked || st.advice.allows(now, w.ID)
}

// Weights of the score of a worker; the unit is the share of a worker that is in use.
const (
	// weightRack makes a rack that is near the data outweigh any packing.
	weightRack = 4.0
	// weightSameRack and weightSameCentre keep the tasks of a job together, so that a
	// rack or a data centre that is lost holds up few jobs and not a part of each. A rack
	// outweighs any packing, a data centre half of it.
	weightSameRack       = 1.0
	weightSameDataCentre = 0.6
	// weightAvoid keeps a task off the worker on which it failed while others fit.
	weightAvoid = 8.0
	// weightSpread keeps tasks that last on different racks.
	weightSpread = 2.0
)

// score rates a worker for a task. Tasks that end are packed, so that other hosts
// run empty and may leave the pool; tasks that last are spread over racks.
func (s *Scheduler) score(st *step, t *task, w *worker) float64 {
	score := dominantShare(w.used, w.Capacity)
	if st.Fills {
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
	if t.avoid == w.ID {
		score -= weightAvoid
	}
	return score
}

// onRack counts the step's tasks that run on a rack.
func (st *step) onRack(rack string) int {
	n := 0
	for _, t := range st.tasks {
		if t.run != nil && t.run.worker.Rack == rack {
			n++
		}
	}
	return n
}

// dominantShare is the larger share of processor and memory in use.
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
