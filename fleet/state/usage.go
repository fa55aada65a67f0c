package state

import (
	"github.com/godwitcross/godwitcross/fleet/bill"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/lease"
)

// Usage is the state folded from a data centre's usage stream. Its leases are
// its own, so that fencing depends on nothing but this stream.
type Usage struct {
	Bill        *bill.Reducer
	Lease       *lease.Reducer
	Checkpoints *journal.Checkpoints
	fold        *journal.Fold
}

// NewUsage returns the state at offset 0.
func NewUsage() *Usage {
	u := &Usage{Bill: bill.NewReducer(), Lease: lease.NewReducer(), Checkpoints: &journal.Checkpoints{}}
	u.fold = journal.NewFold(u.Lease, u.reducers()...)
	return u
}

// Fold returns the fold that keeps the state.
func (u *Usage) Fold() *journal.Fold {
	return u.fold
}

// Holdings returns who holds the duties of the stream.
func (u *Usage) Holdings() map[lease.Duty]lease.Holding {
	return u.Lease.Holdings()
}

// Checkpoint returns the newest snapshot that the stream knows of.
func (u *Usage) Checkpoint() journal.Checkpoint {
	return u.Checkpoints.Last()
}

// reducers lists the parts of the state.
func (u *Usage) reducers() []journal.Reducer {
	return []journal.Reducer{
		u.Bill,
		u.Lease,
		u.Checkpoints,
	}
}
