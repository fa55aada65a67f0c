package bound

import "slices"

// Table is all bounds.
var Table = slices.Concat(requests, fleet, placement, state)

// Each subject has its bounds in a file of its own.
var fleet []Bound
