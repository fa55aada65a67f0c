package scheduling

import (
	"maps"
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/fleet/forecast"
	"github.com/godwitcross/godwitcross/fleet/history"
	"github.com/godwitcross/godwitcross/fleet/job"
	"github.com/godwitcross/godwitcross/fleet/queue"
	"github.com/godwitcross/godwitcross/fleet/workspace"
)

// Key prefixes of the stored records, which the next leader reads.
const (
	// ProgressPrefix is followed by a job's ID.
	ProgressPrefix = "p/"
	// RegistryPrefix is followed by the ID of a worker that may run tasks.
	RegistryPrefix = "w/"
	// WavePrefix is followed by a wave's number.
	WavePrefix = "v/"
)

// Scheduler is the state of one leader. Its methods take the current time as now, for
// durations, and as wall, the wall clock in Unix milliseconds, for stored times.
type Scheduler struct {
	// cfg holds the parameters of this leader, configuration the latest published queues and
	// pools.
	cfg           Config
	configuration *queue.Configuration
	// droppedQueues holds the last definition of each queue that the configuration dropped
	// during this leadership. Jobs outlive their queue.
	droppedQueues map[string]queue.Queue
	jobs          map[job.ID]*jobState
	// earlyCancels holds cancellations that arrived before their jobs, by the workspace that cancelled.
	earlyCancels map[job.ID]map[workspace.Name]earlyCancel
	// scheduledJobs are the jobs with occurrences that aren't due yet.
	scheduledJobs *table[job.ID, *jobState]
	// demand measures and predicts the work that arrives for each queue.
	demand *forecast.Demand
	// waitingSince is since when each pool has had waiting tasks.
	waitingSince map[string]time.Time
	// fullAt is when each pool last lacked capacity for a task that has to leave its
	// worker.
	fullAt map[string]time.Time
	// taskDurations holds the observed durations of each queue's tasks.
	taskDurations map[string]*history.Durations
	// failingImages are the images with failures since their last success.
	failingImages map[string]*failureSet
	// waiting lists the steps with waiting tasks for each queue.
	waiting *table[string, []*step]
	// pressure orders waiting work where callers may compete for too little capacity.
	pressure pressure
	// queuedJobs counts the jobs of each queue of which no task has started.
	queuedJobs map[string]int
	// unprovenOn lists the tasks with unproven runs by the worker of these runs.
	unprovenOn map[Incarnation][]*task
	// pendingStarts holds the last start of each task that got no answer and may still be carried out.
	pendingStarts map[job.Task]pendingStart
	// restartedAt is when a worker was last found to have restarted under its ID, or zero.
	restartedAt time.Time
	// lateStarts are the unanswered starts of workers that were removed.
	lateStarts map[WorkerID][]unansweredStart
	// recording are the runs that are ordered once the next commit is stored.
	recording []*run
	// tickedWall was the wall clock, in Unix milliseconds, at tickedAt, the last tick.
	tickedAt   time.Time
	tickedWall int64
	// lapsedRuns are runs that may have crashed the workers of a host.
	lapsedRuns map[HostID][]lapsedRun
	// deadlyJobs are the jobs that fail at the next tick, as a task crashes its workers.
	deadlyJobs []*jobState
	// classes are the classes of the fleet's hosts by what they offer; classVersion rises
	// with each change.
	classes      []hostClass
	classVersion int
	workers      *table[WorkerID, *worker]
	// unregistered are the entries of workers that wait for a list of hosts, as their hosts have known workers that may
	// be newer.
	unregistered map[WorkerID]otherEntry
	// foreign are entries of pools that no configuration has named yet. formerPools are the pools of earlier
	// configurations of this leader, and hasNewPools is set after a change of the configuration until the next tick.
	foreign     map[WorkerID]Entry
	formerPools map[string]bool
	hasNewPools bool
	hosts       *table[HostID, *host]
	// absent holds the hosts that the last list lacked: those in hosts, which are dropped once
	// they have left, and those of open waves.
	absent map[HostID]absence
	waves  map[int64]*wave
	// unaccounted workers may run tasks of an earlier leader and have not answered yet.
	unaccounted map[WorkerID]*unaccountedWorker
	// inheritedUntil is when all leases that an earlier leader extended have lapsed, except those
	// of workers that have answered this leader.
	inheritedUntil time.Time
	// leaderConfirmedAt is when the leadership of this host was last confirmed.
	leaderConfirmedAt time.Time
	// viewLag is how much older the view of accepted jobs, workers and publications is than
	// the last confirmation of leadership.
	viewLag time.Duration
	// startedAt is when this leader took over.
	startedAt time.Time
	// hostsListedAt is when the hosts were last listed, by a list requested at hostsRequestedAt.
	hostsListedAt, hostsRequestedAt time.Time
	// hostOrdersAt holds the times of the orders for hosts in the last second, the oldest first.
	hostOrdersAt []time.Time
	// nextBalance is when pools are next compared with their demand.
	nextBalance time.Time
	// evaluations counts the workers evaluated for a task, and placementTook sums the duration
	// of placement rounds, since the pools were last logged.
	evaluations   int
	placementTook time.Duration
	// placedAt is when the last placement round began, and placementRestUntil the end of the
	// rest after it. isPlacing is set until EndTick is told the end of the round.
	placedAt, placementRestUntil time.Time
	isPlacing                    bool
	// nextHedge is when runs that need a second attempt are next looked for.
	nextHedge time.Time
	// nextPreempt is when runs may next be stopped in favour of earlier queues.
	nextPreempt time.Time
	// nextWorkerTick is when the next pass over all workers is due.
	nextWorkerTick time.Time
	// nextPoolLog is when the state of the pools is next logged.
	nextPoolLog time.Time
	// registrations counts the records of workers that this leader has stored.
	registrations int64
	// lastToken is the highest token of an order to a worker, counted from the first of the term.
	lastToken int64
	// hostOrderSeq makes the token of each order for a host higher than all earlier ones.
	hostOrderSeq int64

	// inheritedHosts were reserved by earlier leaders and haven't been listed yet.
	inheritedHosts map[HostID]bool

	// changed are the jobs whose progress is part of the next commit.
	changed []*jobState
	// reserving are the hosts whose reservation is part of the next commit.
	reserving []HostID
	// records are the other records of the next commit.
	records []Record
	// unstoredEnds holds, by worker, the highest end that is part of the next commit.
	unstoredEnds map[WorkerID]int64
	// lastCommit is the number of the last commit that was sent.
	lastCommit int64
	// pendingCommits are the commits that aren't stored yet, by number.
	pendingCommits map[int64]*pendingCommit
	// fenced is set once a later leader is known: by StepDown, or when a worker or the
	// platform answers that an order is fenced. Superseded means the same.
	fenced bool
	// dirty requests a placement round.
	dirty   bool
	actions []Action
	quotas  quotas
}

