package scheduling

import (
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/fleet/job"
	"github.com/godwitcross/godwitcross/fleet/quota"
	"github.com/godwitcross/godwitcross/fleet/workspace"
)

// jobState is an accepted job and its progress.
type jobState struct {
	// account is that of its workspace once it is known. Use Scheduler.account.
	account *quota.Account
	job.Job
	// inherited jobs were accepted before this leader took over: an earlier leader may
	// have started their tasks.
	inherited bool
	// acceptedAt is when the job was accepted, on the leader's clock.
	acceptedAt time.Time
	// sentAt is when a host accepted the job, on the leader's clock. It is earlier than acceptedAt if the
	// leader learnt of the job late.
	sentAt time.Time
	// beyondShare is set if the share of the job's workspace had been used up at its acceptance.
	beyondShare bool
	// state is decided but may not be stored yet; storedState is stored and may be returned
	// to callers.
	state, storedState job.State
	// hasStarted is set when the first task starts or the job is cancelled.
	hasStarted bool
	// isQueued is set while the job counts as one of which no task has started.
	isQueued bool
	// occurrences holds those that are due, ordered by number.
	occurrences []*occurrence
	// doneOccurrences counts the occurrences with all steps done.
	doneOccurrences int
	// changed jobs are part of the next commit.
	changed bool
	// blocks are the blocks of the job's progress that have a stored record, or are part of a
	// pending commit, with its value; nil if that isn't known. It is nil while the progress fits in
	// one record.
	blocks map[int][]byte
	// endedAt is when the final state was decided, on the leader's clock; endedWall is the
	// same in Unix milliseconds.
	endedAt   time.Time
	endedWall int64
	// dataCentres are those besides the home data centre, and pools those besides the one at the
	// job's acceptance, where its tasks may run.
	dataCentres, pools additions
	// crashes counts the runs of its tasks that may have crashed their workers, storedCrashes
	// those of them that are stored.
	crashes, storedCrashes int
	// hasNewUnproven is set while an unproven run of its tasks is not part of a commit.
	hasNewUnproven bool
	// origins tell apart the accepted records of the job's ID. A repeated submission has another one
	// if its queue has got another pool. Those of other workspaces never run.
	origins []Origin
	// cancelledBy are the workspaces that have a cancelled record of the job's ID.
	cancelledBy []workspace.Name
	// workRecords is what the store holds of the job's accepted and cancelled records.
	workRecords workRecords
	// drops counts the requests to drop these records that have no outcome yet.
	drops int
}

// Origin tells apart the accepted records of one job ID.
type Origin struct {
	Workspace workspace.Name
	Pool      string
}

// workRecords is the state of a job's accepted and cancelled records; see job.Progress.
type workRecords int

const (
	// recordsStored records may be in the store, and no request drops all of them.
	recordsStored workRecords = iota
	// recordsDropping records are covered by requests without an outcome.
	recordsDropping
	// recordsDropped records are known not to be in the store.
	recordsDropped
)

// occurrence is one execution of all steps of a job.
type occurrence struct {
	job       *jobState
	number    int
	steps     []*step
	doneSteps int
	// dueAt is the time from which its latency objective counts.
	dueAt time.Time
	// onRacks and inDataCentres count its runs by rack and by data centre.
	onRacks, inDataCentres map[string]int
}

// step is the state of one step of an occurrence.
type step struct {
	job.Step
	occ       *occurrence
	number    int
	tasks     []*task
	doneTasks int
	// released is set once all steps that this one comes after are done.
	released bool
	// waiting holds the tasks that have neither a run nor an end, each at most once.
	waiting []*task
	// listed is set while the step is in its queue's list of steps with waiting tasks.
	listed bool
	advice advice
	// starvedAt is since when no worker has had capacity for a task, or zero.
	starvedAt time.Time
	// unschedulable is set if the step's tasks fit no host class, as of classVersion.
	unschedulable bool
	classVersion  int
	// failures holds the workers with failures since the last success; nil if there are
	// none.
	failures *failureSet
	// took holds the durations of the last successful runs, at most maxTook, and typical their median,
	// 0 before the first.
	took    []time.Duration
	typical time.Duration
	// estimate is the duration expected before the first, as of estimateVersion of the queue's history.
	estimate        time.Duration
	estimateVersion int64
}

