// Package capacity measures how state, messages, processor time and memory grow
// with the size of the fleet.
package capacity

import "github.com/godwitcross/godwitcross/bench/measure"

// Measurements are all measurements of capacity, in order.
var Measurements []measure.Measurement
