package inventory

import "time"

// HostState is what the platform's host list says of a host.
type HostState string

// The states of a listed host. A host that is not listed has failed or is gone.
const (
	HostLive    HostState = "Live"
	HostLeaving HostState = "Leaving"
)

// HostRole is what runs on a listed host.
type HostRole string

// The roles of listed hosts.
const (
	RoleWorker  HostRole = "Worker"
	RoleBackend HostRole = "Backend"
	RoleEntry   HostRole = "Entry"
)

// ListedHost is one line of the platform's delayed host list.
type ListedHost struct {
	ID         HostID
	Role       HostRole
	State      HostState
	DataCentre DataCentreID
	Rack       RackID
	// Service is set for backend servers only.
	Service ServiceID `json:",omitempty"`
	// Address is the IP number and port that the host serves on.
	Address string `json:",omitempty"`
}

// HostList is the platform's list as it was at a moment in the past.
type HostList struct {
	// At is the moment the list describes. It never exceeds the present.
	At    time.Time
	Hosts []ListedHost
}

// WorkerFacts is what the platform tells about a worker.
type WorkerFacts struct {
	ID         WorkerID
	DataCentre DataCentreID
	Rack       RackID
	Size       Size
}
