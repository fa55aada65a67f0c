package scheduling

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/fleet/job"
	"github.com/godwitcross/godwitcross/fleet/workspace"
)

// Restored is the stored state with which a leader takes over.
type Restored struct {
	// Jobs are the accepted records. A job ID has several if a submission was repeated after its queue
	// had got another pool, or if several workspaces have submitted jobs with it.
	Jobs      []job.Job
	Cancelled []Cancellation
	Progress  map[job.ID]job.Progress
	// Blocks is the progress that is stored in blocks, by the number of the block.
	Blocks   map[job.ID]map[int]job.Progress
	Registry []Entry
	Waves    map[int64]WaveProgress
	// Reserved are the hosts for which earlier leaders may have sent orders.
	Reserved []HostID
}

// Cancellation is a cancelled record. Workspace is empty for one by a caller without a workspace.
type Cancellation struct {
	Job       job.ID
	Workspace workspace.Name
}

// newest returns the latest wall clock that a record holds, in Unix milliseconds. The age of ended jobs counts
// until then at most: a host whose clock is ahead would forget them before their retention is over, and
// take a submission that is repeated for a new job.
func (r Restored) newest() int64 {
	var at int64
	for _, p := range r.Progress {
		at = max(at, p.EndedAt)
	}
	for _, j := range r.Jobs {
		at = max(at, j.AcceptedAt)
	}
	return at
}

// submissions returns the accepted records, the first one of each job before those of its repeated
// submissions. Of the workspaces that submitted jobs with the same ID, the one that the progress names comes
// first. Without progress it is the one with the oldest record.
func (r Restored) submissions() []job.Job {
	return slices.SortedStableFunc(slices.Values(r.Jobs), func(a, b job.Job) int {
		return cmp.Or(cmp.Compare(r.rank(a), r.rank(b)), cmp.Compare(a.Version, b.Version), cmp.Compare(a.AcceptedAt, b.AcceptedAt))
	})
}

// rank returns 1 for an accepted record of another workspace than the progress of its ID names, 0 for others.
func (r Restored) rank(j job.Job) int {
	if p, ok := r.Progress[j.ID]; ok && p.Workspace != j.Workspace {
		return 1
	}
	return 0
}

// DecodeEntry decodes a worker's stored record.
func DecodeEntry(b []byte) (Entry, error) {
	var e Entry
	err := json.Unmarshal(b, &e)
	return e, err
}

// Restore loads the state that earlier leaders stored. It is called once, before any
// event.
func (s *Scheduler) Restore(now time.Time, wall int64, r Restored) {
	for _, e := range r.Registry {
		w := s.newWorker(now, e)
		w.registration = registrationStored
		w.registered = false
		s.workers.put(e.ID, w)
		s.addUnaccounted(w)
		if age := wall - e.StartedAt; e.Restarted && age < restartMemory.Milliseconds() {
			s.restartedAt = later(s.restartedAt, msBefore(now, age))
		}
	}
	agesUntil := min(wall, r.newest())
	for id, p := range r.Progress {
		if !p.State.Final() {
			continue
		}
		s.jobs[id] = &jobState{
			Job: job.Job{ID: id, Workspace: p.Workspace}, state: p.State, storedState: p.State, hasStarted: true, inherited: true, workRecords: recordsDropped,
			endedAt: msBefore(now, agesUntil-p.EndedAt), endedWall: p.EndedAt, blocks: r.storedBlocks(id),
		}
	}
	for _, j := range r.submissions() {
		if js := s.jobs[j.ID]; js != nil {
			isNew := js.addAccepted(j)
			if j.Workspace == js.Workspace {
				js.Queue = cmp.Or(js.Queue, j.Queue)
				s.inheritEnded(wall, js, j)
			} else if isNew {
				s.keepID(js, j)
			}
			continue
		}
		s.restoreJob(now, wall, j, r.progress(j.ID), r.storedBlocks(j.ID))
	}
	for _, c := range r.Cancelled {
		s.Cancel(now, wall, c.Job, c.Workspace)
	}
	for _, id := range r.Reserved {
		s.inheritedHosts[id] = true
	}
	for n, p := range r.Waves {
		s.waves[n] = newWave(p)
	}
	s.logDecision("state restored", "", "Jobs", len(r.Jobs), "Progress", len(r.Progress), "Workers", len(r.Registry), "Term", s.cfg.Term, "Epoch", s.cfg.Epoch)
}

