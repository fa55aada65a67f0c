package pool

import (
	"maps"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/fleet/budget"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// ErrInvariant is returned by Verify.
var ErrInvariant = eris.New("invariant of the pools broken")

// Verify returns an error unless every configured host is in exactly one existing pool
// and every count equals a recount.
func (r *Reducer) Verify(cfg configuration.Configuration) error {
	recount := budget.NewLedger()
	members := make(map[inventory.PoolID]int)
	for id, h := range r.hosts {
		if _, ok := cfg.Hosts[id]; !ok {
			return eris.Wrapf(ErrInvariant, "host %s is not configured", id)
		}
		if _, ok := r.pools[h.Pool]; !ok {
			return eris.Wrapf(ErrInvariant, "host %s is in pool %q, which does not exist", id, h.Pool)
		}
		if _, active := r.active[id]; active != (h.Phase != InService) || (h.Failed && active) {
			return eris.Wrapf(ErrInvariant, "host %s: phase %q, failed %v, active %v", id, h.Phase, h.Failed, active)
		}
		members[h.Pool]++
		recount.Add(h.Place(), h.Status())
	}
	if len(r.hosts) != len(cfg.Hosts) {
		return eris.Wrapf(ErrInvariant, "%d hosts have a pool, %d are configured", len(r.hosts), len(cfg.Hosts))
	}
	for id, p := range r.pools {
		if p.Hosts != members[id] {
			return eris.Wrapf(ErrInvariant, "pool %s counts %d hosts and has %d", id, p.Hosts, members[id])
		}
	}
	if !maps.Equal(recount.Domains(), r.ledger.Domains()) {
		return eris.Wrap(ErrInvariant, "the ledger differs from a recount")
	}
	return nil
}
