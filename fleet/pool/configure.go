package pool

import (
	"maps"
	"slices"

	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
)

// Configure applies an accepted configuration change. The touched keys are those that
// the change set or deleted.
func (r *Reducer) Configure(cfg configuration.Configuration, touched []configuration.Key, e journal.Entry) {
	kinds := make(map[configuration.ObjectKind]bool)
	for _, k := range touched {
		kinds[k.Kind] = true
	}
	if kinds[configuration.KindPool] {
		r.configurePools(cfg, e)
	}
	if kinds[configuration.KindHost] || kinds[configuration.KindPool] || kinds[configuration.KindOwner] {
		r.configureHosts(cfg, e)
		r.removeEmptyPools()
	}
	if kinds[configuration.KindWave] {
		r.configureWaves(cfg)
	}
	r.releaseOverLimit("the budget was lowered")
	r.view = nil
}

func (r *Reducer) configurePools(cfg configuration.Configuration, e journal.Entry) {
	for _, id := range slices.Sorted(maps.Keys(cfg.Pools)) {
		c := cfg.Pools[id]
		p, known := r.pools[id]
		if known && p.Owner != c.Owner {
			r.changeOwner(id, p.Owner, c.Owner, e)
		}
		p.Owner, p.Budget, p.Retired = c.Owner, c.Budget, false
		r.pools[id] = p
		r.ledger.SetBudget(id, c.Budget)
	}
	for id, p := range r.pools {
		if _, ok := cfg.Pools[id]; !ok {
			p.Retired = true
			r.pools[id] = p
		}
	}
}

// changeOwner notifies the observers that a pool and all its hosts have a new owner.
func (r *Reducer) changeOwner(id inventory.PoolID, from, to inventory.OwnerID, e journal.Entry) {
	for _, host := range slices.Sorted(maps.Keys(r.hosts)) {
		h := *r.hosts[host]
		if h.Pool != id {
			continue
		}
		h.Owned, h.OwnedBy = latest(e.Record.At, h.Owned), e.Offset
		r.hosts[host] = &h
		r.notifyObservers(Transfer{Host: host, From: id, FromOwner: from, To: id, ToOwner: to, At: h.Owned, Offset: e.Offset})
	}
}

// configureHosts applies host changes in order of host names, so that observers see
// the same order on every replica. It sorts only the hosts that changed.
func (r *Reducer) configureHosts(cfg configuration.Configuration, e journal.Entry) {
	var removed, changed []inventory.HostID
	for id := range r.hosts {
		if _, ok := cfg.Hosts[id]; !ok {
			removed = append(removed, id)
		}
	}
	for id, c := range cfg.Hosts {
		h, known := r.hosts[id]
		if !known || h.Desired != cfg.PoolOf(id) || h.DataCentre != c.DataCentre || h.Rack != c.Rack {
			changed = append(changed, id)
		}
	}
	slices.Sort(removed)
	slices.Sort(changed)
	for _, id := range removed {
		r.removeHost(id, e)
	}
	for _, id := range changed {
		r.configureHost(id, cfg, e)
	}
}

func (r *Reducer) configureHost(id inventory.HostID, cfg configuration.Configuration, e journal.Entry) {
	c, desired := cfg.Hosts[id], cfg.PoolOf(id)
	h, err := r.host(id)
	if err != nil {
		r.transfer(e, id, Host{Desired: desired, DataCentre: c.DataCentre, Rack: c.Rack}, desired)
		return
	}
	h.Desired, h.DataCentre, h.Rack = desired, c.DataCentre, c.Rack
	if h.IsMove() && h.Desired == h.Pool {
		h = h.released("the target changed back")
	}
	r.put(id, h)
}

func (r *Reducer) removeHost(id inventory.HostID, e journal.Entry) {
	h := *r.hosts[id]
	r.drop(id)
	r.members = nil
	r.notifyObservers(Transfer{Host: id, From: h.Pool, FromOwner: r.pools[h.Pool].Owner, At: latest(e.Record.At, h.Owned), Offset: e.Offset})
}

// configureWaves replaces the configured waves. It releases hosts that drain for a wave
// which was paused, aborted or removed. A reboot that has started runs to its end.
func (r *Reducer) configureWaves(cfg configuration.Configuration) {
	r.configured = cfg.Waves
	for _, id := range slices.Sorted(maps.Keys(r.active)) {
		h := *r.hosts[id]
		w := cfg.Waves[h.Wave]
		running := !w.Paused && !w.Aborted && slices.Contains(w.Pools, h.Pool)
		if h.Phase == Draining && h.Wave != "" && !running {
			r.put(id, h.released("the wave was paused, aborted or changed"))
		}
	}
}
