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

// adoptStarts marks the recorded starts as unconfirmed once they have been read back and
// were accepted under this holder's epoch. Only these are sent to workers.
func (d *dispatcher) adoptStarts(ctx context.Context, _ time.Time) error {
	if len(d.recordedStarts) == 0 || d.recorder.IsPending() {
		return nil
	}
	announced, epoch := d.recordedStarts, d.epoch
	var own []placement.Job
	err := d.stream.Do(ctx, func(r *placement.Reducer, _ *placement.Scheduler) {
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
	d.recordedStarts = nil
	for _, j := range own {
		d.unconfirmed[j.Task()] = j
	}
	return nil
}

// startTasks sends the unconfirmed starts to their workers. A repeated call is safe,
// because a worker runs each task ID at most once.
func (d *dispatcher) startTasks(ctx context.Context, now time.Time) error {
	jobs := make([]placement.Job, 0, len(d.unconfirmed))
	for _, j := range d.unconfirmed {
		jobs = append(jobs, j)
	}
	var mu sync.Mutex
	found := &findings{}
	var refused, neverRun []placement.Job
	each(ctx, len(jobs), func(i int) {
		t, err := d.startTask(jobs[i])
		mu.Lock()
		defer mu.Unlock()
		isFirst := !d.uncertain[jobs[i].Task()]
		switch {
		case err == nil:
			d.confirm(jobs[i])
			found.add(jobs[i], t, now)
		case isFirst && isRefusal(err):
			neverRun = append(neverRun, jobs[i])
		case isRefusal(err):
			refused = append(refused, jobs[i])
		default:
			d.uncertain[jobs[i].Task()] = true
			d.cfg.Log.WithError(err).WithField("Task", jobs[i].Task()).Warn("starting a task had no answer; will retry")
		}
	})
	var refusing []inventory.WorkerID
	for _, j := range refused {
		d.withdraw(found, j.Start.Worker, j, now)
		refusing = append(refusing, j.Start.Worker)
	}
	for _, j := range neverRun {
		d.forget(j)
		// The worker may have restarted since its last answer.
		delete(d.reboots, j.Start.Worker)
		refusing = append(refusing, j.Start.Worker)
		found.ends = append(found.ends, placement.End{Job: j.ID, Attempt: j.Attempt, Outcome: placement.OutcomeNotRun, Reason: "the worker refused the task"})
	}
	if err := d.avoid(ctx, now, refusing); err != nil {
		return err
	}
	return d.report(ctx, now, found)
}

func (d *dispatcher) startTask(j placement.Job) (platform.Task, error) {
	runTime := j.DeclaredTime.AsDuration()
	if runTime <= 0 {
		runTime = defaultRunTime
	}
	return d.cfg.Workers.StartTask(j.Start.Worker, j.Task(), platform.TaskStart{
		Epoch: d.epoch, Boot: j.Start.Boot, Term: taskLeaseTerm, Size: j.Start.Size, RunTime: runTime, Command: j.Command, Resume: j.Checkpoint,
	})
}

// isRefusal reports whether the worker answered that the call had no effect.
func isRefusal(err error) bool {
	return errors.Is(err, platform.ErrRefused) || errors.Is(err, platform.ErrUnavailable)
}

// forget removes a start that need not be sent again.
func (d *dispatcher) forget(j placement.Job) {
	delete(d.unconfirmed, j.Task())
	delete(d.uncertain, j.Task())
}

// confirm marks the start as confirmed by its worker and observes the job's wait.
func (d *dispatcher) confirm(j placement.Job) {
	d.forget(j)
	class := "Standard"
	if j.Urgent {
		class = "Urgent"
	}
	d.cfg.Metrics.Observe("job_start_wait_microseconds", time.Since(j.AcceptedAt),
		metric.Label{Name: "Class", Value: class}, metric.Label{Name: "Owner", Value: string(j.Owner)})
}
