package follower

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/membership"
	"github.com/godwitcross/godwitcross/fleet/state"
)

// Errors of calls.
var (
	// ErrEnded means that the follower does not run any more.
	ErrEnded = eris.New("the follower has ended")
	// ErrOtherLog means that the asker applied other records.
	ErrOtherLog = eris.New("other records at the same offsets")
	// ErrNotKept means that the records asked for are not kept here.
	ErrNotKept = eris.New("records are not kept here")
)

// call is what another task asks. do runs on the follower's own goroutine.
type call struct {
	do   func()
	done chan struct{}
}

func (f *Follower) call(ctx context.Context, do func()) error {
	c := call{do: do, done: make(chan struct{})}
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

// Snapshot returns the state as it is now.
func (f *Follower) Snapshot(ctx context.Context) (journal.Snapshot, error) {
	var s journal.Snapshot
	var failed error
	err := f.call(ctx, func() {
		if f.guard.fault != "" {
			failed = eris.Wrapf(journal.ErrInvalidSnapshot, "no snapshot of a state in doubt: %s", f.guard.fault)
			return
		}
		s, failed = f.fleet.StateMachine().Snapshot(journal.StreamFleet)
	})
	if err == nil {
		err = failed
	}
	return s, err
}

// Restore replaces the state by a snapshot that is ahead of it and returns the
// offset up to which the state is applied then. A snapshot that is not ahead, or
// that is refused, changes nothing.
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
	if f.guard.fault != "" {
		return eris.Wrapf(journal.ErrInvalidSnapshot, "the state is in doubt: %s", f.guard.fault)
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

// Records returns kept records from the offset on and the end of the stream as
// last seen. The history is the asker's digest up to the offset.
func (f *Follower) Records(ctx context.Context, from journal.Offset, history uint64, limit int) (records [][]byte, end journal.Offset, err error) {
	var failed error
	err = f.call(ctx, func() {
		if h, known := f.fleet.StateMachine().History(from); known && h != history {
			failed = eris.Wrapf(ErrOtherLog, "up to %d", from)
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

// Compare returns how each peer stands to this host.
func (f *Follower) Compare(ctx context.Context, peers []membership.Peer) ([]membership.Relation, error) {
	relations := make([]membership.Relation, len(peers))
	err := f.call(ctx, func() {
		fold := f.fleet.StateMachine()
		own := membership.Heartbeat{Applied: fold.NextOffset(), Digest: fold.Digest(), KnownKinds: fold.KnownKinds()}
		for i, p := range peers {
			relations[i] = membership.Compare(own, p, fold.History)
		}
	})
	return relations, err
}
