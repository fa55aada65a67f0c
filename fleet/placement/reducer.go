package placement

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
)

// Bounds of the state.
const (
	// MaxJobs bounds the jobs of a data centre that have not ended. A submission that
	// would exceed it is rejected.
	MaxJobs = 400_000
	// maxEnded is the number of ended jobs that are retained, to show them and to
	// recognise their IDs.
	maxEnded = 20_000
)

// Observer is notified of changes to the reservations on workers.
type Observer interface {
	// JobStarted is called when a started job reserves capacity on its worker.
	JobStarted(j *Job)
	// JobReleased is called with the capacity that a job released, by its end or by
	// being throttled.
	JobReleased(j *Job, size inventory.Size)
}

// Reducer applies the records of a data centre's job stream.
type Reducer struct {
	// jobs holds every job that has not ended and the last maxEnded that have.
	jobs map[inventory.JobID]*Job
	// ended lists the IDs of the retained ended jobs, oldest first.
	ended []inventory.JobID
	// started holds the started jobs of each worker.
	started map[inventory.WorkerID]map[inventory.JobID]*Job
	// cancelling holds the started jobs that are to be stopped.
	cancelling map[inventory.JobID]*Job
	// open is the number of jobs that have not ended.
	open      int
	sequence  int64
	queues    *queueSet
	templates map[string]*Template
	health    *Health
	observer  Observer
}

// NewReducer returns a reducer without jobs.
func NewReducer() *Reducer {
	r := &Reducer{}
	r.reset()
	return r
}

func (r *Reducer) reset() {
	r.jobs = make(map[inventory.JobID]*Job)
	r.started = make(map[inventory.WorkerID]map[inventory.JobID]*Job)
	r.cancelling = make(map[inventory.JobID]*Job)
	r.ended, r.open, r.sequence = nil, 0, 0
	r.queues = newQueueSet()
	r.templates = make(map[string]*Template)
	r.health = newHealth()
}

// Observe sets the observer, which may be nil.
func (r *Reducer) Observe(o Observer) {
	r.observer = o
}

// Kinds returns the record kinds that the reducer applies.
func (r *Reducer) Kinds() []journal.Kind {
	return []journal.Kind{KindSubmit, KindCancel, KindStart, KindThrottle, KindEnd, KindAbandon}
}

// Reduce applies one record.
func (r *Reducer) Reduce(e journal.Entry) error {
	switch e.Record.Kind {
	case KindSubmit:
		return applyBody(e, func(s Submit) error { return r.submit(s, e.Record.At) })
	case KindCancel:
		return applyBody(e, r.cancel)
	}
	if e.Record.Duty == "" {
		return eris.Wrapf(ErrFenced, "%s", e.Record.Kind)
	}
	switch e.Record.Kind {
	case KindStart:
		return applyBody(e, func(s Starts) error { return r.start(s, e.Record) })
	case KindThrottle:
		return applyBody(e, r.throttle)
	case KindAbandon:
		return applyBody(e, r.abandon)
	}
	return applyBody(e, func(s Ends) error { return r.end(s, e.Record.At) })
}

func applyBody[T any](e journal.Entry, apply func(T) error) error {
	body, err := journal.DecodeBody[T](e.Record)
	if err != nil {
		return err
	}
	return apply(body)
}

func (r *Reducer) submit(s Submit, at time.Time) error {
	added := make(map[inventory.JobID]configuration.Job, len(s.Jobs))
	for _, c := range s.Jobs {
		if err := c.Validate(); err != nil {
			return err
		}
		if s.Owner != "" && c.Owner != s.Owner {
			return eris.Wrapf(ErrOwner, "%s", c.ID)
		}
		known, ok := added[c.ID]
		if j, found := r.jobs[c.ID]; found {
			known, ok = j.Job, true
		}
		if ok && !sameJob(known, c) {
			return eris.Wrapf(ErrConflict, "%s", c.ID)
		}
		if !ok {
			added[c.ID] = c
		}
	}
	if r.open+len(added) > MaxJobs {
		return eris.Wrapf(ErrFull, "%d jobs and %d more are over %d", r.open, len(added), MaxJobs)
	}
	for _, c := range s.Jobs {
		if _, found := r.jobs[c.ID]; !found {
			r.accept(c, at)
		}
	}
	return nil
}

func sameJob(a, b configuration.Job) bool {
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	return errX == nil && errY == nil && string(x) == string(y)
}

func (r *Reducer) accept(c configuration.Job, at time.Time) {
	r.sequence++
	j := &Job{Job: c, Sequence: r.sequence, AcceptedAt: at, State: Queued}
	r.jobs[c.ID] = j
	r.open++
	r.queues.add(j)
}

