package pool

import "github.com/godwitcross/godwitcross/fleet/inventory"

// HostStatus is what operators see of a host.
type HostStatus struct {
	ID inventory.HostID
	Host
}