// earlyCancel is a cancellation without a job, last read at at. isDropping is set while a
// request to drop its record has no outcome.
type earlyCancel struct {
	at         time.Time
	isDropping bool
}

// New returns the scheduler of a leader that took over at now.
func New(now time.Time, cfg Config) *Scheduler {
	cfg.MaxLease = max(cfg.MaxLease, cfg.Lease)
	if cfg.RecordBytes <= 0 {
		cfg.RecordBytes = defaultRecordBytes
	}
	s := &Scheduler{
		cfg:               cfg,
		configuration:     queue.New(0, nil, nil, queue.Limits{}),
		droppedQueues:     make(map[string]queue.Queue),
		jobs:              make(map[job.ID]*jobState),
		earlyCancels:      make(map[job.ID]map[workspace.Name]earlyCancel),
		scheduledJobs:     newTable[job.ID, *jobState](),
		demand:            forecast.NewDemand(),
		waitingSince:      make(map[string]time.Time),
		fullAt:            make(map[string]time.Time),
		taskDurations:     make(map[string]*history.Durations),
		failingImages:     make(map[string]*failureSet),
		waiting:           newTable[string, []*step](),
		pressure:          newPressure(cfg),
		queuedJobs:        make(map[string]int),
		unprovenOn:        make(map[Incarnation][]*task),
		pendingStarts:     make(map[job.Task]pendingStart),
		lateStarts:        make(map[WorkerID][]unansweredStart),
		unregistered:      make(map[WorkerID]otherEntry),
		foreign:           make(map[WorkerID]Entry),
		formerPools:       make(map[string]bool),
		lapsedRuns:        make(map[HostID][]lapsedRun),
		workers:           newTable[WorkerID, *worker](),
		hosts:             newTable[HostID, *host](),
		absent:            make(map[HostID]absence),
		waves:             make(map[int64]*wave),
		unaccounted:       make(map[WorkerID]*unaccountedWorker),
		unstoredEnds:      make(map[WorkerID]int64),
		inheritedHosts:    make(map[HostID]bool),
		pendingCommits:    make(map[int64]*pendingCommit),
		inheritedUntil:    cfg.Previous.lapseAt(now, cfg),
		leaderConfirmedAt: now,
		startedAt:         now,
		quotas:            newQuotas(),
	}
	s.inheritPendingStarts()
	return s
}

