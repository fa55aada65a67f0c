package pool

import "github.com/godwitcross/godwitcross/fleet/inventory"

// HostStatus is a host as reported to operators.
type HostStatus struct {
	ID inventory.HostID
	Host
}
