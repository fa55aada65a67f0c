package scheduling

import (
	"slices"
	"time"
)

// A job's tasks run in its home data centre, and elsewhere only once the store holds
// where else. A new owner that can't reach workers of one data centre then knows which
// jobs can't have tasks there, and goes on with them at once.

// mayRunIn reports whether tasks of the job may run in a data centre now, or may have
// been started there by an earlier owner.
func (js *jobState) mayRunIn(centre string) bool {
	return js.Home == "" || centre == js.Home || slices.Contains(js.dataCentres, centre)
}

// addDataCentre has it stored that a job's tasks may run in one more data centre: that of the
// worker with the most room that suits the step. The job waits for it.
func (s *Scheduler) addDataCentre(now time.Time, v *poolView, st *step) {
	js := st.occ.job
	if js.Home == "" || js.addingDataCentre {
		return
	}
	var best *worker
	for _, w := range v.workers {
		if !s.isFeasible(now, st, w) || js.mayRunIn(w.DataCentre) {
			continue
		}
		if best == nil || dominantShare(w.used, w.Capacity) < dominantShare(best.used, best.Capacity) {
			best = w
		}
	}
	if best == nil {
		return
	}
	js.addingDataCentre = true
	js.nextDataCentres = append(slices.Clone(js.dataCentres), best.DataCentre)
	s.change(js)
	s.note("job may run in another data centre", js.ID, "DataCentre", best.DataCentre, "Home", js.Home, "Step", st.number)
}

// dataCentresStored tells that the store holds where else a job may run.
func (s *Scheduler) dataCentresStored(js *jobState, centres []string) {
	if len(centres) > len(js.dataCentres) {
		js.dataCentres = centres
		s.dirty = true
	}
	if len(js.dataCentres) == len(js.nextDataCentres) {
		js.addingDataCentre = false
	}
}

// addDataCentreFor lets a job run elsewhere whose task has to leave its worker.
func (s *Scheduler) addDataCentreFor(now time.Time, r *run) {
	if pool, ok := s.poolOf(r.task.owner()); ok {
		s.addDataCentre(now, s.view(now, pool), r.task.step)
	}
}
