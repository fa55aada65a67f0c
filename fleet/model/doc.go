// Package model tests the log, the leases and the snapshots together. A few simulated
// hosts share one log that may lose, repeat or delay records, and hosts may be paused or
// cut off. The tests check that the invariants hold for all short sequences of actions
// and for random long ones. The package has no code outside its tests.
package model
