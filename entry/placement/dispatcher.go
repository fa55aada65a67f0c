package placement

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/entry/duty"
	"github.com/godwitcross/godwitcross/entry/platform"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/lease"
	"github.com/godwitcross/godwitcross/fleet/placement"
)

// Times of the dispatcher.
const (
	// taskLeaseTerm is how long a task's lease is valid without renewal.
	taskLeaseTerm = 120 * time.Second
	// lostAfter is how long a worker must be unresponsive before its tasks count as
	// lost. Their leases have expired by then.
	lostAfter = taskLeaseTerm + 10*time.Second
	// minPollInterval and maxPollInterval bound the time between two polls of a worker.
	minPollInterval = 250 * time.Millisecond
	maxPollInterval = 40 * time.Second
	// avoidDuration is how long no jobs are placed on a worker that refused a start or
	// did not answer.
	avoidDuration = 5 * time.Second
	// evacuateAfter is how long the jobs of a draining host may keep running before they
	// are checkpointed.
	evacuateAfter = 60 * time.Second
	// tickTimeout bounds one tick, so that the duty runner keeps renewing its duties.
	tickTimeout = 1500 * time.Millisecond
)

// Limits of one tick.
const (
	maxStarts = 500
	// maxCalls limits the workers that one step polls, or the tasks that it commands.
	maxCalls           = 64
	maxPlans           = 3
	maxConcurrentCalls = 16
	// defaultRunTime is sent for jobs that declare no run time.
	defaultRunTime = 1 * time.Minute
)

// poll is the polling schedule of a worker.
type poll struct {
	due time.Time
	// interval is the time from the next poll to the one after; it grows while no task ends.
	interval time.Duration
	// answeredAt is when the worker last answered, or when its polling began.
	answeredAt time.Time
}

// dispatcher places jobs on workers and monitors them while this entry host holds the
// duty. Its state is created anew with each epoch.
type dispatcher struct {
	cfg      Config
	stream   *JobStream
	recorder *duty.Recorder

	// epoch is the epoch of the state below; 0 before the first.
	epoch journal.Epoch
	// reboots is the number of restarts of each worker that has answered.
	reboots map[inventory.WorkerID]int
	polls   map[inventory.WorkerID]*poll
	// recordedStarts are the starts of the last start record, until it has been read back.
	recordedStarts []placement.Start
	// unconfirmed are the jobs started by this holder whose worker has not confirmed the task.
	unconfirmed map[placement.TaskID]placement.Job
	// uncertain are the unconfirmed tasks whose start call had no answer, so that the
	// worker may have run them.
	uncertain map[placement.TaskID]bool
}

func newDispatcher(cfg Config, stream *JobStream) *dispatcher {
	return &dispatcher{cfg: cfg, stream: stream, recorder: duty.NewRecorder(duty.RecorderConfig{
		Name: cfg.Name, Duty: DutyPlacement,
		Record: func(ctx context.Context, r journal.Record) (journal.Result, error) {
			return stream.Record(ctx, cfg.Records, r)
		},
	})}
}

// Duty returns the duty that guards the work.
func (d *dispatcher) Duty() lease.Duty {
	return DutyPlacement
}

// Tick polls workers, records ended jobs, stops cancelled ones and starts queued ones.
func (d *dispatcher) Tick(ctx context.Context, now time.Time, epoch journal.Epoch) error {
	ctx, cancel := context.WithTimeout(ctx, tickTimeout)
	defer cancel()
	if d.reboots == nil || d.epoch != epoch {
		if err := d.begin(ctx, now, epoch); err != nil {
			return err
		}
	}
	if err := d.recorder.AppendPending(ctx); err != nil {
		return err
	}
	for _, step := range []func(context.Context, time.Time) error{d.adoptStarts, d.startTasks, d.pollWorkers, d.stopCancelled, d.evacuate, d.schedule} {
		if err := step(ctx, now); err != nil {
			return err
		}
	}
	return nil
}

// begin resets the state for an epoch. It reads the restart counts of all workers and
// schedules polls of those that run jobs started by previous holders.
func (d *dispatcher) begin(ctx context.Context, now time.Time, epoch journal.Epoch) error {
	all, err := d.cfg.Workers.Workers(d.cfg.DataCentre)
	if err != nil {
		return eris.Wrap(err, "listing the workers")
	}
	d.reboots = make(map[inventory.WorkerID]int, len(all))
	d.polls = make(map[inventory.WorkerID]*poll)
	d.unconfirmed = make(map[placement.TaskID]placement.Job)
	d.uncertain = make(map[placement.TaskID]bool)
	d.recordedStarts = nil
	d.recorder.Begin(epoch)
	for _, w := range all {
		d.reboots[w.Facts.ID] = w.Reboots
	}
	var busy []inventory.WorkerID
	if err := d.stream.Do(ctx, func(r *placement.Reducer, _ *placement.Scheduler) { busy = r.BusyWorkers() }); err != nil {
		return err
	}
	for _, w := range busy {
		d.polls[w] = &poll{due: now, interval: minPollInterval, answeredAt: now}
	}
	d.epoch = epoch
	return nil
}

