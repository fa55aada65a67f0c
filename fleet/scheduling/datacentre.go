package scheduling

import "time"

// A job's tasks run in its home data centre, and in another one only after that data
// centre is stored with the job. A new leader that can't reach the workers of a data
// centre thus knows which jobs can't have tasks there, and continues with these at once.

// mayRunIn reports whether tasks of the job may run in a data centre now, or may have
// been started there by an earlier leader.
func (js *jobState) mayRunIn(dataCentre string) bool {
	return js.Home == "" || dataCentre == js.Home || js.dataCentres.contains(dataCentre)
}

// addDataCentre stores that a job's tasks may run in one more data centre: that of the
// feasible worker with the most free capacity for the step. The tasks that need it wait
// until the record is stored.
func (s *Scheduler) addDataCentre(now time.Time, v *poolView, st *step) {
	js := st.occ.job
	if js.Home == "" || js.dataCentres.isAdding {
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
	js.dataCentres.add(best.DataCentre)
	s.markChanged(js)
	s.logDecision("job may run in another data centre", js.ID, "DataCentre", best.DataCentre, "Home", js.Home, "Step", st.number)
}

// addDataCentreFor adds a data centre for the job of a run that has to leave its worker.
func (s *Scheduler) addDataCentreFor(now time.Time, r *run) {
	if pool, ok := s.poolOf(r.task.job()); ok {
		s.addDataCentre(now, s.view(now, pool), r.task.step)
	}
}
