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
	At time.Time
	// Version counts the platform's changes of the list.
	Version int64 `json:",omitempty"`
	Hosts   []ListedHost
}

// HostListUpdate is what the platform tells to somebody who has a version of the
// list already.
type HostListUpdate struct {
	At      time.Time
	Version int64
	// Whole is set if Hosts is the whole list; otherwise it has the hosts that
	// changed, and Gone those that are listed no more.
	Whole bool         `json:",omitempty"`
	Hosts []ListedHost `json:",omitempty"`
	Gone  []HostID     `json:",omitempty"`
}

// With returns the list brought up to date. The list itself stays as it is.
func (l HostList) With(u HostListUpdate) HostList {
	next := HostList{At: u.At, Version: u.Version, Hosts: l.Hosts}
	if u.Whole {
		next.Hosts = u.Hosts
		return next
	}
	if len(u.Hosts)+len(u.Gone) == 0 {
		return next
	}
	out := make(map[HostID]bool, len(u.Hosts)+len(u.Gone))
	for _, h := range u.Hosts {
		out[h.ID] = true
	}
	for _, id := range u.Gone {
		out[id] = true
	}
	next.Hosts = make([]ListedHost, 0, len(l.Hosts)+len(u.Hosts))
	for _, h := range l.Hosts {
		if !out[h.ID] {
			next.Hosts = append(next.Hosts, h)
		}
	}
	next.Hosts = append(next.Hosts, u.Hosts...)
	return next
}

// Update returns what brings the older list up to date.
func (l HostList) Update(older HostList) HostListUpdate {
	u := HostListUpdate{At: l.At, Version: l.Version}
	was := make(map[HostID]ListedHost, len(older.Hosts))
	for _, h := range older.Hosts {
		was[h.ID] = h
	}
	for _, h := range l.Hosts {
		if was[h.ID] != h {
			u.Hosts = append(u.Hosts, h)
		}
		delete(was, h.ID)
	}
	for id := range was {
		u.Gone = append(u.Gone, id)
	}
	return u
}

// WorkerFacts is what the platform tells about a worker.
type WorkerFacts struct {
	ID         WorkerID
	DataCentre DataCentreID
	Rack       RackID
	Size       Size
}
