// Package load measures over real sockets on the loopback address. Its figures
// depend on the machine, so bounds on them are ratios within one run.
package load

import "github.com/godwitcross/godwitcross/bench/measure"

// Measurements are all measurements over sockets, in order.
var Measurements = []measure.Measurement{
	requests,
	growth,
}
