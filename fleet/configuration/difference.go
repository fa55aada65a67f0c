package configuration

import (
	"maps"
	"reflect"
	"slices"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// PoolOf returns the pool that should hold the host: the one whose selector
// claims it, or the spare pool of its home owner. It is empty for a host that is
// not configured.
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

// HostMove is a host that a change takes from one pool to another. From is empty
// for a new host, To for one that is deleted.
type HostMove struct {
	Host     inventory.HostID
	From, To inventory.PoolID
}

// Difference is what a change does to a configuration.
type Difference struct {
	Added   []Key
	Changed []Key
	Deleted []Key
	// Unchanged objects are named by the change and already are as it sets them.
	Unchanged []Key
	// Moves are in order of the hosts' names.
	Moves []HostMove
	// Budgets are the pools whose budget changes, in order.
	Budgets []inventory.PoolID
}

// Compare returns what leads from one configuration to the next, looking at the
// keys that a change touches.
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

// get returns an object by its key.
func (o Objects) get(k Key) (any, bool) {
	a := accessors[k.Kind]
	if !a.has(o, k.Name) {
		return nil, false
	}
	return a.get(o, k.Name), true
}