// lapseTime is how long it takes until a lease has lapsed even on the slowest clock.
func lapseTime(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*clockDrift) + leaseMargin
}

// TakeActions returns the actions since the last call.
//
// Once a later leader is known it returns only decisions to be logged.
func (s *Scheduler) TakeActions() []Action {
	out := s.actions
	s.actions = nil
	if s.fenced {
		out = slices.DeleteFunc(out, func(a Action) bool { _, isDecision := a.(Decision); return !isDecision })
	}
	return out
}

func (s *Scheduler) emit(a Action) {
	s.actions = append(s.actions, a)
}

func (s *Scheduler) logDecision(event string, id job.ID, fields ...any) {
	s.emit(Decision{Event: event, Job: id, Fields: fields})
}

// StepDown ends this leadership: another leader took over. It sets the same state as an
// answer that a worker or the platform gives to a fenced order.
func (s *Scheduler) StepDown() {
	s.fenced = true
}

// Fenced reports whether this leader is superseded: a worker or the log knows a later
// one. The caller then stops using the scheduler.
func (s *Scheduler) Fenced() bool {
	return s.fenced
}

// ConfirmLeadership records that this host was still the leader at sentAt.
func (s *Scheduler) ConfirmLeadership(sentAt time.Time) {
	if sentAt.After(s.leaderConfirmedAt) {
		s.leaderConfirmedAt = sentAt
	}
}

// SetViewLag sets how much older the view of accepted jobs, workers and publications is than
// the last confirmation of leadership. Both age together while the store is unavailable, when
// nothing can be cancelled either. If only the view ages, a record that it lacks may forbid a
// start or a move, so none is ordered until it is current again.
func (s *Scheduler) SetViewLag(lag time.Duration) {
	wasCurrent := s.isViewCurrent()
	s.viewLag = lag
	switch isCurrent := s.isViewCurrent(); {
	case wasCurrent && !isCurrent:
		s.logDecision("starts paused: the view is old", "", "LagMs", lag.Milliseconds())
	case !wasCurrent && isCurrent:
		s.dirty = true
		s.logDecision("starts resumed: the view is current", "", "LagMs", lag.Milliseconds())
	}
}

func (s *Scheduler) isViewCurrent() bool {
	return s.viewLag <= maxViewLag
}

