// Package duty claims duties, which are leased singleton tasks, for an entry host and runs
// their work while the host holds the leases. It belongs to the program entry; the program
// godwitcross has a single leader instead of duties.
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

// Work is the work of a duty's holder.
type Work interface {
	// Duty returns the duty whose lease guards the work.
	Duty() lease.Duty
	// Tick does the work that is due now. Its records and commands carry the epoch. The
	// context ends shortly before the lease; a slow tick delays no other duty.
	Tick(ctx context.Context, now time.Time, epoch journal.Epoch) error
}

// RecordAppender appends a record to a stream of the log.
type RecordAppender interface {
	Append(ctx context.Context, stream journal.StreamID, r journal.Record) error
}

// Holdings maps the duties of a stream to their holders.
type Holdings map[lease.Duty]lease.Holding

// Timing of the runner.
const (
	// stepInterval is the time between two checks of the duties, and the least time between
	// the starts of two ticks of one duty.
	stepInterval = 250 * time.Millisecond
	// stopMargin is how long before the end of its lease the work is stopped.
	stopMargin = 500 * time.Millisecond
)

// Config configures a Runner.
type Config struct {
	Log    logrus.FieldLogger
	Name   inventory.EntryID
	Stream journal.StreamID
	// Holdings returns the holders of the duties, as applied from Stream.
	Holdings func() Holdings
	// Hosts returns the live entry hosts that may hold duties, this one included.
	Hosts   func() []inventory.EntryID
	Records RecordAppender
	Work    []Work
}

// runningTick is a tick in progress.
type runningTick struct {
	cancel context.CancelFunc
	epoch  journal.Epoch
}

// Runner claims and renews the duties of one stream. It decides only on its own goroutine.
// Ticks and appends run concurrently: at most one tick per duty and, except for renewals,
// one append of lease records at a time.
type Runner struct {
	cfg     Config
	tracker *lease.Tracker
	duties  []lease.Duty
	ticks   map[lease.Duty]runningTick
	// ended receives the duty of each tick that has ended.
	ended chan lease.Duty
	// appended receives a value when an append has ended.
	appended  chan struct{}
	appending bool
	group     errgroup.Group
}

// NewRunner returns a task that holds no duty yet.
func NewRunner(cfg Config) *Runner {
	r := &Runner{
		cfg: cfg, tracker: lease.NewTracker(cfg.Name, time.Now()), ticks: make(map[lease.Duty]runningTick),
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

// Run claims and renews duties until the context ends, then releases them after their work
// has stopped.
func (r *Runner) Run(ctx context.Context) error {
	t := time.NewTicker(stepInterval)
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

// step renews leases, cancels the ticks of lost duties, starts ticks of held ones and claims
// free ones.
func (r *Runner) step(ctx context.Context, now time.Time) {
	r.tracker.Observe(now, r.duties, r.cfg.Holdings())
	if renewal, due := r.tracker.Renewal(now); due {
		r.append(ctx, lease.KindRenew, renewal, now)
	}
	for _, w := range r.cfg.Work {
		d := w.Duty()
		epoch, expiresAt, holds := r.tracker.Holds(d, now.Add(stopMargin))
		if run, ticking := r.ticks[d]; ticking {
			if !holds || run.epoch != epoch {
				run.cancel()
			}
			continue
		}
		if holds {
			r.tick(ctx, w, now, epoch, expiresAt)
			continue
		}
		if !r.appending && r.tracker.MayClaim(d, r.cfg.Hosts(), now) {
			r.append(ctx, lease.KindClaim, r.tracker.Claim(d, now), now)
		}
	}
}

// tick starts one tick on its own goroutine; step cancels its context when the lease is
// about to end.
func (r *Runner) tick(ctx context.Context, w Work, now time.Time, epoch journal.Epoch, expiresAt time.Time) {
	tickCtx, cancel := context.WithCancel(ctx)
	r.ticks[w.Duty()] = runningTick{cancel: cancel, epoch: epoch}
	log := r.cfg.Log.WithField("Duty", w.Duty()).WithField("Until", expiresAt)
	r.group.Go(func() error {
		if err := w.Tick(tickCtx, now, epoch); err != nil {
			log.WithError(err).Warn("work of a duty failed")
		}
		r.ended <- w.Duty()
		return nil
	})
}

// stop cancels all ticks, waits for them and for appends, and releases all held duties.
func (r *Runner) stop(now time.Time) {
	for _, run := range r.ticks {
		run.cancel()
	}
	_ = r.group.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), lease.RenewInterval)
	defer cancel()
	for _, l := range r.tracker.ReleaseAll(now) {
		r.appendNow(ctx, lease.KindRelease, l, now)
	}
}

// append appends one lease record on its own goroutine. Renewals are appended even while
// another append is in progress, because a renewal must not wait for a slow log.
func (r *Runner) append(ctx context.Context, kind journal.Kind, body any, now time.Time) {
	r.appending = true
	r.group.Go(func() error {
		appendCtx, cancel := context.WithTimeout(ctx, lease.RenewInterval)
		defer cancel()
		r.appendNow(appendCtx, kind, body, now)
		select {
		case r.appended <- struct{}{}:
		default:
		}
		return nil
	})
}

// appendNow appends one lease record and logs a failure.
func (r *Runner) appendNow(ctx context.Context, kind journal.Kind, body any, now time.Time) {
	rec, err := journal.NewRecord(journal.RecordID(uuid.NewString()), kind, now, string(r.cfg.Name), body)
	if err == nil {
		err = r.cfg.Records.Append(ctx, r.cfg.Stream, rec)
	}
	if err != nil {
		r.cfg.Log.WithError(err).WithField("Kind", kind).Warn("appending a lease record failed")
	}
}