// task is one task and its run, if it has one.
type task struct {
	step  *step
	index int
	done  bool
	// failed lists the numbers of failed runs, each once.
	failed []int64
	// crashed lists the numbers of the runs that may have crashed their workers, each once.
	crashed []int64
	// lateCrashed lists those that had gone on for longer than crashWindow, and crashAge is the highest age of them.
	lateCrashed []int64
	crashAge    time.Duration
	// suspected is set if a start of the task had no answer and its worker crashed, or if an earlier
	// leader has stored an unproven run of it.
	suspected bool
	// unproven are the runs that may crash their workers, or may have crashed them, and are part
	// of the stored progress.
	unproven []job.UnprovenRun
	// checkpoint is the checkpoint from which the next run resumes, empty if none.
	checkpoint string
	// lastRun is the highest run number used.
	lastRun int64
	run     *run
	// earlierRun is the first attempt of a hedged task, which continues in parallel to run.
	// It is nil if run is nil.
	earlierRun *run
	// lastFailedOn is the worker on which the last run failed; placement prefers others.
	lastFailedOn WorkerID
	// notBefore is when a task that a worker refused may start again.
	notBefore time.Time
	// lostAt is when the last run was declared lost, with no end reported.
	lostAt time.Time
	// queued is set while the task is one of its step's waiting tasks.
	queued bool
}

// runPhase is the state of a run as far as the leader knows.
type runPhase int

const (
	// starting runs were ordered; the answer is outstanding.
	starting runPhase = iota
	// recording runs are ordered once they are stored as unproven.
	recording
	// uncertain runs were ordered, but the call had no answer; the order is sent again.
	uncertain
	// running runs are known to exist on their worker.
	running
	// stopping runs are being stopped; the order is repeated until it is answered.
	stopping
	// stopped runs have an answered stop order; their end hasn't been reported yet.
	stopped
)

// run is one attempt of a task on a worker.
type run struct {
	task      *task
	number    int64
	worker    *worker
	phase     runPhase
	resources job.Resources
	// orderedAt is when the run was first ordered, lastSeenAt when a start was last accepted
	// or a report last listed it.
	orderedAt, lastSeenAt time.Time
	// isListed is set once a report of its worker's incarnation has listed the run; report is the number
	// of the last one that did.
	isListed bool
	report   int64
	// reportsValidFrom is the time from which a report proves that the run continues. Before
	// it, a stop order of an earlier leader may still be ending the run.
	reportsValidFrom time.Time
	// retryAt is when an unanswered order is sent again; zero while a call is outstanding.
	retryAt time.Time
	// stopAnsweredAt is when the stop order was answered.
	stopAnsweredAt time.Time
	// sendCount is how often the present order, a start or a stop, was sent. For a
	// start, more than 1 means that an earlier one got no answer and may still be carried
	// out.
	sendCount int
	// ticket is the adviser's ticket for the worker, empty if none is needed.
	ticket string
	// reportedPace, reportedLoad and checkpoint are those of the last report.
	reportedPace int
	reportedLoad int64
	checkpoint   string
	// orderedPace is the pace in percent that was ordered last, 100 at the start.
	orderedPace   int
	paceChangedAt time.Time
	// begunAt is when the run was first known to run, and isProven is set once a report has
	// listed it crashWindow later.
	begunAt  time.Time
	isProven bool
	// isIsolated is set if the run was started as the only one that could crash its worker.
	isIsolated bool
	// brokeConnection is set if the run is isolated and its start broke the connection to a
	// worker that had just answered.
	brokeConnection bool
	// beganLater is set if the answer to its start shows that a later incarnation of the worker gave it. A start that
	// gets no answer is sent again for extendWhileUnreachable, less than a restart takes, so it hasn't begun before.
	beganLater bool
	// relocating is set if the run was stopped to move a long-running task to another
	// worker, as this one drains or its host has to leave.
	relocating bool
}

func newJobState(j job.Job, acceptedAt time.Time) *jobState {
	js := &jobState{Job: j, state: job.Queued, storedState: job.Queued, acceptedAt: acceptedAt, sentAt: acceptedAt}
	js.addAccepted(j)
	return js
}

// addAccepted notes an accepted record of the job's ID and reports whether it is the first of its origin.
func (js *jobState) addAccepted(j job.Job) bool {
	js.workRecords = recordsStored
	o := Origin{j.Workspace, j.Pool}
	if slices.Contains(js.origins, o) {
		return false
	}
	js.origins = append(js.origins, o)
	return true
}

// addCancelled notes a cancelled record of the job's ID.
func (js *jobState) addCancelled(by workspace.Name) {
	js.workRecords = recordsStored
	if !slices.Contains(js.cancelledBy, by) {
		js.cancelledBy = append(js.cancelledBy, by)
	}
}

