package scheduling

import (
	"cmp"
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/fleet/job"
)

// poolView is the state of a pool during one placement round.
type poolView struct {
	workers []*worker
	// maxFree is an upper bound of the free resources of each kind on any one worker,
	// maxFreeIn on any one in each data centre.
	maxFree   job.Resources
	maxFreeIn map[string]job.Resources
	// isTight is set while the bounds are those of the present state, no run having started since.
	isTight bool
	// lastPriority is the priority of the pool's last queue.
	lastPriority int
	// starved are the steps of earlier queues that found no capacity in this round.
	starved []*step
}

// view returns the workers of a pool that may get tasks, in the order of their IDs.
func (s *Scheduler) view(now time.Time, pool string) *poolView {
	v := &poolView{maxFreeIn: make(map[string]job.Resources)}
	// A worker without admission control starts even what doesn't fit, so it gets no task
	// while it has a run of unknown size.
	p, _ := s.configuration.Pool(pool)
	hasAdmissionControl := p.AdmissionControl
	v.lastPriority = s.configuration.LastPriority(pool)
	for _, w := range s.workers.all() {
		if w.Pool != pool || !w.isSchedulable(now) || (!hasAdmissionControl && len(w.orphans) > 0) {
			continue
		}
		v.workers = append(v.workers, w)
	}
	slices.SortFunc(v.workers, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	v.tighten()
	return v
}

// tighten sets the bounds of the free resources anew. In a full pool most steps then fail at the bounds, without
// a look at each worker.
func (v *poolView) tighten() {
	if v.isTight {
		return
	}
	v.isTight = true
	v.maxFree = job.Resources{}
	clear(v.maxFreeIn)
	for _, w := range v.workers {
		free := w.free()
		v.maxFree = v.maxFree.Max(free)
		v.maxFreeIn[w.DataCentre] = v.maxFreeIn[w.DataCentre].Max(free)
	}
}

// isSchedulable reports whether the worker may get new tasks.
func (w *worker) isSchedulable(now time.Time) bool {
	return w.registered && !w.entryUnread && !w.restartSuspected && w.other == nil && !w.awaitsLapse && !w.leaseGivenUp && w.contacted && w.registration == registrationStored &&
		!w.Draining && !w.cordoned &&
		w.unreachableSince.IsZero() && !now.Before(w.pausedUntil)
}

func (w *worker) free() job.Resources {
	return w.Capacity.Sub(w.used)
}

// mayFit reports whether a task of the step may fit on a worker of the data centres in
// which its job may run. False is certain, true is not.
func (v *poolView) mayFit(st *step) bool {
	js := st.occ.job
	if js.Home == "" {
		return true
	}
	for dataCentre, free := range v.maxFreeIn {
		if js.mayRunIn(dataCentre) && free.Fits(st.Requests()) {
			return true
		}
	}
	return false
}