func (r *Reducer) cancel(c Cancel) error {
	for _, id := range c.Jobs {
		if j, ok := r.jobs[id]; ok && c.Owner != "" && j.Owner != c.Owner {
			return eris.Wrapf(ErrOwner, "%s", id)
		}
	}
	for _, id := range c.Jobs {
		j, ok := r.jobs[id]
		switch {
		case !ok || j.HasEnded():
		case j.State == Queued:
			r.queues.remove(j)
			r.endJob(j, Cancelled, "cancelled before it started")
		default:
			j.Cancelling = true
			r.cancelling[id] = j
		}
	}
	return nil
}

func (r *Reducer) start(s Starts, rec journal.Record) error {
	for _, st := range s.Starts {
		j, ok := r.jobs[st.Job]
		if !ok || j.State != Queued {
			continue
		}
		r.queues.remove(j)
		j.State, j.Start, j.Epoch, j.StartedAt, j.Reason = Started, st, rec.Epoch, rec.At, ""
		j.Attempt++
		r.assign(j)
	}
	return nil
}

// assign adds a started job to its worker.
func (r *Reducer) assign(j *Job) {
	of := r.started[j.Start.Worker]
	if of == nil {
		of = make(map[inventory.JobID]*Job)
		r.started[j.Start.Worker] = of
	}
	of[j.ID] = j
	if j.Cancelling {
		r.cancelling[j.ID] = j
	}
	if r.observer != nil {
		r.observer.JobStarted(j)
	}
}

// unassign removes a started job from its worker.
func (r *Reducer) unassign(j *Job) {
	of := r.started[j.Start.Worker]
	delete(of, j.ID)
	if len(of) == 0 {
		delete(r.started, j.Start.Worker)
	}
	delete(r.cancelling, j.ID)
	released := j.Reserved()
	j.Throttled = false
	if r.observer != nil {
		r.observer.JobReleased(j, released)
	}
}

func (r *Reducer) throttle(t Throttle) error {
	for _, id := range t.Jobs {
		j, ok := r.jobs[id]
		if !ok || j.State != Started || j.Throttled {
			continue
		}
		before := j.Reserved()
		j.Throttled = true
		if r.observer != nil {
			r.observer.JobReleased(j, before.Sub(j.Reserved()))
		}
	}
	return nil
}

func (r *Reducer) abandon(g Abandon) error {
	for _, id := range g.Jobs {
		j, ok := r.jobs[id]
		if !ok || j.State != Queued {
			continue
		}
		r.queues.remove(j)
		r.endJob(j, Failed, "failed on every worker of its pool: "+j.Reason)
	}
	return nil
}

func (r *Reducer) end(s Ends, at time.Time) error {
	for _, e := range s.Ends {
		j, ok := r.jobs[e.Job]
		if !ok || j.State != Started || j.Attempt != e.Attempt {
			continue
		}
		r.unassign(j)
		r.recordCompletion(j, e)
		r.concludeAttempt(j, e, at)
	}
	return nil
}

// recordCompletion clears the failures that a completed attempt refutes and adds its usage
// to the template's sample. Other outcomes change nothing.
func (r *Reducer) recordCompletion(j *Job, e End) {
	if e.Outcome == OutcomeDone {
		r.health.recordSuccess(Failure{Job: j.ID, Template: j.Template}, j.Start.Worker)
	}
	if e.Outcome != OutcomeDone || e.Used == (inventory.Size{}) {
		return
	}
	t, ok := r.templates[j.Template]
	if !ok && len(r.templates) >= maxTemplates {
		return
	}
	if !ok {
		t = &Template{}
		r.templates[j.Template] = t
	}
	t.add(Observation{Used: e.Used, RunTime: e.RunTime})
}

// concludeAttempt ends the job or queues it for another attempt.
func (r *Reducer) concludeAttempt(j *Job, e End, at time.Time) {
	failure := Failure{Job: j.ID, Template: j.Template}
	failsEverywhere := e.Outcome == OutcomeFailed && r.health.recordFailure(failure, j.Start.Worker, at)
	switch {
	case e.Outcome == OutcomeDone:
		r.endJob(j, Done, "")
	case j.Cancelling:
		r.endJob(j, Cancelled, "cancelled while it ran")
	case failsEverywhere:
		r.endJob(j, Failed, "failed on every worker that tried it: "+e.Reason)
	case j.mayRunAgain(e.Outcome):
		j.State = Queued
		j.Reason = e.Reason
		if e.Outcome == OutcomeCheckpointed {
			j.Checkpoint = j.Task()
		}
		r.queues.add(j)
	default:
		r.endJob(j, endState(e.Outcome), e.Reason)
	}
}

// endJob moves the job to a final state and drops the oldest ended job beyond maxEnded.
func (r *Reducer) endJob(j *Job, s State, reason string) {
	j.State, j.Reason = s, reason
	r.health.forget(j.ID)
	r.open--
	r.ended = append(r.ended, j.ID)
	if len(r.ended) > maxEnded {
		delete(r.jobs, r.ended[0])
		r.ended = r.ended[1:]
	}
}
