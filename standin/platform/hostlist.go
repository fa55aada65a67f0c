package platform

import (
	"sync"
	"time"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// HostList is the platform's list of hosts, told with a delay.
type HostList struct {
	mu sync.Mutex
	// delay is how old the told list is at least.
	delay time.Duration
	hosts map[inventory.HostID]inventory.ListedHost
	// told is the list as it is told now; pending ones become visible in order
	// once they are delay old.
	told    inventory.HostList
	pending []inventory.HostList
	// past are the last lists that were told, oldest first.
	past    []inventory.HostList
	version int64
}

// maxPast is how many lists back an update can be told.
const maxPast = 64

// NewHostList returns an empty list.
func NewHostList(delay time.Duration) *HostList {
	return &HostList{delay: delay, hosts: make(map[inventory.HostID]inventory.ListedHost)}
}

// Put lists a host, or changes what is listed.
func (l *HostList) Put(now time.Time, hosts ...inventory.ListedHost) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range hosts {
		l.hosts[h.ID] = h
	}
	l.record(now)
}

// SetState changes the state of a listed host.
func (l *HostList) SetState(now time.Time, id inventory.HostID, state inventory.HostState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h, ok := l.hosts[id]
	if !ok {
		return
	}
	h.State = state
	l.hosts[id] = h
	l.record(now)
}

// Remove takes a host off the list.
func (l *HostList) Remove(now time.Time, id inventory.HostID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.hosts, id)
	l.record(now)
}

func (l *HostList) record(now time.Time) {
	l.version++
	list := inventory.HostList{At: now, Version: l.version}
	for _, h := range l.hosts {
		list.Hosts = append(list.Hosts, h)
	}
	l.pending = append(l.pending, list)
}

// List returns the list as it is told at the moment. A frozen list does not move on.
func (l *HostList) List(now time.Time, frozen bool) inventory.HostList {
	l.mu.Lock()
	defer l.mu.Unlock()
	if frozen {
		return l.told
	}
	for len(l.pending) > 0 && now.Sub(l.pending[0].At) >= l.delay {
		l.past = append(l.past, l.told)
		l.past = l.past[max(0, len(l.past)-maxPast):]
		l.told = l.pending[0]
		l.pending = l.pending[1:]
	}
	told := l.told
	if len(l.pending) == 0 {
		told.At = now.Add(-l.delay)
	}
	return told
}

// Update returns what brings somebody with the version up to date: the whole list
// if the version is unknown.
func (l *HostList) Update(now time.Time, frozen bool, version int64) inventory.HostListUpdate {
	told := l.List(now, frozen)
	if told.Version == version {
		return inventory.HostListUpdate{At: told.At, Version: version}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.past {
		if p.Version == version && version > 0 {
			return told.UpdateFrom(p)
		}
	}
	return inventory.HostListUpdate{At: told.At, Version: told.Version, Whole: true, Hosts: told.Hosts}
}
