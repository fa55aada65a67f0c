// Package duty claims duties for an entry host and runs their work while the
// host holds them.
package duty

import (
	"context"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/lease"
)

// Work is what the holder of a duty does.
type Work interface {
	// Duty returns the duty that guards the work.
	Duty() lease.Duty
	// Tick does what is due now. Its records and commands carry the epoch. It
	// returns early when the context ends, which is before the term ends.
	Tick(ctx context.Context, now time.Time, epoch journal.Epoch) error
}

// RecordAppender adds a record to a stream of the log.
type RecordAppender interface {
	Append(ctx context.Context, stream journal.StreamID, r journal.Record) error
}

// Holdings is who holds the duties of a stream.
type Holdings map[lease.Duty]lease.Holding

// tickEvery is the time between two ticks of held work.
const tickEvery = 250 * time.Millisecond

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

// watch is what this host saw of a duty on its own clock.
type watch struct {
	holding lease.Holding
	// seen is when holding was first seen.
	seen time.Time
	// until ends this host's own term; it counts from before the append.
	until time.Time
}

// Runner claims and renews duties of one stream.
type Runner struct {
	cfg     Config
	watched map[lease.Duty]*watch
	// renewed is when the last renewal was sent.
	renewed time.Time
}

// NewRunner returns a task that holds nothing yet.
func NewRunner(cfg Config) *Runner {
	return &Runner{cfg: cfg, watched: make(map[lease.Duty]*watch)}
}

// Name returns the task's name.
func (r *Runner) Name() string {
	return "duties of " + string(r.cfg.Stream)
}

// Run holds duties until the context ends and gives them back then.
func (r *Runner) Run(ctx context.Context) error {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			r.releaseAll(time.Now())
			return nil
		case <-t.C:
			r.step(ctx, time.Now())
		}
	}
}

func (r *Runner) step(ctx context.Context, now time.Time) {
	holdings := r.cfg.Holdings()
	r.renew(ctx, now)
	for _, w := range r.cfg.Work {
		d := w.Duty()
		r.observe(d, holdings[d], now)
		if r.holds(d, now) {
			r.tick(ctx, w, now)
			continue
		}
		if r.mayClaim(d, now) {
			r.claim(ctx, d, now)
		}
	}
}

func (r *Runner) observe(d lease.Duty, h lease.Holding, now time.Time) {
	w, ok := r.watched[d]
	if !ok {
		w = &watch{seen: now}
		r.watched[d] = w
	}
	if h != w.holding {
		w.holding, w.seen = h, now
	}
}

func (r *Runner) holds(d lease.Duty, now time.Time) bool {
	w := r.watched[d]
	return w.holding.Holder == r.cfg.Name && now.Before(w.until)
}

// mayClaim reports whether the duty is free on this host's clock and this host
// is the first in rank, or the ranks before it had a further term to claim.
func (r *Runner) mayClaim(d lease.Duty, now time.Time) bool {
	w := r.watched[d]
	wait := time.Duration(0)
	if w.holding.Holder != "" {
		wait = lease.Term + lease.Grace
	}
	rank := slices.Index(lease.Rank(d, r.cfg.Hosts()), r.cfg.Name)
	if rank < 0 {
		return false
	}
	return now.Sub(w.seen) >= wait+time.Duration(rank)*lease.Grace
}

func (r *Runner) claim(ctx context.Context, d lease.Duty, now time.Time) {
	w := r.watched[d]
	w.until = now.Add(lease.Term)
	w.seen = now
	r.append(ctx, lease.KindClaim, lease.Claim{Duty: d, Holder: r.cfg.Name, From: w.holding.Epoch}, now)
}

func (r *Runner) renew(ctx context.Context, now time.Time) {
	if now.Sub(r.renewed) < lease.RenewEvery {
		return
	}
	held := make(map[lease.Duty]journal.Epoch)
	for d, w := range r.watched {
		if r.holds(d, now) {
			held[d] = w.holding.Epoch
		}
	}
	if len(held) == 0 {
		return
	}
	r.renewed = now
	if !r.append(ctx, lease.KindRenew, lease.Renew{Holder: r.cfg.Name, Held: held}, now) {
		return
	}
	for d := range held {
		r.watched[d].until = now.Add(lease.Term)
	}
}

func (r *Runner) tick(ctx context.Context, w Work, now time.Time) {
	seen := r.watched[w.Duty()]
	ctx, cancel := context.WithTimeout(ctx, seen.until.Sub(now))
	defer cancel()
	if err := w.Tick(ctx, now, seen.holding.Epoch); err != nil {
		r.cfg.Log.WithError(err).WithField("Duty", w.Duty()).Warn("work of a duty failed")
	}
}

func (r *Runner) releaseAll(now time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), lease.RenewEvery)
	defer cancel()
	for d, w := range r.watched {
		if r.holds(d, now) {
			r.append(ctx, lease.KindRelease, lease.Release{Duty: d, Holder: r.cfg.Name, Epoch: w.holding.Epoch}, now)
		}
	}
}

func (r *Runner) append(ctx context.Context, kind journal.Kind, body any, now time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, lease.RenewEvery)
	defer cancel()
	rec, err := journal.NewRecord(journal.RecordID(uuid.NewString()), kind, now, string(r.cfg.Name), body)
	if err == nil {
		err = r.cfg.Records.Append(ctx, r.cfg.Stream, rec)
	}
	if err != nil {
		r.cfg.Log.WithError(err).WithField("Kind", kind).Warn("append of a lease record failed")
	}
	return err == nil
}
