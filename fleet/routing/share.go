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

// Rank returns the place of a host among the entry hosts and their number. A
// host that is not listed yet is added.
func Rank(self inventory.EntryID, listed []inventory.EntryID) (rank, hosts int) {
	all := slices.Clone(listed)
	if !slices.Contains(all, self) {
		all = append(all, self)
	}
	slices.Sort(all)
	all = slices.Compact(all)
	return slices.Index(all, self), len(all)
}
