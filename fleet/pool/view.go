package pool

import (
	"maps"

	"github.com/godwitcross/godwitcross/fleet/budget"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/wave"
)

// View is a copy of the folded state for readers, who never change it.
type View struct {
	Hosts map[inventory.HostID]Host
	Pools map[inventory.PoolID]Pool
	Waves map[inventory.WaveID]wave.Progress
	// Active holds the hosts that are disturbed.
	Active map[inventory.HostID]struct{}
	// Breaches are the domains over their limit.
	Breaches []budget.Breach
	// members holds the hosts of each pool, in no order.
	members map[inventory.PoolID][]inventory.HostID
	ledger  *budget.Ledger
}

// Limit returns how many hosts of a domain may be unavailable.
func (v *View) Limit(d budget.Domain) int {
	return v.ledger.Limit(d)
}

// Count returns the count of a domain.
func (v *View) Count(d budget.Domain) budget.Count {
	return v.ledger.Count(d)
}

// View returns the present state. It is the same value until a record changes it.
func (r *Reducer) View() *View {
	if r.view == nil {
		waves := make(map[inventory.WaveID]wave.Progress, len(r.waves))
		for id, p := range r.waves {
			waves[id] = p.Clone()
		}
		members := make(map[inventory.PoolID][]inventory.HostID, len(r.pools))
		for id, h := range r.hosts {
			members[h.Pool] = append(members[h.Pool], id)
		}
		r.view = &View{
			members: members,
			Hosts:   maps.Clone(r.hosts), Pools: maps.Clone(r.pools), Waves: waves,
			Active: maps.Clone(r.active), Breaches: r.ledger.Breaches(), ledger: r.ledger.Clone(),
		}
	}
	return r.view
}
