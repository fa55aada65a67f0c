// Package follower applies the records of the log's streams to this host's state and
// publishes the state to the tasks that read it.
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

// State is the state of the global stream at an offset.
type State struct {
	Configuration configuration.Configuration
	// Proposals are the changes that await the approval of other owners, oldest first.
	Proposals []configuration.Proposal
	Holdings  map[lease.Duty]lease.Holding
	// Pools is nil before the first record.
	Pools *pool.View
	// Next is the offset of the first record that is not applied.
	Next journal.Offset
	// End is the end of the stream as last seen; at least Next.
	End journal.Offset
	// Oldest is the offset of the oldest record that the log retains.
	Oldest journal.Offset
	Digest uint64
	// History is the digest of the records only.
	History    uint64
	KnownKinds uint32
	// Checkpoint names the newest snapshot that is complete in the log.
	Checkpoint journal.Checkpoint
	// Fault is the cause while the log is inconsistent; nothing is applied meanwhile.
	Fault string
	// ReadAt is when the log last answered this host directly, by this host's clock.
	ReadAt time.Time
	// AppliedAt is when the last batch was applied, by this host's clock.
	AppliedAt time.Time
	Counts    map[journal.Outcome]int64
	// Recent holds the results of the last records, oldest first.
	Recent []journal.Result
}

// ResultOf returns the result of applying a record if it is among the recent ones. The
// results of duplicates are ignored.
func (s State) ResultOf(id journal.RecordID) (journal.Result, bool) {
	for _, result := range s.Recent {
		if result.ID == id && result.Outcome != journal.Duplicate {
			return result, true
		}
	}
	return journal.Result{}, false
}

// Follower applies batches of the global stream.
type Follower struct {
	log   logrus.FieldLogger
	fleet *state.Fleet
	in    <-chan platform.Batch
	out   *view.Value[State]
	// calls are functions that other tasks run on the state; Run executes one at a time.
	calls chan call
	// ended is closed when Run returns.
	ended   chan struct{}
	tail    tail
	end     journal.Offset
	oldest  journal.Offset
	checker logChecker
	readAt  time.Time
}

// New returns a task that applies the batches of in and publishes the state to out.
func New(log logrus.FieldLogger, fleet *state.Fleet, in <-chan platform.Batch, out *view.Value[State]) *Follower {
	return &Follower{
		log: log, fleet: fleet, in: in, out: out, checker: logChecker{log: log},
		calls: make(chan call), ended: make(chan struct{}), tail: tail{first: fleet.StateMachine().NextOffset()},
	}
}

// Name returns the task's name.
func (f *Follower) Name() string {
	return "follower of the global stream"
}

// Run applies batches until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	defer close(f.ended)
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-f.calls:
			c.fn()
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
	f.checker.check(f.fleet.StateMachine(), b)
	for i, raw := range b.Records {
		if f.checker.fault != "" || !f.applyOne(b.First+journal.Offset(i), raw) {
			break
		}
	}
	f.publish(now)
}

// applyOne applies one record and reports whether the next one can be applied.
func (f *Follower) applyOne(o journal.Offset, raw []byte) bool {
	machine := f.fleet.StateMachine()
	if o < machine.NextOffset() {
		return true
	}
	result, err := machine.Apply(o, raw)
	if err != nil {
		f.log.WithError(err).Warn("gap in the stream, skipping the rest of the batch")
		return false
	}
	f.tail.add(raw)
	if result.Outcome != journal.Accepted {
		f.log.WithField("Verdict", result).Warn("record not accepted")
	}
	return true
}

func (f *Follower) publish(now time.Time) {
	machine := f.fleet.StateMachine()
	history, _ := machine.History(machine.NextOffset())
	f.out.Publish(State{
		Configuration: f.fleet.Configuration.Current(),
		Proposals:     f.fleet.Configuration.Proposals(),
		Holdings:      f.fleet.Lease.Holdings(),
		Pools:         f.fleet.Pools.View(),
		Next:          machine.NextOffset(),
		End:           max(f.end, machine.NextOffset()),
		Oldest:        f.oldest,
		Digest:        machine.Digest(),
		History:       history,
		KnownKinds:    machine.KnownKinds(),
		Checkpoint:    f.fleet.Checkpoints.Last(),
		Fault:         f.checker.fault,
		ReadAt:        f.readAt,
		AppliedAt:     now,
		Counts:        machine.Counts(),
		Recent:        machine.Recent(),
	})
}
