package configuration

import (
	"maps"
	"reflect"
	"slices"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// PoolOf returns the pool to which the host should belong: the one whose selector
// claims it, otherwise the spare pool of its home owner. It is empty for a host that
// is not configured.
func (o Objects) PoolOf(id inventory.HostID) inventory.PoolID {
	h, ok := o.Hosts[id]
	if !ok {
		return ""
	}
	for p, pool := range o.Pools {
		if pool.Claims(id, h) {
			return p
		}
	}
	return o.Owners[h.Owner].SparePool
}

// HostMove is the move of a host from one pool to another. From is empty for a new
// host, To for a deleted one.
type HostMove struct {
	Host     inventory.HostID
	From, To inventory.PoolID
}

// Difference describes the effect of a change on a configuration.
type Difference struct {
	Added   []Key
	Changed []Key
	Deleted []Key
	// Unchanged are the objects that the change sets to their present value.
	Unchanged []Key
	// Moves are sorted by host.
	Moves []HostMove
	// Budgets are the pools whose budget changes, sorted.
	Budgets []inventory.PoolID
}

// Compare returns the difference between two configurations. Of the objects it
// compares only the touched ones, but the moves are those of all hosts.
func Compare(from, to Objects, touched []Key) Difference {
	var d Difference
	for _, k := range touched {
		before, had := from.get(k)
		after, has := to.get(k)
		switch {
		case !had && has:
			d.Added = append(d.Added, k)
		case had && !has:
			d.Deleted = append(d.Deleted, k)
		case reflect.DeepEqual(before, after):
			d.Unchanged = append(d.Unchanged, k)
		default:
			d.Changed = append(d.Changed, k)
		}
		if p := inventory.PoolID(k.Name); k.Kind == KindPool && from.Pools[p].Budget != to.Pools[p].Budget {
			d.Budgets = append(d.Budgets, p)
		}
	}
	d.Moves = hostMoves(from, to)
	return d
}

func hostMoves(from, to Objects) []HostMove {
	ids := make(map[inventory.HostID]bool, len(to.Hosts))
	for id := range from.Hosts {
		ids[id] = true
	}
	for id := range to.Hosts {
		ids[id] = true
	}
	var out []HostMove
	for _, id := range slices.Sorted(maps.Keys(ids)) {
		m := HostMove{Host: id, From: from.PoolOf(id), To: to.PoolOf(id)}
		if m.From != m.To {
			out = append(out, m)
		}
	}
	return out
}

// get returns the object with the key and whether it exists.
func (o Objects) get(k Key) (any, bool) {
	a := accessors[k.Kind]
	if !a.has(o, k.Name) {
		return nil, false
	}
	return a.get(o, k.Name), true
}
