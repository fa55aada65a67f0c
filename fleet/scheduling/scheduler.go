package scheduling

import (
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/fleet/job"
	"github.com/godwitcross/godwitcross/fleet/queue"
)

// Keys of the records that outlast an owner.
const (
	// ProgressPrefix precedes a job's ID.
	ProgressPrefix = "p/"
	// RegistryPrefix precedes the ID of a worker that may run tasks.
	RegistryPrefix = "w/"
	// WavePrefix precedes a wave's number.
	WavePrefix = "v/"
)

// Scheduler is the state of one owner.
type Scheduler struct {
	cfg  Config
	conf *queue.Configuration
	jobs map[job.ID]*jobState
	// earlyCancels are cancellations of jobs that haven't come yet.
	earlyCancels map[job.ID]time.Time
	// scheduledJobs jobs have occurrences that aren't due yet.
	scheduledJobs *table[job.ID, *jobState]
	// arrivals holds, for each pool, the rate of work that comes.
	arrivals map[string]*rate
	// waitingSince is since when tasks of a pool have been waiting.
	waitingSince map[string]time.Time
	// fullAt is when a pool last had no room for a task that has to leave its worker.
	fullAt map[string]time.Time
	// taskDurations holds, for each queue, how long its tasks take.
	taskDurations map[string]*durations
	// failingImages are those that have failed since their last success.
	failingImages map[string]*failureSet
	// waiting lists, for each queue, the steps with waiting tasks.
	waiting *table[string, []*step]
	// queuedJobs counts, for each queue, the jobs of which no task has started.
	queuedJobs map[string]int
	// classes are what the fleet's hosts offer; classVersion rises with each change.
	classes      []hostClass
	classVersion int
	workers      *table[WorkerID, *worker]
	hosts        *table[HostID, *host]
	waves        map[int64]*wave
	// unaccounted workers may run tasks of an earlier owner and have not answered.
	unaccounted map[WorkerID]Entry
	// inheritedUntil is when everything that an earlier owner started has lapsed.
	inheritedUntil time.Time
	// leaderConfirmedAt is when this owner was last proved to be the owner.
	leaderConfirmedAt time.Time
	// startedAt is when this owner took over.
	startedAt time.Time
	// hostsListedAt is when the hosts were last listed.
	hostsListedAt time.Time
	// hostOrderBudget is how many orders for hosts may go now, as of hostOrderBudgetAt.
	hostOrderBudget   float64
	hostOrderBudgetAt time.Time
	// nextBalance is when pools are compared with their demand again.
	nextBalance time.Time
	// evaluations counts how often a worker was looked at for a task since the last description.
	evaluations int
	// placedAt is when waiting tasks were last looked at.
	placedAt time.Time
	// nextHedge is when runs in doubt are looked for again.
	nextHedge time.Time
	// nextPreempt is when runs may be stopped for earlier queues again.
	nextPreempt time.Time
	// nextWorkerTick is when workers are looked at again.
	nextWorkerTick time.Time
	// nextPoolLog is when the log tells again how pools stand.
	nextPoolLog time.Time
	// hostOrderSeq makes the token of each order for hosts higher than all before.
	hostOrderSeq int64

	// inheritedHosts were reserved by earlier owners and haven't been listed yet.
	inheritedHosts map[HostID]bool

	changed []*jobState
	// reserving are the hosts whose reservation is part of the next commit.
	reserving []HostID
	records   []Record
	// unstoredEnds workers have ends whose record is part of the next commit.
	unstoredEnds   map[WorkerID]int64
	lastCommit     int64
	pendingCommits map[int64]*pendingCommit
	// fenced is set once another owner is known.
	fenced bool
	// dirty asks for a round of placement.
	dirty   bool
	actions []Action
}

