package scheduling

import (
	"cmp"
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/fleet/job"
)

// placeGang starts all tasks of a gang under the same run number, or none of them.
func (s *Scheduler) placeGang(now time.Time, v *poolView, st *step) {
	if len(st.waiting) < st.Count || s.needsAdvice(now, v, st) {
		return
	}
	number := int64(0)
	checkpoint := ""
	for _, t := range st.tasks {
		if !s.mayStart(now, t) {
			return
		}
		number = max(number, s.nextRun(t))
		checkpoint = cmp.Or(checkpoint, t.checkpoint)
	}
	if st.hasIsolated() {
		v = v.isolatedView()
	}
	chosen := s.chooseGang(now, v, st)
	if chosen == nil {
		s.addDataCentre(now, v, st)
		return
	}
	for i, t := range st.tasks {
		t.checkpoint = checkpoint
		if !s.startRun(now, chosen[i], t, number, st.advice.ticket(chosen[i].ID)) {
			return // no lease may be granted now: the remaining tasks keep waiting
		}
		t.queued = false
	}
	st.waiting = nil
}

// chooseGang returns a worker for each task of a gang, or nil. If the step asks for a
// single rack and one has the capacity, all are on it.
func (s *Scheduler) chooseGang(now time.Time, v *poolView, st *step) []*worker {
	if st.SameRack {
		for _, rack := range v.racks(st.Affinity) {
			if c := s.assignGang(now, st, v.onRack(rack)); c != nil {
				return c
			}
		}
	}
	return s.assignGang(now, st, v.workers)
}

// assignGang assigns the gang's tasks to workers greedily, one after the other, and
// returns nil if not all of them fit.
func (s *Scheduler) assignGang(now time.Time, st *step, workers []*worker) []*worker {
	var chosen []*worker
	assigned := make(map[*worker]int)
	for len(chosen) < st.Count {
		var best *worker
		for _, w := range workers {
			need := st.Requests()
			need = job.Resources{CPU: need.CPU * int64(assigned[w]+1), MemMB: need.MemMB * int64(assigned[w]+1), GPU: need.GPU * int64(assigned[w]+1)}
			if !s.isEligible(now, st, w) || !w.free().Fits(need) || (st.AntiAffinity > 0 && assigned[w] >= st.AntiAffinity) {
				continue
			}
			if best == nil || s.score(st, st.tasks[0], w) > s.score(st, st.tasks[0], best) {
				best = w
			}
		}
		if best == nil {
			return nil
		}
		assigned[best]++
		chosen = append(chosen, best)
	}
	return chosen
}

// racks returns the pool's racks in order of their names, the preferred one first.
func (v *poolView) racks(first string) []string {
	var racks []string
	for _, w := range v.workers {
		if !slices.Contains(racks, w.Rack) {
			racks = append(racks, w.Rack)
		}
	}
	slices.SortFunc(racks, func(a, b string) int {
		if (a == first) != (b == first) {
			if a == first {
				return -1
			}
			return 1
		}
		return cmp.Compare(a, b)
	})
	return racks
}

// onRack returns the pool's workers on a rack.
func (v *poolView) onRack(rack string) []*worker {
	var ws []*worker
	for _, w := range v.workers {
		if w.Rack == rack {
			ws = append(ws, w)
		}
	}
	return ws
}
