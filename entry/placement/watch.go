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

// findings is what a tick learned of started jobs.
type findings struct {
	ends      []placement.End
	throttled []inventory.JobID
}

// watch looks at the workers that are due, which renews their leases too, and
// records how their tasks ended.
func (f *filler) watch(ctx context.Context, now time.Time) error {
	due := f.due(now)
	if len(due) == 0 {
		return nil
	}
	answers := f.renew(ctx, due)
	jobs := make(map[inventory.WorkerID][]placement.Job, len(due))
	err := f.board.Do(ctx, func(r *placement.Reducer, _ *placement.Scheduler) {
		for _, w := range due {
			jobs[w] = r.StartedOn(w)
		}
	})
	if err != nil {
		return err
	}
	found := &findings{}
	var silent []inventory.WorkerID
	for _, w := range due {
		f.judge(found, w, answers[w], jobs[w], now)
		if answers[w] == nil {
			silent = append(silent, w)
		}
	}
	if err := f.avoid(ctx, now, silent); err != nil {
		return err
	}
	return f.report(ctx, now, found)
}

// due returns workers whose time has come, at most maxLooks.
func (f *filler) due(now time.Time) []inventory.WorkerID {
	var due []inventory.WorkerID
	for w, l := range f.looks {
		if !now.Before(l.due) && len(due) < maxLooks {
			due = append(due, w)
		}
	}
	return due
}

// renew asks the workers, several at once. A worker without an answer is missing.
func (f *filler) renew(ctx context.Context, workers []inventory.WorkerID) map[inventory.WorkerID]*platform.WorkerStatus {
	var mu sync.Mutex
	answers := make(map[inventory.WorkerID]*platform.WorkerStatus, len(workers))
	each(ctx, len(workers), func(i int) {
		s, err := f.cfg.Workers.RenewTasks(workers[i], f.command())
		if err != nil {
			f.cfg.Log.WithError(err).WithField("Worker", workers[i]).Warn("renewing the leases of a worker failed")
			return
		}
		mu.Lock()
		defer mu.Unlock()
		answers[workers[i]] = &s
	})
	return answers
}

