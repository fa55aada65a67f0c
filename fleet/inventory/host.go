package inventory

import "time"

// HostState is the state of a host in the platform's host list.
type HostState string

// The states of a listed host. A host that is not listed has failed or was removed.
const (
	HostLive    HostState = "Live"
	HostLeaving HostState = "Leaving"
)

// HostRole is the kind of software that runs on a listed host.
type HostRole string

// The roles of listed hosts.
const (
	RoleWorker  HostRole = "Worker"
	RoleBackend HostRole = "Backend"
	RoleEntry   HostRole = "Entry"
)

// ListedHost is one entry of the platform's host list. The list is delayed.
type ListedHost struct {
	ID         HostID
	Role       HostRole
	State      HostState
	DataCentre DataCentreID
	Rack       RackID
	// Service is set for backend servers only.
	Service ServiceID `json:",omitempty"`
	// Address is the IP address and port that the host listens on.
	Address string `json:",omitempty"`
}

// HostList is the platform's host list as of a past time.
type HostList struct {
	// At is the time that the list describes. It is never in the future.
	At time.Time
	// Version counts the platform's changes to the list.
	Version int64 `json:",omitempty"`
	Hosts   []ListedHost
}

// HostListUpdate is the platform's answer to a client that already has some version of
// the host list.
type HostListUpdate struct {
	At      time.Time
	Version int64
	// Whole is set if Hosts is the complete list. Otherwise Hosts holds the new and
	// changed hosts, and Gone the hosts that are no longer listed.
	Whole bool         `json:",omitempty"`
	Hosts []ListedHost `json:",omitempty"`
	Gone  []HostID     `json:",omitempty"`
}

// Apply returns a copy of the list with the update applied. It doesn't change l.
func (l HostList) Apply(u HostListUpdate) HostList {
	next := HostList{At: u.At, Version: u.Version, Hosts: l.Hosts}
	if u.Whole {
		next.Hosts = u.Hosts
		return next
	}
	if len(u.Hosts)+len(u.Gone) == 0 {
		return next
	}
	outdated := make(map[HostID]bool, len(u.Hosts)+len(u.Gone))
	for _, h := range u.Hosts {
		outdated[h.ID] = true
	}
	for _, id := range u.Gone {
		outdated[id] = true
	}
	next.Hosts = make([]ListedHost, 0, len(l.Hosts)+len(u.Hosts))
	for _, h := range l.Hosts {
		if !outdated[h.ID] {
			next.Hosts = append(next.Hosts, h)
		}
	}
	next.Hosts = append(next.Hosts, u.Hosts...)
	return next
}

// UpdateFrom returns the update that turns the older list into l.
func (l HostList) UpdateFrom(older HostList) HostListUpdate {
	u := HostListUpdate{At: l.At, Version: l.Version}
	previous := make(map[HostID]ListedHost, len(older.Hosts))
	for _, h := range older.Hosts {
		previous[h.ID] = h
	}
	for _, h := range l.Hosts {
		if previous[h.ID] != h {
			u.Hosts = append(u.Hosts, h)
		}
		delete(previous, h.ID)
	}
	for id := range previous {
		u.Gone = append(u.Gone, id)
	}
	return u
}

// WorkerInfo holds the platform's description of a worker.
type WorkerInfo struct {
	ID         WorkerID
	DataCentre DataCentreID
	Rack       RackID
	Size       Size
}
