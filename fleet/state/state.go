// Package state puts the parts of the folded state together: one reducer for
// each part, listed in order in one place.
package state

import (
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/lease"
	"github.com/godwitcross/godwitcross/fleet/pool"
)

// Fleet is the state folded from the global stream.
type Fleet struct {
	Configuration *configuration.Reducer
	Lease         *lease.Reducer
	Pools         *pool.Reducer
	Checkpoints   *journal.Checkpoints
	fold          *journal.Fold
}

// NewFleet returns the state at offset 0.
func NewFleet() *Fleet {
	f := &Fleet{
		Configuration: configuration.NewReducer(),
		Lease:         lease.NewReducer(),
		Pools:         pool.NewReducer(),
		Checkpoints:   &journal.Checkpoints{},
	}
	f.fold = journal.NewFold(f.Lease, f.reducers()...)
	return f
}

// Fold returns the fold that keeps the state.
func (f *Fleet) Fold() *journal.Fold {
	return f.fold
}

// reducers lists the parts of the state.
func (f *Fleet) reducers() []journal.Reducer {
	return []journal.Reducer{
		configured{f.Configuration, f.Pools},
		f.Lease,
		f.Pools,
		f.Checkpoints,
	}
}