// each calls the function for 0 to n-1, several at once, until the context ends.
func each(ctx context.Context, n int, call func(i int)) {
	g := &errgroup.Group{}
	g.SetLimit(callsAtOnce)
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

// judge compares a worker's answer with the jobs that were started there.
func (f *filler) judge(found *findings, w inventory.WorkerID, s *platform.WorkerStatus, jobs []placement.Job, now time.Time) {
	l := f.looks[w]
	l.due = now.Add(l.pause)
	l.pause = min(l.pause*3/2, lastLook)
	if len(jobs) == 0 && s != nil {
		delete(f.looks, w)
		return
	}
	if s == nil {
		if now.Sub(l.heard) >= lostAfter {
			found.lose(jobs, "the worker has been silent for "+lostAfter.String())
		}
		return
	}
	l.heard = now
	f.boots[w] = s.Reboots
	before := len(found.ends)
	for _, j := range jobs {
		f.judgeJob(found, w, s, j, now)
	}
	if len(found.ends) > before {
		l.pause = firstLook
	}
}

func (f *findings) lose(jobs []placement.Job, why string) {
	for _, j := range jobs {
		f.ends = append(f.ends, placement.End{Job: j.ID, Attempt: j.Attempt, Outcome: placement.OutcomeLost, Reason: why})
	}
}

func (f *filler) judgeJob(found *findings, w inventory.WorkerID, s *platform.WorkerStatus, j placement.Job, now time.Time) {
	t, known := s.Tasks[j.Task()]
	if known {
		f.forget(j)
		found.add(j, t, now)
		return
	}
	_, telling := f.unconfirmed[j.Task()]
	switch {
	case j.Start.Boot != s.Reboots:
		f.forget(j)
		found.lose([]placement.Job{j}, "the worker has restarted")
	case telling:
	case j.Epoch == f.epoch:
		found.lose([]placement.Job{j}, "the worker no longer knows the task")
	default:
		f.withdraw(found, w, j, now)
	}
}

// withdraw makes sure that a task which its worker does not know is never run
// there, and records that. Only a worker that has not restarted since the start
// was decided can say that the task never ran.
func (f *filler) withdraw(found *findings, w inventory.WorkerID, j placement.Job, now time.Time) {
	t, err := f.cfg.Workers.CommandTask(w, j.Task(), placement.VerbStop, f.command())
	if err != nil {
		f.cfg.Log.WithError(err).WithField("Task", j.Task()).Warn("withdrawing a start failed")
		f.lookSoon(w, now)
		return
	}
	s, err := f.cfg.Workers.RenewTasks(w, f.command())
	if err != nil {
		f.cfg.Log.WithError(err).WithField("Task", j.Task()).Warn("withdrawing a start failed")
		f.lookSoon(w, now)
		return
	}
	f.forget(j)
	f.boots[w] = s.Reboots
	if s.Reboots != j.Start.Boot {
		found.lose([]placement.Job{j}, "the worker has restarted")
		return
	}
	found.add(j, t, now)
}

// add records what a task's state means for its job.
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

// report writes what was found.
func (f *filler) report(ctx context.Context, now time.Time, found *findings) error {
	if len(found.ends) > 0 {
		if err := f.recorder.Write(ctx, now, placement.KindEnd, placement.Ends{Ends: found.ends}); err != nil {
			return err
		}
	}
	if len(found.throttled) == 0 {
		return nil
	}
	return f.recorder.Write(ctx, now, placement.KindThrottle, placement.Throttle{Jobs: found.throttled})
}

// stop stops the tasks of cancelled jobs.
func (f *filler) stop(ctx context.Context, now time.Time) error {
	var jobs []placement.Job
	err := f.board.Do(ctx, func(r *placement.Reducer, _ *placement.Scheduler) { jobs = r.Stopping() })
	if err != nil || len(jobs) == 0 {
		return err
	}
	return f.commandAll(ctx, now, jobs[:min(len(jobs), maxLooks)], func(placement.Job) placement.Verb { return placement.VerbStop })
}

// relieve makes started jobs give way.
func (f *filler) relieve(ctx context.Context, now time.Time, reliefs []placement.Preemption) error {
	if len(reliefs) == 0 {
		return nil
	}
	verbs := make(map[inventory.JobID]placement.Verb, len(reliefs))
	var jobs []placement.Job
	err := f.board.Do(ctx, func(r *placement.Reducer, _ *placement.Scheduler) {
		for _, v := range reliefs {
			j, ok := r.Job(v.Job)
			if ok && j.State == placement.Started && j.Start.Worker == v.Worker {
				verbs[v.Job] = v.Verb
				jobs = append(jobs, *j)
			}
		}
	})
	if err != nil {
		return err
	}
	return f.commandAll(ctx, now, jobs, func(j placement.Job) placement.Verb { return verbs[j.ID] })
}

// commandAll gives each job's task one command and records what came of it.
func (f *filler) commandAll(ctx context.Context, now time.Time, jobs []placement.Job, verb func(placement.Job) placement.Verb) error {
	var mu sync.Mutex
	found := &findings{}
	each(ctx, len(jobs), func(i int) {
		t, err := f.give(jobs[i], verb(jobs[i]))
		if err != nil {
			f.cfg.Log.WithError(err).WithField("Task", jobs[i].Task()).Warn("commanding a task failed")
			return
		}
		mu.Lock()
		defer mu.Unlock()
		found.add(jobs[i], t, now)
	})
	return f.report(ctx, now, found)
}

// give commands a task. A checkpoint that is refused becomes a stop if the job
// may run again.
func (f *filler) give(j placement.Job, verb placement.Verb) (platform.Task, error) {
	t, err := f.cfg.Workers.CommandTask(j.Start.Worker, j.Task(), verb, f.command())
	if err != nil && verb == placement.VerbCheckpoint && j.Idempotent {
		return f.cfg.Workers.CommandTask(j.Start.Worker, j.Task(), placement.VerbStop, f.command())
	}
	return t, err
}
