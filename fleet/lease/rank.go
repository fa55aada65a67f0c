package lease

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// Rank returns the hosts in the order in which they should hold the duty, by
// rendezvous hashing: when a host is removed, only its duties move to another host.
func Rank(d Duty, hosts []inventory.EntryID) []inventory.EntryID {
	ranked := slices.Clone(hosts)
	weight := func(h inventory.EntryID) uint64 {
		return xxhash.Sum64String(string(d) + "\x00" + string(h))
	}
	slices.SortFunc(ranked, func(a, b inventory.EntryID) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})
	return ranked
}
