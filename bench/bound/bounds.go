package bound

import "slices"

// Table is all bounds. Each subject has its own in a file of its own.
var Table = slices.Concat(requests, fleet, placement, state)