// schedule plans starts and preemptions and carries them out. It plans again at once, up
// to maxPlans times, when a plan has decisions or is partial: preempted jobs free
// resources, urgent jobs may have held back the others, and a partial plan leaves pools
// for the next one.
func (d *dispatcher) schedule(ctx context.Context, now time.Time) error {
	for range maxPlans {
		var plan placement.Plan
		err := d.stream.Do(ctx, func(_ *placement.Reducer, s *placement.Scheduler) { plan = s.Plan(now, maxStarts) })
		if err != nil || (plan.IsEmpty() && !plan.IsPartial) {
			return err
		}
		if err := d.recordPlan(ctx, now, plan); err != nil {
			return err
		}
		if err := d.adoptStarts(ctx, now); err != nil {
			return err
		}
		if err := d.startTasks(ctx, now); err != nil {
			return err
		}
		if err := d.preempt(ctx, now, plan.Preemptions); err != nil {
			return err
		}
	}
	return nil
}

// recordPlan appends the plan's abandoned jobs and starts to the log. The starts are sent
// to their workers after they have been read back.
func (d *dispatcher) recordPlan(ctx context.Context, now time.Time, plan placement.Plan) error {
	if len(plan.Abandoned) > 0 {
		if err := d.recorder.Write(ctx, now, placement.KindAbandon, placement.Abandon{Jobs: plan.Abandoned}); err != nil {
			return err
		}
	}
	if err := d.fetchReboots(ctx, now, plan.Starts); err != nil {
		return err
	}
	starts := make([]placement.Start, 0, len(plan.Starts))
	for _, s := range plan.Starts {
		boot, ok := d.reboots[s.Worker]
		if !ok {
			continue
		}
		s.Boot = boot
		starts = append(starts, s)
	}
	if len(starts) == 0 {
		return nil
	}
	for _, s := range starts {
		d.pollSoon(s.Worker, now)
	}
	d.recordedStarts = starts
	err := d.recorder.Write(ctx, now, placement.KindStart, placement.Starts{Starts: starts})
	if errors.Is(err, platform.ErrNotAppended) {
		d.recordedStarts = nil
	}
	return err
}

// fetchReboots fetches the restart counts of workers that this holder does not know yet.
// Workers that do not answer are avoided for avoidDuration.
func (d *dispatcher) fetchReboots(ctx context.Context, now time.Time, starts []placement.Start) error {
	seen := make(map[inventory.WorkerID]bool)
	var unknown []inventory.WorkerID
	for _, s := range starts {
		if _, ok := d.reboots[s.Worker]; !ok && !seen[s.Worker] {
			seen[s.Worker] = true
			unknown = append(unknown, s.Worker)
		}
	}
	if len(unknown) == 0 {
		return nil
	}
	answers := d.renew(ctx, unknown)
	var unanswered []inventory.WorkerID
	for _, w := range unknown {
		if s := answers[w]; s != nil {
			d.reboots[w] = s.Reboots
			continue
		}
		unanswered = append(unanswered, w)
	}
	return d.avoid(ctx, now, unanswered)
}

// avoid keeps the scheduler from placing jobs on the workers for avoidDuration.
func (d *dispatcher) avoid(ctx context.Context, now time.Time, workers []inventory.WorkerID) error {
	if len(workers) == 0 {
		return nil
	}
	return d.stream.Do(ctx, func(_ *placement.Reducer, s *placement.Scheduler) {
		for _, w := range workers {
			s.Avoid(w, now.Add(avoidDuration))
		}
	})
}

// pollSoon schedules the next poll of the worker after minPollInterval.
func (d *dispatcher) pollSoon(w inventory.WorkerID, now time.Time) {
	p, ok := d.polls[w]
	if !ok {
		p = &poll{answeredAt: now}
		d.polls[w] = p
	}
	p.due, p.interval = now.Add(minPollInterval), minPollInterval
}

// command returns a task command that carries the duty's epoch.
func (d *dispatcher) command() platform.TaskCommand {
	return platform.TaskCommand{Epoch: d.epoch, Term: taskLeaseTerm}
}
