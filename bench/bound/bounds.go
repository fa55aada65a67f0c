package bound

import "slices"

// Table is all bounds.
var Table = slices.Concat(requests, fleet, placement, state)

// The bounds by subject; each subject has a file of its own.
var (
	placement []Bound
)
