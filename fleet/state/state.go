// Package state puts the parts of the folded state together: one reducer for
// each part, listed in order in one place.
package state

import (
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/journal"
)

// Fleet is the state folded from the global stream.
type Fleet struct {
	Configuration *configuration.Reducer
	fold          *journal.Fold
}

// NewFleet returns the state at offset 0.
func NewFleet() *Fleet {
	f := &Fleet{Configuration: configuration.NewReducer()}
	f.fold = journal.NewFold(f.Configuration)
	return f
}

// Fold returns the fold that keeps the state.
func (f *Fleet) Fold() *journal.Fold {
	return f.fold
}