// New returns the scheduler of an owner that took over at now.
func New(now time.Time, cfg Config) *Scheduler {
	return &Scheduler{
		cfg:               cfg,
		conf:              queue.New(0, nil, nil, queue.Limits{}),
		jobs:              make(map[job.ID]*jobState),
		earlyCancels:      make(map[job.ID]time.Time),
		scheduledJobs:     newTable[job.ID, *jobState](),
		arrivals:          make(map[string]*rate),
		waitingSince:      make(map[string]time.Time),
		fullAt:            make(map[string]time.Time),
		taskDurations:     make(map[string]*durations),
		failingImages:     make(map[string]*failureSet),
		waiting:           newTable[string, []*step](),
		queuedJobs:        make(map[string]int),
		workers:           newTable[WorkerID, *worker](),
		hosts:             newTable[HostID, *host](),
		waves:             make(map[int64]*wave),
		unaccounted:       make(map[WorkerID]Entry),
		unstoredEnds:      make(map[WorkerID]int64),
		inheritedHosts:    make(map[HostID]bool),
		pendingCommits:    make(map[int64]*pendingCommit),
		inheritedUntil:    now.Add(lapseTime(cfg.Grace + cfg.Lease)),
		leaderConfirmedAt: now,
		startedAt:         now,
	}
}

// lapseTime is how long to wait until a lease has lapsed on the slowest clock.
func lapseTime(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*clockDrift) + leaseMargin
}

// TakeActions returns the actions since the last call.
//
// Once another owner is known, nothing but lines for the log comes out.
func (s *Scheduler) TakeActions() []Action {
	out := s.actions
	s.actions = nil
	if s.fenced {
		out = slices.DeleteFunc(out, func(a Action) bool { _, isNote := a.(Note); return !isNote })
	}
	return out
}

func (s *Scheduler) emit(a Action) {
	s.actions = append(s.actions, a)
}

func (s *Scheduler) note(event string, id job.ID, fields ...any) {
	s.emit(Note{Event: event, Job: id, Fields: fields})
}

// StepDown ends this ownership: another owner took over.
func (s *Scheduler) StepDown() {
	s.fenced = true
}

// Fenced reports whether a worker or the log has met a later owner. The task
// stops then.
func (s *Scheduler) Fenced() bool {
	return s.fenced
}

// ConfirmLeadership tells that this owner was still the owner at sentAt.
func (s *Scheduler) ConfirmLeadership(sentAt time.Time) {
	if sentAt.After(s.leaderConfirmedAt) {
		s.leaderConfirmedAt = sentAt
	}
}

// Configure takes a newer configuration. Versions only rise.
func (s *Scheduler) Configure(c *queue.Configuration) {
	if c.Version > s.conf.Version {
		s.conf = c
		s.dirty = true
	}
}

// Accept takes a job that the log holds. A repeat changes nothing.
func (s *Scheduler) Accept(now time.Time, wall int64, j job.Job) {
	if s.jobs[j.ID] != nil {
		return
	}
	js := newJobState(j, now)
	s.jobs[j.ID] = js
	s.note("job seen", j.ID, "Queue", j.Queue, "Pool", j.Pool, "Version", j.Version, "Steps", len(j.Steps),
		"SinceAcceptedMs", wall-j.AcceptedAt)
	if _, ok := s.earlyCancels[j.ID]; ok {
		delete(s.earlyCancels, j.ID)
		s.finish(now, wall, js, job.Cancelled, "cancelled before it came")
		return
	}
	s.countArrival(now, js)
	s.enqueueJob(now, wall, js)
}

// enqueueJob makes the occurrences that are due and counts the job as waiting.
func (s *Scheduler) enqueueJob(now time.Time, wall int64, js *jobState) {
	if js.Times == 0 {
		s.queuedJobs[js.Queue]++
		s.release(s.addOccurrence(js, 0, js.since))
		return
	}
	s.scheduledJobs.put(js.ID, js)
	s.addDueOccurrences(now, wall, js)
}

func (s *Scheduler) addOccurrence(js *jobState, number int, dueAt time.Time) *occurrence {
	o := newOccurrence(js, number, dueAt)
	js.occurrences = append(js.occurrences, o)
	return o
}

