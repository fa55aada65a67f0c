package follower

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/membership"
	"github.com/godwitcross/godwitcross/fleet/state"
)

// Errors returned by calls to a follower.
var (
	// ErrEnded means that the follower is no longer running.
	ErrEnded = eris.New("the follower has ended")
	// ErrLogDiverged means that the caller applied other records at the same offsets.
	ErrLogDiverged = eris.New("other records at the same offsets")
	// ErrNotRetained means that this host does not retain the requested records.
	ErrNotRetained = eris.New("records are not kept here")
)

// call is a function that another task runs on the follower's goroutine; done is closed
// after it returned.
type call struct {
	fn   func()
	done chan struct{}
}

// call runs fn on the follower's goroutine and waits for it to return.
func (f *Follower) call(ctx context.Context, fn func()) error {
	c := call{fn: fn, done: make(chan struct{})}
	select {
	case f.calls <- c:
	case <-f.ended:
		return ErrEnded
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "asking the follower")
	}
	<-c.done
	return nil
}

// Snapshot returns a snapshot of the current state. It fails while the log is
// inconsistent, because the state may not match the log.
func (f *Follower) Snapshot(ctx context.Context) (journal.Snapshot, error) {
	var s journal.Snapshot
	var failed error
	err := f.call(ctx, func() {
		if f.checker.fault != "" {
			failed = eris.Wrapf(journal.ErrInvalidSnapshot, "no snapshot of a state in doubt: %s", f.checker.fault)
			return
		}
		s, failed = f.fleet.StateMachine().Snapshot(journal.StreamFleet)
	})
	if err == nil {
		err = failed
	}
	return s, err
}

// Restore replaces the state by a snapshot that is ahead of it and returns the offset
// of the next record to apply. A snapshot that is not ahead or is invalid changes
// nothing.
func (f *Follower) Restore(ctx context.Context, s journal.Snapshot, now time.Time) (journal.Offset, error) {
	var next journal.Offset
	var failed error
	err := f.call(ctx, func() {
		failed = f.restore(s, now)
		next = f.fleet.StateMachine().NextOffset()
	})
	if err == nil {
		err = failed
	}
	return next, err
}

func (f *Follower) restore(s journal.Snapshot, now time.Time) error {
	if f.checker.fault != "" {
		return eris.Wrapf(journal.ErrInvalidSnapshot, "the state is in doubt: %s", f.checker.fault)
	}
	if s.Next <= f.fleet.StateMachine().NextOffset() {
		return nil
	}
	fleet := state.NewFleet()
	if err := fleet.StateMachine().Restore(s); err != nil {
		return err
	}
	f.fleet = fleet
	f.tail = tail{first: s.Next}
	f.publish(now)
	return nil
}

// Records returns up to limit retained records, starting at the offset, and the offset
// of the next record that this host applies. history is the caller's digest of all
// records before from; ErrOtherLog is returned if this host's digest differs.
func (f *Follower) Records(ctx context.Context, from journal.Offset, history uint64, limit int) (records [][]byte, end journal.Offset, err error) {
	var failed error
	err = f.call(ctx, func() {
		if h, known := f.fleet.StateMachine().History(from); known && h != history {
			failed = eris.Wrapf(ErrLogDiverged, "up to %d", from)
			return
		}
		records, failed = f.tail.from(from, limit)
		end = f.fleet.StateMachine().NextOffset()
	})
	if err == nil {
		err = failed
	}
	return records, end, err
}

// Compare returns the relation of each peer's applied state to this host's.
func (f *Follower) Compare(ctx context.Context, peers []membership.Peer) ([]membership.Relation, error) {
	relations := make([]membership.Relation, len(peers))
	err := f.call(ctx, func() {
		machine := f.fleet.StateMachine()
		own := membership.Heartbeat{Applied: machine.NextOffset(), Digest: machine.Digest(), KnownKinds: machine.KnownKinds()}
		for i, p := range peers {
			relations[i] = membership.Compare(own, p, machine.History)
		}
	})
	return relations, err
}
