package scheduling

import (
	"strings"
	"time"

	"github.com/godwitcross/godwitcross/fleet/job"
)

// pendingCommit is a commit that was sent and is not stored yet.
type pendingCommit struct {
	jobs       map[*jobState]storedJob
	ends       map[WorkerID]incarnationEnds
	registered []*worker
	// recorded are the runs that are ordered once the commit is stored.
	recorded []*run
	// hosts are the hosts whose reservations it holds.
	hosts []HostID
}

// storedJob is the state of a job in a commit.
type storedJob struct {
	state       job.State
	dataCentres []string
	pools       []string
	crashes     int
}

// incarnationEnds is the highest end of an incarnation that a commit counts.
type incarnationEnds struct {
	incarnation Incarnation
	countedEnd  int64
}

// HasChanges reports whether the next commit has anything to store.
func (s *Scheduler) HasChanges() bool {
	return len(s.changed) > 0 || len(s.records) > 0 || len(s.unstoredEnds) > 0
}

// IsUrgent reports whether the next commit shouldn't be delayed. It is urgent if it has the
// progress of an ended job, whose caller waits, a job's new data centre, pool, crash or unproven run, or
// any record other than progress, such as a registration: tasks or orders may wait for it.
func (s *Scheduler) IsUrgent() bool {
	if len(s.records) > 0 {
		return true
	}
	for _, js := range s.changed {
		if js.state.Final() || js.dataCentres.isAdding || js.pools.isAdding || js.hasNewUnproven || !js.crashesStored() {
			return true
		}
	}
	return false
}

// Flush sends the next commit if there is anything to store.
func (s *Scheduler) Flush() {
	if len(s.changed) == 0 && len(s.records) == 0 && len(s.unstoredEnds) == 0 {
		return
	}
	s.lastCommit++
	pending := &pendingCommit{jobs: make(map[*jobState]storedJob), ends: make(map[WorkerID]incarnationEnds)}
	// A commit may be stored in several appends, of which only the first are stored if the leader ends.
	// Records of workers come last: that of a crashed worker may be dropped only once the crash is
	// counted.
	var records, registry []Record
	for _, r := range s.records {
		if strings.HasPrefix(r.Key, RegistryPrefix) {
			registry = append(registry, r)
		} else {
			records = append(records, r)
		}
	}
	for _, js := range s.changed {
		js.changed, js.hasNewUnproven = false, false
		progress, err := s.progressRecords(js)
		if err != nil {
			s.logDecision("encoding progress failed", js.ID, "Error", err.Error())
			continue
		}
		records = append(records, progress...)
		pending.jobs[js] = storedJob{state: js.state, dataCentres: js.dataCentres.next, pools: js.pools.next, crashes: js.crashes}
	}
	records = append(records, registry...)
	for id, countedEnd := range s.unstoredEnds {
		if w := s.workers.get(id); w != nil {
			pending.ends[id] = incarnationEnds{incarnation: w.Incarnation, countedEnd: countedEnd}
		}
	}
	for _, w := range s.workers.all() {
		if w.registration == registrationOpen {
			w.registration = registrationSent
			pending.registered = append(pending.registered, w)
		}
	}
	pending.hosts, pending.recorded = s.reserving, s.recording
	s.changed, s.records, s.reserving, s.recording = nil, nil, nil, nil
	clear(s.unstoredEnds)
	s.pendingCommits[s.lastCommit] = pending
	if len(records) == 0 {
		s.Committed(s.lastCommit)
		return
	}
	s.emit(Commit{Number: s.lastCommit, Records: records})
}

// Committed handles the storage of a commit: callers may see the states that it holds,
// and workers may drop the ends that it counts.
func (s *Scheduler) Committed(number int64) {
	pending := s.pendingCommits[number]
	if pending == nil {
		return
	}
	delete(s.pendingCommits, number)
	for js, stored := range pending.jobs {
		js.storedState = stored.state
		if stored.crashes > js.storedCrashes {
			js.storedCrashes = stored.crashes
			s.dirty = true
		}
		if js.dataCentres.confirm(stored.dataCentres) {
			s.dirty = true
		}
		if js.pools.confirm(stored.pools) {
			s.dirty = true
		}
	}
	for id, e := range pending.ends {
		if w := s.workers.get(id); w != nil && w.Incarnation == e.incarnation && e.countedEnd > w.storedEnd {
			w.storedEnd = e.countedEnd
			if w.storedEnd == w.countedEnd {
				w.nextHold = time.Time{}
			}
		}
	}
	for _, r := range pending.recorded {
		r.markRecorded()
	}
	s.reservationsStored(pending.hosts)
	for _, w := range pending.registered {
		if w.registration == registrationSent {
			w.registration = registrationStored
			w.leaseGivenUp = false
			s.dirty = true
		}
	}
}
