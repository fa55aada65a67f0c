// Package load measures requests over real sockets on the loopback address, and the
// time per decision. Its figures depend on the machine, so bounds on them are ratios
// within one run.
package load

import "github.com/godwitcross/godwitcross/bench/measure"

// Measurements lists the measurements of load in order.
var Measurements = []measure.Measurement{
	requests,
	growth,
}
