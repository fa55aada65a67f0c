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
	End journal.Offset
	// Oldest is the offset of the oldest record that the log keeps.
	Oldest journal.Offset
	Digest uint64
	// History is the digest of the records alone.
	History    uint64
	KnownKinds uint32
	// Checkpoint names the newest snapshot that is whole in the log.
	Checkpoint journal.Checkpoint
	// Fault is set while the log contradicts itself; nothing is applied then.
	Fault string
	// ReadAt is when the log last answered this host, on this host's clock.
	ReadAt time.Time
	// AppliedAt is when the last batch was applied, on this host's clock.
	AppliedAt time.Time
	Counts    map[journal.Outcome]int64
	// Recent holds the last verdicts, oldest first.
	Recent []journal.Result
}

// Verdict returns the verdict on a record if it is among the recent ones.
func (s State) Verdict(id journal.RecordID) (journal.Result, bool) {
	for _, v := range s.Recent {
		if v.ID == id && v.Outcome != journal.Duplicate {
			return v, true
		}
	}
	return journal.Result{}, false
}

// Follower folds batches of the global stream.
type Follower struct {
	log   logrus.FieldLogger
	fleet *state.Fleet
	in    <-chan platform.Batch
	out   *view.Box[State]
	// calls are what other tasks ask; Run answers one at a time.
	calls chan call
	// ended is closed when Run returns.
	ended  chan struct{}
	tail   tail
	end    journal.Offset
	oldest journal.Offset
	guard  guard
	readAt time.Time
}

// New returns a task that folds the batches of in and publishes into out.
func New(log logrus.FieldLogger, fleet *state.Fleet, in <-chan platform.Batch, out *view.Box[State]) *Follower {
	return &Follower{
		log: log, fleet: fleet, in: in, out: out, guard: guard{log: log},
		calls: make(chan call), ended: make(chan struct{}), tail: tail{first: fleet.StateMachine().NextOffset()},
	}
}

// Name returns the task's name.
func (f *Follower) Name() string {
	return "follower of the global stream"
}

// Run folds until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	defer close(f.ended)
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-f.calls:
			c.do()
			close(c.done)
		case b := <-f.in:
			f.apply(b, time.Now())
		}
	}
}

func (f *Follower) apply(b platform.Batch, now time.Time) {
	f.end, f.oldest = max(f.end, b.End), max(f.oldest, b.Oldest)
	if !b.Relayed {
		f.readAt = now
	}
	f.guard.look(f.fleet.StateMachine(), b)
	for i, raw := range b.Records {
		if f.guard.fault != "" || !f.applyOne(b.First+journal.Offset(i), raw) {
			break
		}
	}
	f.publish(now)
}

// applyOne folds one record and reports whether the next one may follow.
func (f *Follower) applyOne(o journal.Offset, raw []byte) bool {
	fold := f.fleet.StateMachine()
	if o < fold.NextOffset() {
		return true
	}
	v, err := fold.Apply(o, raw)
	if err != nil {
		f.log.WithError(err).Warn("records beyond the next one are passed over")
		return false
	}
	f.tail.add(raw)
	if v.Outcome != journal.Accepted {
		f.log.WithField("Verdict", v).Warn("record not accepted")
	}
	return true
}

func (f *Follower) publish(now time.Time) {
	fold := f.fleet.StateMachine()
	history, _ := fold.History(fold.NextOffset())
	f.out.Publish(State{
		Configuration: f.fleet.Configuration.Current(),
		Proposals:     f.fleet.Configuration.Proposals(),
		Holdings:      f.fleet.Lease.Holdings(),
		Pools:         f.fleet.Pools.View(),
		Next:          fold.NextOffset(),
		End:           max(f.end, fold.NextOffset()),
		Oldest:        f.oldest,
		Digest:        fold.Digest(),
		History:       history,
		KnownKinds:    fold.KnownKinds(),
		Checkpoint:    f.fleet.Checkpoints.Last(),
		Fault:         f.guard.fault,
		ReadAt:        f.readAt,
		AppliedAt:     now,
		Counts:        fold.Counts(),
		Recent:        fold.Recent(),
	})
}
