package operation

import (
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/pool"
)

// Plan is the response to POST /plan: the effects that a change would have.
type Plan struct {
	// Base is the configuration version against which the plan was made.
	Base configuration.Version
	configuration.Difference
	// Waves are the waves that the change sets or whose pools' budgets it changes, with
	// the forecast as if the change were in force now.
	Waves []pool.WaveStatus `json:",omitempty"`
}
