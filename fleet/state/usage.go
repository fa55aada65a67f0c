package state

import (
	"github.com/godwitcross/godwitcross/fleet/bill"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/lease"
)

// Usage is the state built from a data centre's usage stream. It has its own leases, so
// that fencing depends only on this stream.
type Usage struct {
	Bill         *bill.Reducer
	Lease        *lease.Reducer
	Checkpoints  *journal.Checkpoints
	stateMachine *journal.StateMachine
}

// NewUsage returns the empty state at offset 0.
func NewUsage() *Usage {
	u := &Usage{Bill: bill.NewReducer(), Lease: lease.NewReducer(), Checkpoints: &journal.Checkpoints{}}
	u.stateMachine = journal.NewStateMachine(u.Lease, u.reducers()...)
	return u
}

// StateMachine returns the state machine that applies records to the state.
func (u *Usage) StateMachine() *journal.StateMachine {
	return u.stateMachine
}

// Holdings returns the lease holders of the stream's duties.
func (u *Usage) Holdings() map[lease.Duty]lease.Holding {
	return u.Lease.Holdings()
}

// Checkpoint returns the checkpoint of the stream's newest snapshot that is complete in
// the log.
func (u *Usage) Checkpoint() journal.Checkpoint {
	return u.Checkpoints.Last()
}

// reducers returns one reducer for each part of the state.
func (u *Usage) reducers() []journal.Reducer {
	return []journal.Reducer{
		u.Bill,
		u.Lease,
		u.Checkpoints,
	}
}
