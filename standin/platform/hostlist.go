package platform

import (
	"sync"
	"time"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// HostList is the platform's list of hosts, whose changes become visible after a delay. It is
// safe for concurrent use.
type HostList struct {
	mu sync.Mutex
	// delay is the minimum age of a visible change.
	delay time.Duration
	hosts map[inventory.HostID]inventory.ListedHost
	// visible is the version that readers see. Pending versions replace it in order, each
	// after the delay.
	visible inventory.HostList
	pending []inventory.HostList
	// history holds the versions that were visible before, oldest first.
	history []inventory.HostList
	version int64
}

// maxHistory is the number of former versions for which an incremental update is available.
const maxHistory = 64

// NewHostList returns an empty list with the delay.
func NewHostList(delay time.Duration) *HostList {
	return &HostList{delay: delay, hosts: make(map[inventory.HostID]inventory.ListedHost)}
}

// Put adds hosts, or replaces those of the same ID.
func (l *HostList) Put(now time.Time, hosts ...inventory.ListedHost) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range hosts {
		l.hosts[h.ID] = h
	}
	l.addVersion(now)
}

// SetState changes the state of a host. It has no effect on a host that isn't listed.
func (l *HostList) SetState(now time.Time, id inventory.HostID, state inventory.HostState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h, ok := l.hosts[id]
	if !ok {
		return
	}
	h.State = state
	l.hosts[id] = h
	l.addVersion(now)
}

// Remove removes a host from the list.
func (l *HostList) Remove(now time.Time, id inventory.HostID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.hosts, id)
	l.addVersion(now)
}

// addVersion adds the current hosts as a pending version.
func (l *HostList) addVersion(now time.Time) {
	l.version++
	list := inventory.HostList{At: now, Version: l.version}
	for _, h := range l.hosts {
		list.Hosts = append(list.Hosts, h)
	}
	l.pending = append(l.pending, list)
}

// List returns the list that is visible now. A frozen list stays at its last version.
func (l *HostList) List(now time.Time, frozen bool) inventory.HostList {
	l.mu.Lock()
	defer l.mu.Unlock()
	if frozen {
		return l.visible
	}
	for len(l.pending) > 0 && now.Sub(l.pending[0].At) >= l.delay {
		l.history = append(l.history, l.visible)
		l.history = l.history[max(0, len(l.history)-maxHistory):]
		l.visible = l.pending[0]
		l.pending = l.pending[1:]
	}
	list := l.visible
	if len(l.pending) == 0 {
		list.At = now.Add(-l.delay)
	}
	return list
}

// Update returns the changes since the version, or the whole list if the version isn't in the
// history.
func (l *HostList) Update(now time.Time, frozen bool, version int64) inventory.HostListUpdate {
	list := l.List(now, frozen)
	if list.Version == version {
		return inventory.HostListUpdate{At: list.At, Version: version}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, previous := range l.history {
		if previous.Version == version && version > 0 {
			return list.UpdateFrom(previous)
		}
	}
	return inventory.HostListUpdate{At: list.At, Version: list.Version, Whole: true, Hosts: list.Hosts}
}
