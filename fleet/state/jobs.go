package state

import (
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/lease"
	"github.com/godwitcross/godwitcross/fleet/placement"
)

// Jobs is the state built from a data centre's job stream. It has its own leases, so
// that fencing depends only on this stream.
type Jobs struct {
	Placement    *placement.Reducer
	Lease        *lease.Reducer
	Checkpoints  *journal.Checkpoints
	stateMachine *journal.StateMachine
}

// NewJobs returns the empty state at offset 0.
func NewJobs() *Jobs {
	j := &Jobs{Placement: placement.NewReducer(), Lease: lease.NewReducer(), Checkpoints: &journal.Checkpoints{}}
	j.stateMachine = journal.NewStateMachine(j.Lease, j.reducers()...)
	return j
}

// StateMachine returns the state machine that applies records to the state.
func (j *Jobs) StateMachine() *journal.StateMachine {
	return j.stateMachine
}

// Holdings returns the lease holders of the stream's duties.
func (j *Jobs) Holdings() map[lease.Duty]lease.Holding {
	return j.Lease.Holdings()
}

// Checkpoint returns the checkpoint of the stream's newest snapshot that is complete in
// the log.
func (j *Jobs) Checkpoint() journal.Checkpoint {
	return j.Checkpoints.Last()
}

// reducers returns one reducer for each part of the state.
func (j *Jobs) reducers() []journal.Reducer {
	return []journal.Reducer{
		j.Placement,
		j.Lease,
		j.Checkpoints,
	}
}
