// Package duty claims duties for an entry host and runs their work while the
// host holds them.
package duty

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/lease"
)

// Work is what the holder of a duty does.
type Work interface {
	// Duty returns the duty that guards the work.
	Duty() lease.Duty
	// Tick does what is due now. Its records and commands carry the epoch. The
	// context ends when the term does; a tick that is slow holds no other up.
	Tick(ctx context.Context, now time.Time, epoch journal.Epoch) error
}

// RecordAppender adds a record to a stream of the log.
type RecordAppender interface {
	Append(ctx context.Context, stream journal.StreamID, r journal.Record) error
}

// Holdings is who holds the duties of a stream.
type Holdings map[lease.Duty]lease.Holding

// Pace of the runner.
const (
	// stepEvery is the time between two looks at the duties, and between two
	// ticks of one duty's work.
	stepEvery = 250 * time.Millisecond
	// stopEarly is how long before the end of its term the work is stopped.
	stopEarly = 500 * time.Millisecond
)

// Config is what a runner is built from.
type Config struct {
	Log    logrus.FieldLogger
	Name   inventory.EntryID
	Stream journal.StreamID
	// Holdings returns who holds the duties, as folded from Stream.
	Holdings func() Holdings
	// Hosts returns the live entry hosts that may hold duties, this one included.
	Hosts   func() []inventory.EntryID
	Records RecordAppender
	Work    []Work
}

// running is one tick that is under way.
type running struct {
	cancel context.CancelFunc
	epoch  journal.Epoch
}

// Runner claims and renews duties of one stream. It decides on its own goroutine
// only; ticks and appends run beside it, at most one tick of each duty and one
// append of leases at a time.
type Runner struct {
	cfg     Config
	tracker *lease.Tracker
	duties  []lease.Duty
	ticks   map[lease.Duty]running
	// ended takes the duty of each tick that has ended.
	ended chan lease.Duty
	// appended takes a value when the append under way has ended.
	appended  chan struct{}
	appending bool
	g         errgroup.Group
}

// NewRunner returns a task that holds nothing yet.
func NewRunner(cfg Config) *Runner {
	r := &Runner{
		cfg: cfg, tracker: lease.NewTracker(cfg.Name, time.Now()), ticks: make(map[lease.Duty]running),
		ended: make(chan lease.Duty, len(cfg.Work)), appended: make(chan struct{}, 1),
	}
	for _, w := range cfg.Work {
		r.duties = append(r.duties, w.Duty())
	}
	return r
}

// Name returns the task's name.
func (r *Runner) Name() string {
	return "duties of " + string(r.cfg.Stream)
}

// Run holds duties until the context ends and gives them back then, after their
// work has stopped.
func (r *Runner) Run(ctx context.Context) error {
	t := time.NewTicker(stepEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			r.stop(time.Now())
			return nil
		case d := <-r.ended:
			r.ticks[d].cancel()
			delete(r.ticks, d)
		case <-r.appended:
			r.appending = false
		case <-t.C:
			r.step(ctx, time.Now())
		}
	}
}

func (r *Runner) step(ctx context.Context, now time.Time) {
	r.tracker.Observe(now, r.duties, r.cfg.Holdings())
	if n, due := r.tracker.Renewal(now); due {
		r.append(ctx, lease.KindRenew, n, now)
	}
	for _, w := range r.cfg.Work {
		d := w.Duty()
		epoch, until, holds := r.tracker.Holds(d, now.Add(stopEarly))
		if run, ticking := r.ticks[d]; ticking {
			if !holds || run.epoch != epoch {
				run.cancel()
			}
			continue
		}
		if holds {
			r.tick(ctx, w, now, epoch, until)
			continue
		}
		if !r.appending && r.tracker.MayClaim(d, r.cfg.Hosts(), now) {
			r.append(ctx, lease.KindClaim, r.tracker.Claim(d, now), now)
		}
	}
}

// tick starts one tick beside the runner; step ends its context when the term is
// about to end.
func (r *Runner) tick(ctx context.Context, w Work, now time.Time, epoch journal.Epoch, until time.Time) {
	c, cancel := context.WithCancel(ctx)
	r.ticks[w.Duty()] = running{cancel: cancel, epoch: epoch}
	log := r.cfg.Log.WithField("Duty", w.Duty()).WithField("Until", until)
	r.g.Go(func() error {
		if err := w.Tick(c, now, epoch); err != nil {
			log.WithError(err).Warn("work of a duty failed")
		}
		r.ended <- w.Duty()
		return nil
	})
}

// stop ends all ticks, waits for them, and releases what is held.
func (r *Runner) stop(now time.Time) {
	for _, run := range r.ticks {
		run.cancel()
	}
	_ = r.g.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), lease.RenewInterval)
	defer cancel()
	for _, l := range r.tracker.ReleaseAll(now) {
		r.appendNow(ctx, lease.KindRelease, l, now)
	}
}

// append sends one record of leases beside the runner. While one is under way
// another renewal is sent all the same: it must not wait for a slow log.
func (r *Runner) append(ctx context.Context, kind journal.Kind, body any, now time.Time) {
	r.appending = true
	r.g.Go(func() error {
		c, cancel := context.WithTimeout(ctx, lease.RenewInterval)
		defer cancel()
		r.appendNow(c, kind, body, now)
		select {
		case r.appended <- struct{}{}:
		default:
		}
		return nil
	})
}

func (r *Runner) appendNow(ctx context.Context, kind journal.Kind, body any, now time.Time) {
	rec, err := journal.NewRecord(journal.RecordID(uuid.NewString()), kind, now, string(r.cfg.Name), body)
	if err == nil {
		err = r.cfg.Records.Append(ctx, r.cfg.Stream, rec)
	}
	if err != nil {
		r.cfg.Log.WithError(err).WithField("Kind", kind).Warn("append of a lease record failed")
	}
}
