package scheduling

import (
	"time"

	"github.com/godwitcross/godwitcross/fleet/job"
)

// openCommit is a commit that was not answered yet.
type openCommit struct {
	jobs       map[*jobState]storedJob
	ends       map[WorkerID]incarnationEnds
	registered []*worker
	// hosts are those whose reservation it holds.
	hosts []HostID
}

// storedJob is what a commit holds of a job.
type storedJob struct {
	state       job.State
	dataCentres []string
}

type incarnationEnds struct {
	incarnation Incarnation
	countedEnd  int64
}

// HasChanges reports whether there is anything to store.
func (s *Scheduler) HasChanges() bool {
	return len(s.changed) > 0 || len(s.records) > 0 || len(s.ended) > 0
}

// IsUrgent reports whether somebody waits for the open commit: the caller of a job
// that ended, or tasks that may not start somewhere before it is stored.
func (s *Scheduler) IsUrgent() bool {
	if len(s.records) > 0 {
		return true
	}
	for _, js := range s.changed {
		if js.state.Final() || js.addingDataCentre {
			return true
		}
	}
	return false
}

// Flush closes the open commit, if there is anything to store.
func (s *Scheduler) Flush() {
	if len(s.changed) == 0 && len(s.records) == 0 && len(s.ended) == 0 {
		return
	}
	s.commit++
	oc := &openCommit{jobs: make(map[*jobState]storedJob), ends: make(map[WorkerID]incarnationEnds)}
	records := s.records
	for _, js := range s.changed {
		js.changed = false
		b, err := js.progress().Encode()
		if err != nil {
			s.note("progress not encoded", js.ID, "Error", err.Error())
			continue
		}
		records = append(records, Record{Key: ProgressPrefix + string(js.ID), Value: b})
		oc.jobs[js] = storedJob{state: js.state, dataCentres: js.nextDataCentres}
	}
	for id, noted := range s.ended {
		if w := s.workers.get(id); w != nil {
			oc.ends[id] = incarnationEnds{incarnation: w.Incarnation, countedEnd: noted}
		}
	}
	for _, w := range s.workers.all() {
		if w.registration == registrationOpen {
			w.registration = registrationSent
			oc.registered = append(oc.registered, w)
		}
	}
	oc.hosts = s.reserving
	s.changed, s.records, s.reserving = nil, nil, nil
	clear(s.ended)
	s.commits[s.commit] = oc
	if len(records) == 0 {
		s.Committed(s.commit)
		return
	}
	s.emit(Commit{Number: s.commit, Records: records})
}

// Committed tells that a commit is stored: what it holds may be told to callers,
// and workers may forget the ends that it counts.
func (s *Scheduler) Committed(number int64) {
	oc := s.commits[number]
	if oc == nil {
		return
	}
	delete(s.commits, number)
	for js, stored := range oc.jobs {
		js.storedState = stored.state
		s.dataCentresStored(js, stored.dataCentres)
	}
	for id, e := range oc.ends {
		if w := s.workers.get(id); w != nil && w.Incarnation == e.incarnation && e.countedEnd > w.storedEnd {
			w.storedEnd = e.countedEnd
			if w.storedEnd == w.countedEnd {
				w.nextHold = time.Time{}
			}
		}
	}
	s.reservationsStored(oc.hosts)
	for _, w := range oc.registered {
		if w.registration == registrationSent {
			w.registration = registrationStored
			s.dirty = true
		}
	}
}
