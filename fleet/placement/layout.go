package placement

import (
	"cmp"
	"slices"

	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/label"
)

// Worker is a worker on which jobs may be placed.
type Worker struct {
	ID   inventory.WorkerID
	Pool inventory.PoolID
	Rack inventory.RackID
	Size inventory.Size
}

// Pool is the part of a pool's configuration that placement uses.
type Pool struct {
	Owner inventory.OwnerID
	Jobs  label.Selector
}

// Team is the part of a team's configuration that placement uses.
type Team struct {
	Owner inventory.OwnerID
	// Weight is at least 1.
	Weight int
	// Quota is this data centre's share of the team's quota.
	Quota inventory.Size
}

// Layout is the workers, pools and teams of one data centre.
type Layout struct {
	// Workers are the live workers that accept jobs. Each is in one pool.
	Workers []Worker
	Pools   map[inventory.PoolID]Pool
	Teams   map[inventory.TeamID]Team
}

// NewLayout returns the layout of a data centre. Its workers are the hosts for which
// acceptsJobs returns true; poolOf returns the pool of a host.
func NewLayout(cfg configuration.Configuration, dc inventory.DataCentreID, poolOf func(inventory.HostID) (inventory.PoolID, bool), acceptsJobs func(inventory.HostID) bool) Layout {
	l := Layout{Pools: make(map[inventory.PoolID]Pool, len(cfg.Pools)), Teams: make(map[inventory.TeamID]Team, len(cfg.Teams))}
	local, total := make(map[inventory.OwnerID]inventory.Size), make(map[inventory.OwnerID]inventory.Size)
	for id, h := range cfg.Hosts {
		pool, ok := poolOf(id)
		if !ok {
			continue
		}
		owner := cfg.Pools[pool].Owner
		total[owner] = total[owner].Add(h.Size)
		if h.DataCentre != dc {
			continue
		}
		local[owner] = local[owner].Add(h.Size)
		if acceptsJobs(id) {
			l.Workers = append(l.Workers, Worker{ID: id.Worker(), Pool: pool, Rack: h.Rack, Size: h.Size})
		}
	}
	slices.SortFunc(l.Workers, func(a, b Worker) int { return cmp.Compare(a.ID, b.ID) })
	for id, p := range cfg.Pools {
		l.Pools[id] = Pool{Owner: p.Owner, Jobs: p.Jobs}
	}
	for id, t := range cfg.Teams {
		l.Teams[id] = Team{Owner: t.Owner, Weight: max(t.Weight, 1), Quota: localQuota(t.Quota, local[t.Owner], total[t.Owner])}
	}
	return l
}

// localQuota returns the quota multiplied by the data centre's share of the total size.
func localQuota(quota, local, total inventory.Size) inventory.Size {
	return inventory.Size{
		Cores:        inventory.Millicores(proportion(int64(quota.Cores), int64(local.Cores), int64(total.Cores))),
		Memory:       inventory.Bytes(proportion(int64(quota.Memory), int64(local.Memory), int64(total.Memory))),
		Accelerators: inventory.Accelerators(proportion(int64(quota.Accelerators), int64(local.Accelerators), int64(total.Accelerators))),
	}
}

// proportion returns n times local divided by total, rounded up.
func proportion(n, local, total int64) int64 {
	if total <= 0 {
		return 0
	}
	// A product of two memory sizes in bytes overflows 64 bits. The 53 bits of a float64
	// are precise enough for a quota.
	v := float64(n) * float64(local) / float64(total)
	r := int64(v)
	if float64(r) < v {
		r++
	}
	return r
}
