package routing

import (
	"slices"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// Share returns how many slots of the server with the index belong to the host with the
// rank. The slots of all servers are numbered consecutively and assigned to the hosts in
// turn. Hosts with the same view therefore own disjoint slots, every slot has an owner,
// and the totals of two hosts differ by at most one.
func Share(slots inventory.Slots, index, rank, hosts int) inventory.Slots {
	if hosts <= 1 {
		return slots
	}
	first := index * int(slots)
	return inventory.Slots(slotsOfRank(first+int(slots), rank, hosts) - slotsOfRank(first, rank, hosts))
}

// slotsOfRank returns how many of the first n slots are assigned to the host with the
// rank.
func slotsOfRank(n, rank, hosts int) int {
	return (n - rank + hosts - 1) / hosts
}

// Host is an entry host that shares the backend servers.
type Host struct {
	ID         inventory.EntryID
	DataCentre inventory.DataCentreID
}

// rankOf returns the rank of this host among the hosts outside unreachable data centres,
// and the number of these hosts. It adds this host if it is not listed yet.
func rankOf(self inventory.EntryID, listed []Host, unreachable map[inventory.DataCentreID]bool) (rank, hosts int) {
	all := []inventory.EntryID{self}
	for _, h := range listed {
		if !unreachable[h.DataCentre] {
			all = append(all, h.ID)
		}
	}
	slices.Sort(all)
	all = slices.Compact(all)
	return slices.Index(all, self), len(all)
}