// msBefore returns the time ms milliseconds before now.
func msBefore(now time.Time, ms int64) time.Time {
	return now.Add(-time.Duration(max(ms, 0)) * time.Millisecond)
}

// restoreJob adds an accepted job with its stored progress.
func (s *Scheduler) restoreJob(now time.Time, wall int64, j job.Job, p job.Progress, blocks map[int][]byte) {
	for _, t := range p.DoneTasks(j) {
		p.Tasks = append(p.Tasks, job.TaskProgress{Occurrence: t.Occurrence, Step: t.Step, Index: t.Index, Done: true})
	}
	js := newJobState(j, msBefore(now, wall-j.AcceptedAt))
	js.inherited, js.blocks = true, blocks
	js.dataCentres, js.pools = restoredAdditions(p.DataCentres), restoredAdditions(p.Pools)
	s.jobs[j.ID] = js
	s.pressure.uncounted = append(s.pressure.uncounted, js)
	if js.Times == 0 {
		s.countQueued(js)
	} else {
		s.scheduledJobs.put(js.ID, js)
	}
	for k, begun := 0, begunOccurrences(p); k < js.Occurrences(); k++ {
		due := js.DueAt(k)
		if due > wall && k >= begun {
			break
		}
		dueAt := js.acceptedAt
		if due > 0 {
			dueAt = msBefore(now, wall-due)
		}
		s.addOccurrence(js, k, dueAt)
	}
	if p.State == job.Running {
		s.markStarted(js)
	}
	for _, tp := range p.Tasks {
		s.restoreTask(job.Task{Job: j.ID, Occurrence: tp.Occurrence, Step: tp.Step, Index: tp.Index}, tp)
	}
	for _, o := range js.occurrences {
		s.restoreSteps(now, wall, o)
	}
	if len(js.occurrences) == js.Times {
		s.scheduledJobs.drop(js.ID)
	}
}

func (s *Scheduler) restoreTask(id job.Task, tp job.TaskProgress) {
	t := s.findTask(id)
	if t == nil {
		s.logDecision("progress of an unknown task skipped", id.Job, "Task", id.String())
		return
	}
	t.failed, t.crashed, t.checkpoint = tp.Failed, tp.Crashed, tp.Checkpoint
	t.lateCrashed, t.crashAge = tp.LateCrashed, time.Duration(tp.CrashAgeMs)*time.Millisecond
	for _, number := range slices.Concat(tp.Failed, tp.Crashed, tp.LateCrashed) {
		t.lastRun = max(t.lastRun, number)
	}
	s.restoreUnproven(t, tp.Unproven)
	js := t.job()
	js.crashes += t.crashCount()
	js.storedCrashes = js.crashes
	s.giveUpIfDeadly(t)
	if tp.Done && !t.done {
		t.done = true
		t.step.doneTasks++
	}
}

// restoreSteps counts the done steps of an occurrence and releases those that are ready,
// or finishes the job if its last occurrence is done.
func (s *Scheduler) restoreSteps(now time.Time, wall int64, o *occurrence) {
	for _, st := range o.steps {
		if st.doneTasks == st.Count {
			o.doneSteps++
		}
	}
	if o.doneSteps < len(o.steps) {
		s.releaseSteps(o)
		return
	}
	o.job.doneOccurrences++
	if o.job.doneOccurrences == o.job.Occurrences() {
		s.finish(now, wall, o.job, job.Completed, "all tasks done")
	}
}

// begunOccurrences returns how many occurrences have begun by the stored progress, also if the clock of this
// host is behind that of the earlier leader.
func begunOccurrences(p job.Progress) int {
	begun := 0
	for _, t := range p.Tasks {
		begun = max(begun, t.Occurrence+1)
	}
	return begun
}
