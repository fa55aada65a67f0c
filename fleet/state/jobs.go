package state

import (
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/lease"
	"github.com/godwitcross/godwitcross/fleet/placement"
)

// Jobs is the state folded from a data centre's job stream. Its leases are its
// own, so that fencing depends on nothing but this stream.
type Jobs struct {
	Placement   *placement.Reducer
	Lease       *lease.Reducer
	Checkpoints *journal.Checkpoints
	fold        *journal.Fold
}

// NewJobs returns the state at offset 0.
func NewJobs() *Jobs {
	j := &Jobs{Placement: placement.NewReducer(), Lease: lease.NewReducer(), Checkpoints: &journal.Checkpoints{}}
	j.fold = journal.NewFold(j.Lease, j.reducers()...)
	return j
}

// Fold returns the fold that keeps the state.
func (j *Jobs) Fold() *journal.Fold {
	return j.fold
}

// Holdings returns who holds the duties of the stream.
func (j *Jobs) Holdings() map[lease.Duty]lease.Holding {
	return j.Lease.Holdings()
}

// Checkpoint returns the newest snapshot that the stream knows of.
func (j *Jobs) Checkpoint() journal.Checkpoint {
	return j.Checkpoints.Last()
}

// reducers lists the parts of the state.
func (j *Jobs) reducers() []journal.Reducer {
	return []journal.Reducer{
		j.Placement,
		j.Lease,
		j.Checkpoints,
	}
}
