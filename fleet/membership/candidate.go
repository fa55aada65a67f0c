package membership

import "github.com/godwitcross/godwitcross/fleet/inventory"

// Candidates returns the entry hosts that may hold duties of a data centre, or of all data
// centres if it is empty: this host and the live hosts in the list, except for peers that
// are suspected, gone, leaving or without a connection to the platform. A listed host from
// which no heartbeat has arrived yet is a candidate. There are no candidates until a host
// list has been read, as every host would rank first among the hosts that it knows.
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
