package routing

import (
	"slices"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// Share returns how many of the slots of the server at the place are this
// host's own. The slots of all servers are numbered in a row and dealt to the
// hosts in order, so that hosts with the same view own disjoint slots, every
// slot has an owner, and no two hosts differ by more than one slot.
func Share(slots inventory.Slots, place, rank, hosts int) inventory.Slots {
	if hosts <= 1 {
		return slots
	}
	first := place * int(slots)
	return inventory.Slots(dealt(first+int(slots), rank, hosts) - dealt(first, rank, hosts))
}

// dealt returns how many of the first n slots fall to the host of the rank.
func dealt(n, rank, hosts int) int {
	return (n - rank + hosts - 1) / hosts
}

// Host is an entry host that shares the servers.
type Host struct {
	ID         inventory.EntryID
	DataCentre inventory.DataCentreID
}

// rank returns the place of a host among the others, but for those in data
// centres that are cut off, and their number. A host that is not listed yet is
// added.
func rank(self inventory.EntryID, listed []Host, cutOff map[inventory.DataCentreID]bool) (place, hosts int) {
	all := []inventory.EntryID{self}
	for _, h := range listed {
		if !cutOff[h.DataCentre] {
			all = append(all, h.ID)
		}
	}
	slices.Sort(all)
	all = slices.Compact(all)
	return slices.Index(all, self), len(all)
}
