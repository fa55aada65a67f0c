// Package follower owns the state that is folded from the platform's global
// stream and publishes it to the tasks that read it.
package follower

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/godwitcross/godwitcross/entry/platform"
	"github.com/godwitcross/godwitcross/entry/view"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/lease"
	"github.com/godwitcross/godwitcross/fleet/pool"
	"github.com/godwitcross/godwitcross/fleet/state"
)

// State is the folded state at an offset.
type State struct {
	Configuration configuration.Configuration
	// Proposals wait for the agreement of other owners, oldest first.
	Proposals []configuration.Proposal
	Holdings  map[lease.Duty]lease.Holding
	// Pools is nil before the first record.
	Pools *pool.View
	// Next is the offset of the first record that is not applied.
	Next journal.Offset
	// End is the end of the stream as last seen; at least Next.
	End    journal.Offset
	Digest uint64
	// AppliedAt is when the last batch was applied, on this host's clock.
	AppliedAt time.Time
	Counts    map[journal.Outcome]int64
	// Recent holds the last verdicts, oldest first.
	Recent []journal.Verdict
}

// Verdict returns the verdict on a record if it is among the recent ones.
func (s State) Verdict(id journal.RecordID) (journal.Verdict, bool) {
	for _, v := range s.Recent {
		if v.ID == id && v.Outcome != journal.Duplicate {
			return v, true
		}
	}
	return journal.Verdict{}, false
}

// Follower folds batches of the global stream.
type Follower struct {
	log   logrus.FieldLogger
	fleet *state.Fleet
	in    <-chan platform.Batch
	out   *view.Box[State]
}

// New returns a task that folds the batches of in and publishes into out.
func New(log logrus.FieldLogger, fleet *state.Fleet, in <-chan platform.Batch, out *view.Box[State]) *Follower {
	return &Follower{log: log, fleet: fleet, in: in, out: out}
}

// Name returns the task's name.
func (f *Follower) Name() string {
	return "follower of the global stream"
}

// Run folds until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case b := <-f.in:
			f.apply(b, time.Now())
		}
	}
}

func (f *Follower) apply(b platform.Batch, now time.Time) {
	fold := f.fleet.Fold()
	for i, raw := range b.Records {
		o := b.First + journal.Offset(i)
		if o < fold.Next() {
			continue
		}
		v, err := fold.Apply(o, raw)
		if err != nil {
			f.log.WithError(err).Error("the stream has a gap")
			return
		}
		if v.Outcome != journal.Accepted {
			f.log.WithField("Verdict", v).Warn("record not accepted")
		}
	}
	f.out.Publish(State{
		Configuration: f.fleet.Configuration.Current(),
		Proposals:     f.fleet.Configuration.Proposals(),
		Holdings:      f.fleet.Lease.Holdings(),
		Pools:         f.fleet.Pools.View(),
		Next:          fold.Next(),
		End:           max(b.End, fold.Next()),
		Digest:        fold.Digest(),
		AppliedAt:     now,
		Counts:        fold.Counts(),
		Recent:        fold.Recent(),
	})
}