// addDueOccurrences opens each occurrence of a scheduled job whose time has come.
func (s *Scheduler) addDueOccurrences(now time.Time, wall int64, js *jobState) {
	for k := len(js.occurrences); k < js.Times && wall >= js.DueAt(k); k++ {
		s.note("occurrence due", js.ID, "Occurrence", k, "LateMs", wall-js.DueAt(k))
		s.release(s.addOccurrence(js, k, now))
	}
	if len(js.occurrences) == js.Times {
		s.scheduledJobs.drop(js.ID)
	}
}

// Cancel ends a job for good, also one that comes later.
func (s *Scheduler) Cancel(now time.Time, wall int64, id job.ID) {
	js := s.jobs[id]
	if js == nil {
		s.earlyCancels[id] = now
		return
	}
	s.markBegun(js)
	s.finish(now, wall, js, job.Cancelled, "cancelled by its caller")
}

// markBegun takes a job out of the number of those that wait.
func (s *Scheduler) markBegun(js *jobState) {
	if js.began {
		return
	}
	js.began = true
	if js.Times == 0 {
		s.queuedJobs[js.Queue]--
	}
}

// State returns what callers may be told of a job.
func (s *Scheduler) State(id job.ID) (job.State, string, bool) {
	js := s.jobs[id]
	if js == nil {
		return "", "", false
	}
	if js.storedState.Final() {
		return js.storedState, js.Queue, true
	}
	if js.began {
		return job.Running, js.Queue, true
	}
	return job.Queued, js.Queue, true
}

// Waiting returns how many jobs of a queue no task has started of.
func (s *Scheduler) Waiting(queue string) int {
	return s.queuedJobs[queue]
}

// Tick does what is due by time and places waiting tasks.
func (s *Scheduler) Tick(now time.Time, wall int64) {
	for _, js := range s.scheduledJobs.all() {
		s.addDueOccurrences(now, wall, js)
	}
	if !now.Before(s.nextWorkerTick) {
		s.nextWorkerTick = now.Add(workersInterval)
		s.tickWorkers(now)
	}
	s.tickHosts(now)
	if (s.dirty && !now.Before(s.placedAt.Add(s.placeGap()))) || !now.Before(s.placedAt.Add(placeEvery)) {
		s.dirty = false
		s.placedAt = now
		s.place(now)
		s.hedge(now)
	}
}

// Forget drops jobs that ended long ago and returns the IDs whose accepted record
// isn't needed any more: their progress says all.
func (s *Scheduler) Forget(now time.Time) []job.ID {
	var ids []job.ID
	for id, js := range s.jobs {
		if !js.storedState.Final() {
			continue
		}
		if !js.forgotten {
			js.forgotten = true
			ids = append(ids, id)
			js.occurrences = s.occurrencesWithRuns(js)
			js.Text, js.Steps = "", nil
		}
		if now.Sub(js.endedAt) > s.cfg.Retention {
			delete(s.jobs, id)
			s.records = append(s.records, Record{Key: ProgressPrefix + string(id)})
		}
	}
	for id, at := range s.earlyCancels {
		if now.Sub(at) > s.cfg.Retention {
			delete(s.earlyCancels, id)
			ids = append(ids, id)
		}
	}
	return ids
}

// occurrencesWithRuns keeps the occurrences of an ended job whose runs have not ended.
func (s *Scheduler) occurrencesWithRuns(js *jobState) []*occurrence {
	var kept []*occurrence
	for _, o := range js.occurrences {
		if o.hasRuns() {
			kept = append(kept, o)
		}
	}
	return kept
}

func (o *occurrence) hasRuns() bool {
	for _, st := range o.steps {
		for _, t := range st.tasks {
			if t.run != nil {
				return true
			}
		}
	}
	return false
}

// RegisteredWorkers returns the workers whose entries are there.
func (s *Scheduler) RegisteredWorkers() []WorkerID {
	var ids []WorkerID
	for id, w := range s.workers.all() {
		if w.registered {
			ids = append(ids, id)
		}
	}
	return ids
}
