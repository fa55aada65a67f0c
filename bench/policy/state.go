package policy

import (
	"fmt"

	"github.com/godwitcross/godwitcross/bench/measure"
)

// The measurements of state, membership and propagation.
var (
	heartbeats  = measure.Measurement{Name: "heartbeats", Usage: "bytes, false suspicions and time to see a loss, by the number of entry hosts", Run: measureHeartbeats}
	propagation = measure.Measurement{Name: "propagation", Usage: "messages and bytes of a change by direct reading, relaying and interval broadcast", Run: measurePropagation}
	logReturn   = measure.Measurement{Name: "return", Usage: "calls at the log when it returns after an outage", Run: measureReturn}
)

// crowds are the numbers of entry hosts, with their data centres.
var crowds = []struct{ hosts, dataCentres int }{{9, 3}, {72, 8}, {500, 8}}

// at names a figure at a number of entry hosts.
func at(name string, hosts int, v float64, u measure.Unit) measure.Figure {
	return measure.Figure{Name: fmt.Sprintf("%s_at_%d", name, hosts), Value: v, Unit: u, Deterministic: true}
}
