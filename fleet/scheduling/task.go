package scheduling

import (
	"time"

	"github.com/godwitcross/godwitcross/fleet/job"
)

// jobState is an accepted job and how far it is.
type jobState struct {
	job.Job
	// inherited jobs were accepted before this owner took over: an earlier owner
	// may have started their tasks.
	inherited bool
	// since is when the job was accepted, on the owner's clock.
	since time.Time
	// state is decided; storedState is stored and may be told to callers.
	state, storedState job.State
	// began is set with the first start of a task.
	began bool
	// occurrences holds those that are due, by their number.
	occurrences []*occurrence
	// finished counts the occurrences whose steps are all done.
	finished int
	// changed jobs are part of the next commit.
	changed bool
	endedAt time.Time
	// endedWall is endedAt in Unix milliseconds.
	endedWall int64
	// dataCentres beside its home are stored as those where its tasks may run;
	// nextDataCentres are those of the next record. The job waits while addingDataCentre
	// is set.
	dataCentres, nextDataCentres []string
	addingDataCentre             bool
	// forgotten jobs have no record of their own any more but for their progress.
	forgotten bool
}

// occurrence is one run through a job's steps.
type occurrence struct {
	job    *jobState
	number int
	steps  []*step
	done   int
	// dueAt is when its objective begins to count.
	dueAt time.Time
	// onRacks and inDataCentres count its runs by rack and by data centre.
	onRacks, inDataCentres map[string]int
}

// step is the state of one step of an occurrence.
type step struct {
	job.Step
	occ    *occurrence
	number int
	tasks  []*task
	done   int
	// released steps' earlier steps are all done.
	released bool
	// waiting tasks have neither run nor end. Each is in it at most once.
	waiting []*task
	// listed steps are in the queue's list of steps with waiting tasks.
	listed bool
	advice advice
	// starvedAt is since when no worker has had room for a task, or zero.
	starvedAt time.Time
	// unfit steps fit no host of the classes of classVersion.
	unfit        bool
	classVersion int
	// failures is nil while no task has failed since the last success.
	failures *failureSet
	// took sums the durations of ended runs that were done.
	took  time.Duration
	ended int
}

// task is one task and its run, if it has one.
type task struct {
	step  *step
	index int
	done  bool
	// failed lists the runs that ended as failed, each once.
	failed     []int64
	checkpoint string
	// lastRun is the highest number used.
	lastRun int64
	run     *run
	// earlierRun is an earlier run that goes on beside run, of a task that may run twice.
	// It is nil where run is.
	earlierRun *run
	// avoid is the worker on which the last run failed.
	avoid     WorkerID
	notBefore time.Time
	// lostAt is when the last run was taken as gone without a listed end.
	lostAt time.Time
	queued bool
}

// runPhase is what the owner knows of a run.
type runPhase int

const (
	// starting runs were ordered and have no answer yet.
	starting runPhase = iota
	// uncertain runs were ordered without an answer, which is asked for again.
	uncertain
	// running runs are known to be there.
	running
	// stopping runs are to be stopped; the order is repeated until it is answered.
	stopping
	// stopped runs' stop was answered; their end has not been listed yet.
	stopped
)

// run is one start of a task on a worker.
type run struct {
	task      *task
	number    int64
	worker    *worker
	phase     runPhase
	resources job.Resources
	// since is when it was first ordered; knownAt when it was last known to be there.
	since, knownAt time.Time
	// provenFrom is from when a report shows that the run goes on: until then it may be
	// ending by an order of an earlier owner.
	provenFrom time.Time
	// retryAt is when an order without an answer is sent again; zero while one is out.
	retryAt time.Time
	// stoppedAt is when the stop was answered.
	stoppedAt  time.Time
	tries      int
	ticket     string
	percent    int
	load       int64
	checkpoint string
	// pace is the share that was ordered, 100 at the start.
	pace        int
	paceChanged time.Time
	// relocating runs are stopped to make room for maintenance or a move.
	relocating bool
}

func newJobState(j job.Job, since time.Time) *jobState {
	return &jobState{Job: j, state: job.Queued, storedState: job.Queued, since: since}
}

// id returns the task's name.
func (t *task) id() job.Task {
	return job.Task{Job: t.step.occ.job.ID, Occurrence: t.step.occ.number, Step: t.step.number, Index: t.index}
}

// owner returns the job.
func (t *task) owner() *jobState {
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

// find returns the state of a task, or nil.
func (s *Scheduler) find(id job.Task) *task {
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

// isReady reports whether all earlier steps are done.
func (st *step) isReady() bool {
	for _, a := range st.After {
		if st.occ.steps[a].done < st.occ.steps[a].Count {
			return false
		}
	}
	return true
}

// release puts the tasks of steps whose turn has come into their queue.
func (s *Scheduler) release(o *occurrence) {
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

// enqueue makes a task wait for a worker, if it has to.
func (s *Scheduler) enqueue(t *task) {
	st := t.step
	if t.done || t.run != nil || t.queued || !st.released || t.owner().state.Final() {
		return
	}
	t.queued = true
	st.waiting = append(st.waiting, t)
	if !st.listed {
		st.listed = true
		q := t.owner().Queue
		s.waiting.put(q, append(s.waiting.get(q), st))
	}
	s.dirty = true
}

// markDone counts the end of a task and what follows from it.
func (s *Scheduler) markDone(now time.Time, wall int64, t *task) {
	if t.done {
		return
	}
	t.done = true
	s.unqueue(t)
	for _, r := range t.runs() {
		s.stopRun(now, r) // of a task that may run twice
	}
	st, o, js := t.step, t.step.occ, t.owner()
	st.done++
	s.change(js)
	if st.done < st.Count {
		return
	}
	o.done++
	if o.done < len(o.steps) {
		s.release(o)
		return
	}
	js.finished++
	if js.finished == js.Occurrences() {
		s.finish(now, wall, js, job.Completed, "all tasks done")
	}
}

// finish gives a job its final state and stops what still runs of it.
func (s *Scheduler) finish(now time.Time, wall int64, js *jobState, state job.State, reason string) {
	if js.state.Final() {
		return
	}
	js.state = state
	js.endedAt, js.endedWall = now, wall
	s.change(js)
	s.note("job ended", js.ID, "State", string(state), "Reason", reason, "Queue", js.Queue,
		"AgeMs", now.Sub(js.since).Milliseconds())
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

// change makes the job part of the next commit.
func (s *Scheduler) change(js *jobState) {
	if !js.changed {
		js.changed = true
		s.changed = append(s.changed, js)
	}
}

// progress is what is stored of a job.
func (js *jobState) progress() job.Progress {
	p := job.Progress{State: js.state, EndedAt: js.endedWall}
	if js.state.Final() {
		return p
	}
	if js.began {
		p.State = job.Running
	}
	p.Centres = js.nextDataCentres
	for _, o := range js.occurrences {
		for _, st := range o.steps {
			for _, t := range st.tasks {
				if !t.done && len(t.failed) == 0 && t.checkpoint == "" {
					continue
				}
				tp := job.TaskProgress{Occurrence: o.number, Step: st.number, Index: t.index, Done: t.done}
				if !t.done {
					tp.Failed, tp.Checkpoint = t.failed, t.checkpoint
				}
				p.Tasks = append(p.Tasks, tp)
			}
		}
	}
	return p
}
