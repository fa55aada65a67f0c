// Package state assembles the replicated state of each stream from the reducers of its
// parts, and sets how records of each kind are treated during a log outage.
package state

import (
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/lease"
	"github.com/godwitcross/godwitcross/fleet/pool"
)

// Fleet is the state built from the global stream.
type Fleet struct {
	Configuration *configuration.Reducer
	Lease         *lease.Reducer
	Pools         *pool.Reducer
	Checkpoints   *journal.Checkpoints
	stateMachine  *journal.StateMachine
}

// NewFleet returns the empty state at offset 0.
func NewFleet() *Fleet {
	f := &Fleet{
		Configuration: configuration.NewReducer(),
		Lease:         lease.NewReducer(),
		Pools:         pool.NewReducer(),
		Checkpoints:   &journal.Checkpoints{},
	}
	f.stateMachine = journal.NewStateMachine(f.Lease, f.reducers()...)
	return f
}

// StateMachine returns the state machine that applies records to the state.
func (f *Fleet) StateMachine() *journal.StateMachine {
	return f.stateMachine
}

// reducers returns one reducer for each part of the state.
func (f *Fleet) reducers() []journal.Reducer {
	return []journal.Reducer{
		configurationReducer{f.Configuration, f.Pools},
		f.Lease,
		f.Pools,
		f.Checkpoints,
	}
}
