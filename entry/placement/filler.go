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

// Times of the filler.
const (
	// taskTerm is how long a task's lease holds without being renewed.
	taskTerm = 120 * time.Second
	// lostAfter is how long a worker must be silent before its tasks count as
	// lost. Their leases have lapsed by then.
	lostAfter = taskTerm + 10*time.Second
	// firstLook and lastLook bound the time between two looks at a worker.
	firstLook = 250 * time.Millisecond
	lastLook  = 40 * time.Second
	// avoidFor is how long a worker that refused a start or did not answer is given
	// no jobs.
	avoidFor = 5 * time.Second
	// evacuateAfter is how long the jobs of a draining host may go on before they
	// are checkpointed.
	evacuateAfter = 60 * time.Second
	// tickTime bounds one tick, so that the runner goes on renewing its duties.
	tickTime = 1500 * time.Millisecond
)

// Bounds of one tick.
const (
	maxStarts    = 500
	maxLooks     = 64
	maxPlans     = 3
	callsAtOnce  = 16
	defaultStart = 1 * time.Minute
)

// look is when a worker is looked at.
type look struct {
	due time.Time
	// pause is the time to the look after, which grows while nothing happens.
	pause time.Duration
	// heard is when the worker last answered.
	heard time.Time
}

// filler fills the workers while the host holds the duty. Its state is made
// anew with each epoch.
type filler struct {
	cfg      Config
	board    *Board
	recorder *duty.Recorder

	// epoch is that of the state below; 0 before there is any.
	epoch journal.Epoch
	// boots is the number of restarts of each worker that answered.
	boots map[inventory.WorkerID]int
	looks map[inventory.WorkerID]*look
	// announced are the starts of the last start record.
	announced []placement.Start
	// unconfirmed are own starts that no worker has confirmed, by task.
	unconfirmed map[placement.TaskID]placement.Job
	// uncertain are those of which a call had no answer, so that the worker may
	// have run them.
	uncertain map[placement.TaskID]bool
}

func newFiller(cfg Config, board *Board) *filler {
	return &filler{cfg: cfg, board: board, recorder: duty.NewRecorder(duty.RecorderConfig{
		Name: cfg.Name, Duty: DutyPlacement,
		Record: func(ctx context.Context, r journal.Record) (journal.Result, error) {
			return board.Record(ctx, cfg.Records, r)
		},
	})}
}

// Duty returns the duty that guards the work.
func (f *filler) Duty() lease.Duty {
	return DutyPlacement
}

// Tick watches tasks, ends, stops and starts jobs.
func (f *filler) Tick(ctx context.Context, now time.Time, epoch journal.Epoch) error {
	ctx, cancel := context.WithTimeout(ctx, tickTime)
	defer cancel()
	if f.boots == nil || f.epoch != epoch {
		if err := f.begin(ctx, now, epoch); err != nil {
			return err
		}
	}
	if err := f.recorder.Settle(ctx); err != nil {
		return err
	}
	for _, step := range []func(context.Context, time.Time) error{f.adopt, f.start, f.watch, f.stop, f.evacuate, f.fill} {
		if err := step(ctx, now); err != nil {
			return err
		}
	}
	return nil
}

// begin asks all workers how they are and takes over what earlier holders started.
func (f *filler) begin(ctx context.Context, now time.Time, epoch journal.Epoch) error {
	all, err := f.cfg.Workers.Workers(f.cfg.DataCentre)
	if err != nil {
		return eris.Wrap(err, "asking for the workers")
	}
	f.boots = make(map[inventory.WorkerID]int, len(all))
	f.looks = make(map[inventory.WorkerID]*look)
	f.unconfirmed = make(map[placement.TaskID]placement.Job)
	f.uncertain = make(map[placement.TaskID]bool)
	f.announced = nil
	f.recorder.Begin(epoch)
	for _, w := range all {
		f.boots[w.Facts.ID] = w.Reboots
	}
	var busy []inventory.WorkerID
	if err := f.board.Do(ctx, func(r *placement.Reducer, _ *placement.Scheduler) { busy = r.BusyWorkers() }); err != nil {
		return err
	}
	for _, w := range busy {
		f.looks[w] = &look{due: now, pause: firstLook, heard: now}
	}
	f.epoch = epoch
	return nil
}

