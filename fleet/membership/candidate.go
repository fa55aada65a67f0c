package membership

import "github.com/godwitcross/godwitcross/fleet/inventory"

// Candidates returns the entry hosts that may hold duties of a data centre, or of
// all if it is empty: this host and the listed ones, but for those that peers know
// to be silent, leaving or without the platform. A host that nobody heard yet is a
// candidate. There are none while no host list was read, since a rank among
// unknown hosts would make every host the first.
func Candidates(self inventory.EntryID, dc inventory.DataCentreID, list inventory.HostList, peers []Peer) []inventory.EntryID {
	if list.At.IsZero() {
		return nil
	}
	excluded := make(map[inventory.EntryID]bool)
	for _, p := range peers {
		excluded[p.Name] = p.State != Alive || p.Leaving || !p.Platform
	}
	ids := []inventory.EntryID{self}
	for _, h := range list.Hosts {
		id := inventory.EntryID(h.ID)
		if h.Role != inventory.RoleEntry || h.State != inventory.HostLive || id == self || excluded[id] {
			continue
		}
		if dc == "" || h.DataCentre == dc {
			ids = append(ids, id)
		}
	}
	return ids
}
