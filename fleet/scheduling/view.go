package scheduling

import (
	"cmp"
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/fleet/job"
)

// poolView is a pool during one round of placement.
type poolView struct {
	workers []*worker
	// largest is at least the largest free room of each kind among the workers, largestIn
	// among those of a data centre.
	largest   job.Resources
	largestIn map[string]job.Resources
	// lastPriority is that of the pool's queue that comes last.
	lastPriority int
	// starved steps of earlier queues have found no room in this round.
	starved []*step
}

// view lists the workers of a pool that may get tasks.
func (s *Scheduler) view(now time.Time, pool string) *poolView {
	v := &poolView{largestIn: make(map[string]job.Resources)}
	// Workers that don't reject what doesn't fit must have no run of unknown size.
	p, _ := s.conf.Pool(pool)
	isGuarded := p.Guarded
	v.lastPriority = s.conf.LastPriority(pool)
	for _, w := range s.workers.all() {
		if w.Pool != pool || !w.isSchedulable(now) || (!isGuarded && len(w.orphans) > 0) {
			continue
		}
		v.workers = append(v.workers, w)
		v.largest = v.largest.Max(w.free())
		v.largestIn[w.DataCentre] = v.largestIn[w.DataCentre].Max(w.free())
	}
	slices.SortFunc(v.workers, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	return v
}

// isSchedulable reports whether the worker may get new tasks.
func (w *worker) isSchedulable(now time.Time) bool {
	return w.registered && w.contacted && w.registration == registrationStored && !w.Draining && !w.cordoned &&
		w.unreachableSince.IsZero() && !now.Before(w.pausedUntil)
}

func (w *worker) free() job.Resources {
	return w.Capacity.Sub(w.used)
}

// mayFit reports whether a worker where the step's job may run has room for a task.
func (v *poolView) mayFit(st *step) bool {
	js := st.occ.job
	if js.Home == "" {
		return true
	}
	for dataCentre, free := range v.largestIn {
		if js.mayRunIn(dataCentre) && free.Fits(st.Takes()) {
			return true
		}
	}
	return false
}