// Configure applies a configuration if its version is newer.
func (s *Scheduler) Configure(c *queue.Configuration) {
	if c.Version <= s.configuration.Version {
		return
	}
	for _, q := range s.configuration.Queues {
		s.droppedQueues[q.Name] = q
	}
	for _, q := range c.Queues {
		delete(s.droppedQueues, q.Name)
	}
	s.rememberPools()
	s.configuration, s.hasNewPools = c, true
	s.quotas.ledger.SetLimits(c.Workspaces)
	s.dirty = true
}

// queueOf returns the newest known definition of a job's queue. If the queue was dropped
// under an earlier leader, only what the job's record has of it is known, and ok is false.
func (s *Scheduler) queueOf(js *jobState) (q queue.Queue, ok bool) {
	if q, ok = s.knownQueue(js.Queue); ok {
		return q, true
	}
	return queue.Queue{Name: js.Queue, Pool: js.Pool, MaxAttempts: js.MaxAttempts}, false
}

// knownQueue returns the newest definition of a queue under this leader.
func (s *Scheduler) knownQueue(name string) (q queue.Queue, ok bool) {
	if q, ok = s.configuration.Queue(name); !ok {
		q, ok = s.droppedQueues[name]
	}
	return q, ok
}

// Accept adds a job from the log. Of a job that is known already only the record and its origin are
// noted: the first acceptance of an ID keeps it, also if another workspace submits a job with the same ID.
func (s *Scheduler) Accept(now time.Time, wall int64, j job.Job) {
	if js := s.jobs[j.ID]; js != nil {
		if isNew := js.addAccepted(j); isNew && j.Workspace != js.Workspace {
			s.keepID(js, j)
		}
		return
	}
	js := newJobState(j, now)
	if j.AcceptedAt > 0 {
		js.sentAt = msBefore(now, wall-j.AcceptedAt)
	}
	s.jobs[j.ID] = js
	s.pressure.uncounted = append(s.pressure.uncounted, js)
	s.logDecision("job seen", j.ID, "Queue", j.Queue, "Pool", j.Pool, "Version", j.Version, "Steps", len(j.Steps),
		"SinceAcceptedMs", wall-j.AcceptedAt)
	js.cancelledBy = slices.Sorted(maps.Keys(s.earlyCancels[j.ID]))
	delete(s.earlyCancels, j.ID)
	if slices.ContainsFunc(js.cancelledBy, js.mayBeCancelledBy) {
		s.finish(now, wall, js, job.Cancelled, "cancelled before it arrived")
		return
	}
	s.countArrival(now, js)
	s.enqueueJob(now, wall, js)
}

// keepID stores whose job has an ID that another workspace has submitted too. A later leader couldn't tell from
// the accepted records which of them was the first, as a repeated submission replaces its record.
func (s *Scheduler) keepID(js *jobState, other job.Job) {
	s.logDecision("job ID of another workspace", js.ID, "Workspace", string(js.Workspace), "Ignored", string(other.Workspace), "Queue", other.Queue)
	if !js.state.Final() {
		s.markChanged(js)
	}
}

