package pool

import (
	"maps"
	"slices"

	"github.com/godwitcross/godwitcross/fleet/budget"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/wave"
)

// View is a read-only copy of the reducer's state.
type View struct {
	Hosts map[inventory.HostID]*Host
	Pools map[inventory.PoolID]Pool
	Waves map[inventory.WaveID]wave.Progress
	// Active holds the hosts that are not in the phase InService.
	Active map[inventory.HostID]struct{}
	// Breaches holds the domains over their limit.
	Breaches []budget.Breach
	// members holds the hosts of each pool, in order.
	members map[inventory.PoolID][]inventory.HostID
	// displaced holds the hosts whose desired pool differs from their pool, unordered.
	displaced []inventory.HostID
	// failed holds the failed hosts, unordered.
	failed []inventory.HostID
	ledger *budget.Ledger
}

// Limit returns how many hosts of a domain may be unavailable.
func (v *View) Limit(d budget.Domain) int {
	return v.ledger.Limit(d)
}

// Count returns the count of a domain.
func (v *View) Count(d budget.Domain) budget.Count {
	return v.ledger.Count(d)
}

// View returns the current state. It returns the same value until the state changes.
func (r *Reducer) View() *View {
	if r.view == nil {
		waves := make(map[inventory.WaveID]wave.Progress, len(r.waves))
		for id, p := range r.waves {
			waves[id] = p.Clone()
		}
		var displaced, failed []inventory.HostID
		for id, h := range r.hosts {
			if h.Desired != h.Pool {
				displaced = append(displaced, id)
			}
			if h.Failed {
				failed = append(failed, id)
			}
		}
		r.view = &View{
			members: r.membersByPool(), displaced: displaced, failed: failed,
			Hosts: maps.Clone(r.hosts), Pools: maps.Clone(r.pools), Waves: waves,
			Active: maps.Clone(r.active), Breaches: r.ledger.Breaches(), ledger: r.ledger.Clone(),
		}
	}
	return r.view
}

func (r *Reducer) membersByPool() map[inventory.PoolID][]inventory.HostID {
	if r.members == nil {
		r.members = make(map[inventory.PoolID][]inventory.HostID, len(r.pools))
		for _, id := range slices.Sorted(maps.Keys(r.hosts)) {
			p := r.hosts[id].Pool
			r.members[p] = append(r.members[p], id)
		}
	}
	return r.members
}
