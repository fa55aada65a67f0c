package operation

import (
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/pool"
)

// Plan is the answer to POST /plan: what a change would do.
type Plan struct {
	// Base is the version that the plan was made against.
	Base configuration.Version
	configuration.Difference
	// Waves are those that the change sets or whose pools' budgets it changes,
	// with the forecast as if it were in force now.
	Waves []pool.WaveStatus `json:",omitempty"`
}
