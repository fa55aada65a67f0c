package placement

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/godwitcross/godwitcross/entry/platform"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/placement"
)

// findings collects what a tick found out about started jobs.
type findings struct {
	ends      []placement.End
	throttled []inventory.JobID
}

// pollWorkers polls the workers that are due, which also renews their task leases, and
// records how their tasks ended.
func (d *dispatcher) pollWorkers(ctx context.Context, now time.Time) error {
	due := d.dueWorkers(now)
	if len(due) == 0 {
		return nil
	}
	answers := d.renew(ctx, due)
	jobs := make(map[inventory.WorkerID][]placement.Job, len(due))
	err := d.stream.Do(ctx, func(r *placement.Reducer, _ *placement.Scheduler) {
		for _, w := range due {
			jobs[w] = r.StartedOn(w)
		}
	})
	if err != nil {
		return err
	}
	found := &findings{}
	var unanswered []inventory.WorkerID
	for _, w := range due {
		d.checkWorker(found, w, answers[w], jobs[w], now)
		if answers[w] == nil {
			unanswered = append(unanswered, w)
		}
	}
	if err := d.avoid(ctx, now, unanswered); err != nil {
		return err
	}
	return d.report(ctx, now, found)
}

// dueWorkers returns the workers that are due for a poll, at most maxCalls.
func (d *dispatcher) dueWorkers(now time.Time) []inventory.WorkerID {
	var due []inventory.WorkerID
	for w, p := range d.polls {
		if !now.Before(p.due) && len(due) < maxCalls {
			due = append(due, w)
		}
	}
	return due
}

// renew renews the task leases of the workers with concurrent calls and returns their
// answers. A worker that did not answer is missing from the result.
func (d *dispatcher) renew(ctx context.Context, workers []inventory.WorkerID) map[inventory.WorkerID]*platform.WorkerStatus {
	var mu sync.Mutex
	answers := make(map[inventory.WorkerID]*platform.WorkerStatus, len(workers))
	each(ctx, len(workers), func(i int) {
		s, err := d.cfg.Workers.RenewTasks(workers[i], d.command())
		if err != nil {
			d.cfg.Log.WithError(err).WithField("Worker", workers[i]).Warn("renewing the leases of a worker failed")
			return
		}
		mu.Lock()
		defer mu.Unlock()
		answers[workers[i]] = &s
	})
	return answers
}

// each calls the function for 0 to n-1 with at most maxConcurrentCalls at a time. It
// starts no further calls once the context has ended.
func each(ctx context.Context, n int, call func(i int)) {
	g := &errgroup.Group{}
	g.SetLimit(maxConcurrentCalls)
	for i := range n {
		if ctx.Err() != nil {
			break
		}
		g.Go(func() error {
			call(i)
			return nil
		})
	}
	_ = g.Wait()
}

// checkWorker compares a worker's answer with the jobs started on it and adds what ended.
func (d *dispatcher) checkWorker(found *findings, w inventory.WorkerID, s *platform.WorkerStatus, jobs []placement.Job, now time.Time) {
	p := d.polls[w]
	p.due = now.Add(p.interval)
	p.interval = min(p.interval*3/2, maxPollInterval)
	if len(jobs) == 0 && s != nil {
		delete(d.polls, w)
		return
	}
	if s == nil {
		if now.Sub(p.answeredAt) >= lostAfter {
			found.addLost(jobs, "the worker has been silent for "+lostAfter.String())
		}
		return
	}
	p.answeredAt = now
	d.reboots[w] = s.Reboots
	before := len(found.ends)
	for _, j := range jobs {
		d.checkJob(found, w, s, j, now)
	}
	if len(found.ends) > before {
		p.interval = minPollInterval
	}
}

func (f *findings) addLost(jobs []placement.Job, why string) {
	for _, j := range jobs {
		f.ends = append(f.ends, placement.End{Job: j.ID, Attempt: j.Attempt, Outcome: placement.OutcomeLost, Reason: why})
	}
}

func (d *dispatcher) checkJob(found *findings, w inventory.WorkerID, s *platform.WorkerStatus, j placement.Job, now time.Time) {
	t, known := s.Tasks[j.Task()]
	if known {
		d.forget(j)
		found.add(j, t, now)
		return
	}
	_, starting := d.unconfirmed[j.Task()]
	switch {
	case j.Start.Boot != s.Reboots:
		d.forget(j)
		found.addLost([]placement.Job{j}, "the worker has restarted")
	case starting:
	case j.Epoch == d.epoch:
		found.addLost([]placement.Job{j}, "the worker no longer knows the task")
	default:
		d.withdraw(found, w, j, now)
	}
}

