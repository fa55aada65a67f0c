// Package model checks small worlds of hosts and one log: what the fold, the
// leases and the snapshots promise together, whatever the log loses, repeats or
// holds back, and whoever is paused or cut off. It has no code of its own beside
// its tests.
package model