// mayBeCancelledBy reports whether a cancellation by a workspace takes effect. Any caller may cancel a
// job that belongs to none.
func (js *jobState) mayBeCancelledBy(name workspace.Name) bool {
	return js.Workspace == "" || js.Workspace == name
}

// id returns the task's identity.
func (t *task) id() job.Task {
	return job.Task{Job: t.step.occ.job.ID, Occurrence: t.step.occ.number, Step: t.step.number, Index: t.index}
}

// job returns the job that the task belongs to.
func (t *task) job() *jobState {
	return t.step.occ.job
}

func newOccurrence(js *jobState, number int, dueAt time.Time) *occurrence {
	o := &occurrence{
		job: js, number: number, dueAt: dueAt, steps: make([]*step, len(js.Steps)),
		onRacks: make(map[string]int), inDataCentres: make(map[string]int),
	}
	for i, def := range js.Steps {
		s := &step{Step: def, occ: o, number: i, tasks: make([]*task, def.Count)}
		for k := range s.tasks {
			s.tasks[k] = &task{step: s, index: k}
		}
		o.steps[i] = s
	}
	return o
}

// findTask returns the state of a task, or nil if the task isn't known.
func (s *Scheduler) findTask(id job.Task) *task {
	js := s.jobs[id.Job]
	if js == nil {
		return nil
	}
	for _, o := range js.occurrences {
		if o.number != id.Occurrence {
			continue
		}
		if id.Step < 0 || id.Step >= len(o.steps) || id.Index < 0 || id.Index >= len(o.steps[id.Step].tasks) {
			return nil
		}
		return o.steps[id.Step].tasks[id.Index]
	}
	return nil
}

// isReady reports whether all steps that this one comes after are done.
func (st *step) isReady() bool {
	for _, a := range st.After {
		if st.occ.steps[a].doneTasks < st.occ.steps[a].Count {
			return false
		}
	}
	return true
}

// releaseSteps queues the tasks of steps that have become ready.
func (s *Scheduler) releaseSteps(o *occurrence) {
	for _, st := range o.steps {
		if st.released || !st.isReady() {
			continue
		}
		st.released = true
		for _, t := range st.tasks {
			s.enqueue(t)
		}
	}
}

// enqueue adds a task to those waiting for a worker, unless it is done, running, already
// queued, not released, or its job has ended.
func (s *Scheduler) enqueue(t *task) {
	st := t.step
	if t.done || t.run != nil || t.queued || !st.released || t.isGivenUp() || t.job().state.Final() {
		return
	}
	t.queued = true
	st.waiting = append(st.waiting, t)
	if !st.listed {
		st.listed = true
		q := t.job().Queue
		s.waiting.put(q, append(s.waiting.get(q), st))
	}
	s.dirty = true
}

// markDone records that a task is done, releases the steps that become ready, and
// finishes the job after its last task.
func (s *Scheduler) markDone(now time.Time, wall int64, t *task) {
	if t.done {
		return
	}
	t.done = true
	s.unqueue(t)
	for _, r := range t.runs() {
		s.stopRun(now, r) // the other attempt of a hedged task
	}
	st, o, js := t.step, t.step.occ, t.job()
	st.doneTasks++
	s.markChanged(js)
	if st.doneTasks < st.Count {
		return
	}
	o.doneSteps++
	if o.doneSteps < len(o.steps) {
		s.releaseSteps(o)
		return
	}
	js.doneOccurrences++
	if js.doneOccurrences == js.Occurrences() {
		s.finish(now, wall, js, job.Completed, "all tasks done")
	}
}

// finish sets a job's final state and stops its remaining runs.
func (s *Scheduler) finish(now time.Time, wall int64, js *jobState, state job.State, reason string) {
	if js.state.Final() {
		return
	}
	js.state = state
	js.endedAt, js.endedWall = now, wall
	s.uncountQueued(js)
	s.markChanged(js)
	s.logDecision("job ended", js.ID, "State", string(state), "Reason", reason, "Queue", js.Queue,
		"AgeMs", now.Sub(js.acceptedAt).Milliseconds())
	s.reportEnd(now, js)
	for _, o := range js.occurrences {
		for _, st := range o.steps {
			for _, t := range st.tasks {
				for _, r := range t.runs() {
					s.stopRun(now, r)
				}
			}
			st.waiting = nil
		}
	}
}

// markChanged adds the job to the next commit.
func (s *Scheduler) markChanged(js *jobState) {
	if !js.changed {
		js.changed = true
		s.changed = append(s.changed, js)
	}
}
