package placement

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/godwitcross/godwitcross/entry/metric"
	"github.com/godwitcross/godwitcross/entry/platform"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/placement"
)

// adopt takes over the starts that were read back as this holder's own. Only
// these are told to workers.
func (f *filler) adopt(ctx context.Context, _ time.Time) error {
	if len(f.announced) == 0 || f.recorder.IsPending() {
		return nil
	}
	announced, epoch := f.announced, f.epoch
	var own []placement.Job
	err := f.board.Do(ctx, func(r *placement.Reducer, _ *placement.Scheduler) {
		for _, s := range announced {
			j, ok := r.Job(s.Job)
			if ok && j.State == placement.Started && j.Epoch == epoch && j.Start == s {
				own = append(own, *j)
			}
		}
	})
	if err != nil {
		return err
	}
	f.announced = nil
	for _, j := range own {
		f.unconfirmed[j.Task()] = j
	}
	return nil
}

// start tells workers to run the starts that none has confirmed. It is safe to
// repeat: a worker runs an identity once.
func (f *filler) start(ctx context.Context, now time.Time) error {
	jobs := make([]placement.Job, 0, len(f.unconfirmed))
	for _, j := range f.unconfirmed {
		jobs = append(jobs, j)
	}
	var mu sync.Mutex
	found := &findings{}
	var refused, never []placement.Job
	each(ctx, len(jobs), func(i int) {
		t, err := f.startTask(jobs[i])
		mu.Lock()
		defer mu.Unlock()
		isFirst := !f.uncertain[jobs[i].Task()]
		switch {
		case err == nil:
			f.confirm(jobs[i])
			found.add(jobs[i], t, now)
		case isFirst && isRefusal(err):
			never = append(never, jobs[i])
		case isRefusal(err):
			refused = append(refused, jobs[i])
		default:
			f.uncertain[jobs[i].Task()] = true
			f.cfg.Log.WithError(err).WithField("Task", jobs[i].Task()).Warn("a start had no answer and will be repeated")
		}
	})
	var refusing []inventory.WorkerID
	for _, j := range refused {
		f.withdraw(found, j.Start.Worker, j, now)
		refusing = append(refusing, j.Start.Worker)
	}
	for _, j := range never {
		f.forget(j)
		// The worker may have restarted unnoticed.
		delete(f.boots, j.Start.Worker)
		refusing = append(refusing, j.Start.Worker)
		found.ends = append(found.ends, placement.End{Job: j.ID, Attempt: j.Attempt, Outcome: placement.OutcomeNotRun, Reason: "the worker refused the task"})
	}
	if err := f.avoid(ctx, now, refusing); err != nil {
		return err
	}
	return f.report(ctx, now, found)
}

func (f *filler) startTask(j placement.Job) (platform.Task, error) {
	runTime := j.DeclaredTime.AsDuration()
	if runTime <= 0 {
		runTime = defaultStart
	}
	return f.cfg.Workers.StartTask(j.Start.Worker, j.Task(), platform.TaskStart{
		Epoch: f.epoch, Boot: j.Start.Boot, Term: taskTerm, Size: j.Start.Size, RunTime: runTime, Command: j.Command, Resume: j.Checkpoint,
	})
}

// isRefusal reports whether the worker answered that it did nothing.
func isRefusal(err error) bool {
	return errors.Is(err, platform.ErrRefused) || errors.Is(err, platform.ErrUnavailable)
}

// forget drops a start that needs no further telling.
func (f *filler) forget(j placement.Job) {
	delete(f.unconfirmed, j.Task())
	delete(f.uncertain, j.Task())
}

// confirm notes that the worker has the task.
func (f *filler) confirm(j placement.Job) {
	f.forget(j)
	class := "Standard"
	if j.Urgent {
		class = "Urgent"
	}
	f.cfg.Metrics.Observe("job_start_wait_microseconds", time.Since(j.AcceptedAt),
		metric.Label{Name: "Class", Value: class}, metric.Label{Name: "Owner", Value: string(j.Owner)})
}