// withdraw stops a task that its worker does not know, so that a late start call cannot
// run it there, and adds the outcome. A worker that has restarted since the start was
// decided cannot tell whether the task ran, so the job counts as lost then.
func (d *dispatcher) withdraw(found *findings, w inventory.WorkerID, j placement.Job, now time.Time) {
	t, err := d.cfg.Workers.CommandTask(w, j.Task(), placement.VerbStop, d.command())
	if err != nil {
		d.cfg.Log.WithError(err).WithField("Task", j.Task()).Warn("withdrawing a start failed")
		d.pollSoon(w, now)
		return
	}
	s, err := d.cfg.Workers.RenewTasks(w, d.command())
	if err != nil {
		d.cfg.Log.WithError(err).WithField("Task", j.Task()).Warn("withdrawing a start failed")
		d.pollSoon(w, now)
		return
	}
	d.forget(j)
	d.reboots[w] = s.Reboots
	if s.Reboots != j.Start.Boot {
		found.addLost([]placement.Job{j}, "the worker has restarted")
		return
	}
	found.add(j, t, now)
}

// add adds what a task's state means for its job; a running task adds nothing.
func (f *findings) add(j placement.Job, t platform.Task, now time.Time) {
	e := placement.End{Job: j.ID, Attempt: j.Attempt}
	switch t.State {
	case platform.TaskThrottled:
		if !j.Throttled {
			f.throttled = append(f.throttled, j.ID)
		}
		return
	case platform.TaskDone:
		e.Outcome, e.Used, e.RunTime = placement.OutcomeDone, t.Peak, now.Sub(j.StartedAt)
	case platform.TaskFailed:
		e.Outcome, e.Reason = placement.OutcomeFailed, "the task failed on "+string(j.Start.Worker)
	case platform.TaskCheckpointed:
		e.Outcome, e.Reason = placement.OutcomeCheckpointed, "checkpointed to make room"
	case platform.TaskStopped:
		e.Outcome, e.Reason = placement.OutcomeStopped, "the worker stopped the task before its end"
		if t.Starts == 0 {
			e.Outcome, e.Reason = placement.OutcomeNotRun, "the worker never ran the task"
		}
	default:
		return
	}
	f.ends = append(f.ends, e)
}

// report appends records of the findings.
func (d *dispatcher) report(ctx context.Context, now time.Time, found *findings) error {
	if len(found.ends) > 0 {
		if err := d.recorder.Write(ctx, now, placement.KindEnd, placement.Ends{Ends: found.ends}); err != nil {
			return err
		}
	}
	if len(found.throttled) == 0 {
		return nil
	}
	return d.recorder.Write(ctx, now, placement.KindThrottle, placement.Throttle{Jobs: found.throttled})
}

// stopCancelled stops the tasks of cancelled jobs.
func (d *dispatcher) stopCancelled(ctx context.Context, now time.Time) error {
	var jobs []placement.Job
	err := d.stream.Do(ctx, func(r *placement.Reducer, _ *placement.Scheduler) { jobs = r.Stopping() })
	if err != nil || len(jobs) == 0 {
		return err
	}
	return d.commandAll(ctx, now, jobs[:min(len(jobs), maxCalls)], func(placement.Job) placement.Verb { return placement.VerbStop })
}

// preempt sends the planned preemption commands for jobs that still run on that worker.
func (d *dispatcher) preempt(ctx context.Context, now time.Time, preemptions []placement.Preemption) error {
	if len(preemptions) == 0 {
		return nil
	}
	verbs := make(map[inventory.JobID]placement.Verb, len(preemptions))
	var jobs []placement.Job
	err := d.stream.Do(ctx, func(r *placement.Reducer, _ *placement.Scheduler) {
		for _, p := range preemptions {
			j, ok := r.Job(p.Job)
			if ok && j.State == placement.Started && j.Start.Worker == p.Worker {
				verbs[p.Job] = p.Verb
				jobs = append(jobs, *j)
			}
		}
	})
	if err != nil {
		return err
	}
	return d.commandAll(ctx, now, jobs, func(j placement.Job) placement.Verb { return verbs[j.ID] })
}

// commandAll sends one command to the task of each job and records the outcomes.
func (d *dispatcher) commandAll(ctx context.Context, now time.Time, jobs []placement.Job, verb func(placement.Job) placement.Verb) error {
	var mu sync.Mutex
	found := &findings{}
	each(ctx, len(jobs), func(i int) {
		t, err := d.commandTask(jobs[i], verb(jobs[i]))
		if err != nil {
			d.cfg.Log.WithError(err).WithField("Task", jobs[i].Task()).Warn("sending a command to a task failed")
			return
		}
		mu.Lock()
		defer mu.Unlock()
		found.add(jobs[i], t, now)
	})
	return d.report(ctx, now, found)
}

// commandTask sends a command to a task. If a checkpoint fails and the job is idempotent,
// the task is stopped instead.
func (d *dispatcher) commandTask(j placement.Job, verb placement.Verb) (platform.Task, error) {
	t, err := d.cfg.Workers.CommandTask(j.Start.Worker, j.Task(), verb, d.command())
	if err != nil && verb == placement.VerbCheckpoint && j.Idempotent {
		return d.cfg.Workers.CommandTask(j.Start.Worker, j.Task(), placement.VerbStop, d.command())
	}
	return t, err
}
