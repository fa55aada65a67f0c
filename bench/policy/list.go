// Package policy measures decisions: the real packages over small fakes of
// their neighbours, in virtual time, with fixed seeds.
package policy

import "github.com/godwitcross/godwitcross/bench/measure"

// Measurements are all measurements of policies, in order.
var Measurements = []measure.Measurement{
	requests,
	claims,
	heartbeats,
	propagation,
	logRecovery,
	waves,
	moves,
	capacities,
	jobPlacement,
}