// enqueueJob adds the occurrences that are due; a job without a schedule counts as
// queued.
func (s *Scheduler) enqueueJob(now time.Time, wall int64, js *jobState) {
	if js.Times == 0 {
		s.countQueued(js)
		s.releaseSteps(s.addOccurrence(js, 0, js.acceptedAt))
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

// addDueOccurrences adds the occurrences of a scheduled job that are due by now.
func (s *Scheduler) addDueOccurrences(now time.Time, wall int64, js *jobState) {
	for k := len(js.occurrences); k < js.Times && wall >= js.DueAt(k); k++ {
		s.logDecision("occurrence due", js.ID, "Occurrence", k, "LateMs", wall-js.DueAt(k))
		s.releaseSteps(s.addOccurrence(js, k, now))
	}
	if len(js.occurrences) == js.Times {
		s.scheduledJobs.drop(js.ID)
	}
}

// Cancel cancels a job, also one that arrives later. A cancellation by another workspace than the job's has
// no effect.
func (s *Scheduler) Cancel(now time.Time, wall int64, id job.ID, by workspace.Name) {
	js := s.jobs[id]
	if js == nil {
		if s.earlyCancels[id] == nil {
			s.earlyCancels[id] = make(map[workspace.Name]earlyCancel)
		}
		s.earlyCancels[id][by] = earlyCancel{at: now}
		return
	}
	js.addCancelled(by)
	if !js.mayBeCancelledBy(by) {
		s.logDecision("cancellation by another workspace ignored", id, "Workspace", string(js.Workspace), "By", string(by))
		return
	}
	s.markStarted(js)
	s.finish(now, wall, js, job.Cancelled, "cancelled by its caller")
}

// markStarted marks a job as started and no longer queued.
func (s *Scheduler) markStarted(js *jobState) {
	if js.hasStarted {
		return
	}
	js.hasStarted = true
	s.uncountQueued(js)
}

// countQueued adds a job to those of which no task has started.
func (s *Scheduler) countQueued(js *jobState) {
	js.isQueued = true
	s.queuedJobs[js.Queue]++
}

// uncountQueued removes a job from those of which no task has started, if it is one.
func (s *Scheduler) uncountQueued(js *jobState) {
	if js.isQueued {
		js.isQueued = false
		s.queuedJobs[js.Queue]--
	}
}

// State returns the state of a job that callers may see, and its queue.
func (s *Scheduler) State(id job.ID) (job.State, string, bool) {
	js := s.jobs[id]
	if js == nil {
		return "", "", false
	}
	if js.storedState.Final() {
		return js.storedState, js.Queue, true
	}
	if js.hasStarted {
		return job.Running, js.Queue, true
	}
	return job.Queued, js.Queue, true
}

// WorkspaceOf returns the workspace of a known job, empty if it belongs to none.
func (s *Scheduler) WorkspaceOf(id job.ID) workspace.Name {
	if js := s.jobs[id]; js != nil {
		return js.Workspace
	}
	return ""
}

// QueuedJobs returns the number of jobs of a queue of which no task has started.
func (s *Scheduler) QueuedJobs(queue string) int {
	return s.queuedJobs[queue]
}

// Tick does what is due by now and places waiting tasks.
func (s *Scheduler) Tick(now time.Time, wall int64) {
	s.tickedAt, s.tickedWall = now, wall
	s.failDeadlyJobs(now, wall)
	s.registerNamed(now)
	for _, js := range s.scheduledJobs.all() {
		s.addDueOccurrences(now, wall, js)
	}
	if !now.Before(s.nextWorkerTick) {
		s.nextWorkerTick = now.Add(workerTickInterval)
		s.tickWorkers(now)
	}
	s.tickHosts(now)
	if s.isPlacementDue(now) {
		s.dirty = false
		s.placedAt = now
		s.isPlacing = true
		s.place(now)
		s.hedge(now)
	}
}

func (s *Scheduler) isPlacementDue(now time.Time) bool {
	if now.Before(s.placementRestUntil) || !s.isViewCurrent() {
		return false
	}
	return s.dirty && !now.Before(s.placedAt.Add(s.placementGap())) || !now.Before(s.placedAt.Add(placementInterval))
}

// EndTick records when the work of the last Tick ended. A placement round is followed by a rest
// in proportion to its duration.
func (s *Scheduler) EndTick(now time.Time) {
	if !s.isPlacing {
		return
	}
	s.isPlacing = false
	took := now.Sub(s.placedAt)
	s.placementTook += took
	s.placementRestUntil = now.Add(min(placementRest*took, maxPlacementRest))
}

// Forget drops ended jobs in two steps, in the order that job.Progress demands. Once a job's
// end is stored, and no run of it can count against a limit any more, it drops the job's text
// and steps and returns its ID: its accepted and cancelled records are to be dropped, and
// Forgotten is to be told the outcome. After the retention it drops the job and its progress
// record. It also returns the IDs of expired cancellations whose job never arrived.
func (s *Scheduler) Forget(now time.Time) []job.ID {
	var ids []job.ID
	for id, js := range s.jobs {
		if !js.storedState.Final() {
			continue
		}
		if js.workRecords == recordsStored && !s.isEndRemembered(now, js) {
			js.workRecords = recordsDropping
			js.drops++
			ids = append(ids, id)
			js.occurrences = s.occurrencesWithRuns(js)
			js.Text, js.Steps = "", nil
		}
		// An old view may lack a record that was written again.
		if js.workRecords == recordsDropped && now.Sub(js.endedAt) > s.cfg.Retention && s.isViewCurrent() {
			delete(s.jobs, id)
			s.records = append(s.records, js.dropBlocks(nil)...)
			s.records = append(s.records, Record{Key: ProgressPrefix + string(id)})
		}
	}
	for id, cancels := range s.earlyCancels {
		isExpired := false
		for by, c := range cancels {
			if !c.isDropping && now.Sub(c.at) > s.cfg.Retention {
				cancels[by] = earlyCancel{at: c.at, isDropping: true}
				isExpired = true
			}
		}
		if isExpired {
			ids = append(ids, id)
		}
	}
	return ids
}

// Origins returns the origins of the accepted records of a job ID, as far as the leader knows.
func (s *Scheduler) Origins(id job.ID) []Origin {
	if js := s.jobs[id]; js != nil {
		return slices.Clone(js.origins)
	}
	return nil
}

// CancelledBy returns the workspaces whose cancelled records of a job ID are to be dropped, as far as
// the leader knows.
func (s *Scheduler) CancelledBy(id job.ID) []workspace.Name {
	if js := s.jobs[id]; js != nil {
		return slices.Clone(js.cancelledBy)
	}
	var names []workspace.Name
	for by, c := range s.earlyCancels[id] {
		if c.isDropping {
			names = append(names, by)
		}
	}
	return names
}

// Forgotten handles the outcome of a request to drop the records of jobs that Forget
// returned. Without a confirmation, dropped is false and Forget returns them again.
func (s *Scheduler) Forgotten(ids []job.ID, dropped bool) {
	for _, id := range ids {
		if js := s.jobs[id]; js != nil {
			js.dropAnswered(dropped)
			continue
		}
		s.forgottenEarly(id, dropped)
	}
}

// forgottenEarly handles the outcome of a request to drop expired cancellations of a job that never arrived.
func (s *Scheduler) forgottenEarly(id job.ID, dropped bool) {
	cancels := s.earlyCancels[id]
	for by, c := range cancels {
		switch {
		case !c.isDropping:
		case dropped:
			delete(cancels, by)
		default:
			cancels[by] = earlyCancel{at: c.at}
		}
	}
	if len(cancels) == 0 {
		delete(s.earlyCancels, id)
	}
}

// dropAnswered handles the outcome of a request to drop the accepted and cancelled records.
func (js *jobState) dropAnswered(dropped bool) {
	if js.drops == 0 {
		return // the request was for an earlier cancellation
	}
	js.drops--
	switch {
	case !dropped:
		js.workRecords = recordsStored
	case js.workRecords == recordsDropping && js.drops == 0:
		js.workRecords = recordsDropped
	}
}

// occurrencesWithRuns returns the occurrences of an ended job that still have runs.
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

// RegisteredWorkers returns the IDs that have an entry.
func (s *Scheduler) RegisteredWorkers() []WorkerID {
	var ids []WorkerID
	for id, w := range s.workers.all() {
		if w.registered {
			ids = append(ids, id)
		}
	}
	return append(ids, s.entryIDs()...)
}
