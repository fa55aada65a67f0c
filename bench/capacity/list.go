// Package capacity measures how state, messages, processor time and memory grow
// with the size of the fleet.
package capacity

import "github.com/godwitcross/godwitcross/bench/measure"

// Measurements are all measurements of capacity, in order.
var Measurements = []measure.Measurement{
	{Name: "fold", Usage: "time and bytes of folding one change of configuration", Run: measureFold},
	{Name: "state", Usage: "bytes of state per host, pool, team and job", Run: measureState},
	{Name: "lease", Usage: "bytes of renewing duties", Run: measureLease},
	{Name: "snapshot", Usage: "size of a snapshot, time to make it and to be ready from it", Run: measureSnapshot},
	{Name: "hostlist", Usage: "bytes of the platform's host list", Run: measureHostList},
	{Name: "keys", Usage: "bytes of the claims of a service's keys", Run: measureKeys},
	{Name: "wire", Usage: "bytes of heartbeats between entry hosts", Run: measureWire},
	{Name: "node", Usage: "bytes that one entry host spends on control at the size to design for", Run: measureNode},
}