// fill decides what starts and what gives way, and decides again at once when
// something gave way or urgent jobs kept the others back.
func (f *filler) fill(ctx context.Context, now time.Time) error {
	for range maxPlans {
		var plan placement.Plan
		err := f.board.Do(ctx, func(_ *placement.Reducer, s *placement.Scheduler) { plan = s.Plan(now, maxStarts) })
		if err != nil || (plan.IsEmpty() && !plan.IsPartial) {
			return err
		}
		if err := f.record(ctx, now, plan); err != nil {
			return err
		}
		if err := f.adopt(ctx, now); err != nil {
			return err
		}
		if err := f.start(ctx, now); err != nil {
			return err
		}
		if err := f.relieve(ctx, now, plan.Preemptions); err != nil {
			return err
		}
	}
	return nil
}

// record writes the starts and keeps them to be told to their workers.
func (f *filler) record(ctx context.Context, now time.Time, plan placement.Plan) error {
	if len(plan.Abandoned) > 0 {
		if err := f.recorder.Write(ctx, now, placement.KindAbandon, placement.Abandon{Jobs: plan.Abandoned}); err != nil {
			return err
		}
	}
	if err := f.learnBoots(ctx, now, plan.Starts); err != nil {
		return err
	}
	starts := make([]placement.Start, 0, len(plan.Starts))
	for _, s := range plan.Starts {
		boot, ok := f.boots[s.Worker]
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
		f.lookSoon(s.Worker, now)
	}
	f.announced = starts
	err := f.recorder.Write(ctx, now, placement.KindStart, placement.Starts{Starts: starts})
	if errors.Is(err, platform.ErrNotAppended) {
		f.announced = nil
	}
	return err
}

// learnBoots asks workers that are new to this holder how often they restarted.
// Those that don't answer are given no jobs for a while.
func (f *filler) learnBoots(ctx context.Context, now time.Time, starts []placement.Start) error {
	asked := make(map[inventory.WorkerID]bool)
	var unknown []inventory.WorkerID
	for _, s := range starts {
		if _, ok := f.boots[s.Worker]; !ok && !asked[s.Worker] {
			asked[s.Worker] = true
			unknown = append(unknown, s.Worker)
		}
	}
	if len(unknown) == 0 {
		return nil
	}
	answers := f.renew(ctx, unknown)
	var silent []inventory.WorkerID
	for _, w := range unknown {
		if s := answers[w]; s != nil {
			f.boots[w] = s.Reboots
			continue
		}
		silent = append(silent, w)
	}
	return f.avoid(ctx, now, silent)
}

// avoid gives workers no jobs for a while.
func (f *filler) avoid(ctx context.Context, now time.Time, workers []inventory.WorkerID) error {
	if len(workers) == 0 {
		return nil
	}
	return f.board.Do(ctx, func(_ *placement.Reducer, s *placement.Scheduler) {
		for _, w := range workers {
			s.Avoid(w, now.Add(avoidFor))
		}
	})
}

// lookSoon makes the worker be looked at within the first pause.
func (f *filler) lookSoon(w inventory.WorkerID, now time.Time) {
	l, ok := f.looks[w]
	if !ok {
		l = &look{heard: now}
		f.looks[w] = l
	}
	l.due, l.pause = now.Add(firstLook), firstLook
}

// command returns a command under the duty's epoch.
func (f *filler) command() platform.TaskCommand {
	return platform.TaskCommand{Epoch: f.epoch, Term: taskTerm}
}
