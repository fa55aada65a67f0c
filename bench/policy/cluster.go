package policy

import (
	"fmt"

	"github.com/godwitcross/godwitcross/bench/measure"
)

// The measurements of heartbeats, of change propagation and of log recovery.
var (
	heartbeats  = measure.Measurement{Name: "heartbeats", Usage: "bytes, false suspicions and time to detect a loss, by the number of entry hosts", Run: measureHeartbeats}
	propagation = measure.Measurement{Name: "propagation", Usage: "messages and bytes of a change by direct reading, relaying and interval broadcast", Run: measurePropagation}
	logRecovery = measure.Measurement{Name: "return", Usage: "calls to the log when it recovers from an outage", Run: measureLogRecovery}
)

// clusterSizes are the measured numbers of entry hosts and data centres.
var clusterSizes = []struct{ hosts, dataCentres int }{{9, 3}, {72, 8}, {500, 8}}

// clusterFigure returns a figure whose name ends with the number of entry hosts.
func clusterFigure(name string, hosts int, v float64, u measure.Unit) measure.Figure {
	return measure.Figure{Name: fmt.Sprintf("%s_at_%d", name, hosts), Value: v, Unit: u, Deterministic: true}
}
