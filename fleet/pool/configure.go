package pool

import (
	"maps"
	"slices"

	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
)

// Configure takes over an accepted change of the configuration. The touched keys
// are those that the change set or deleted.
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
		r.forgetEmpty()
	}
	if kinds[configuration.KindWave] {
		r.configureWaves(cfg)
	}
	r.giveBackOver("the budget was lowered")
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

// changeOwner tells the observers that a pool went to another owner with all of
// its hosts.
func (r *Reducer) changeOwner(id inventory.PoolID, from, to inventory.OwnerID, e journal.Entry) {
	for _, host := range slices.Sorted(maps.Keys(r.hosts)) {
		h := *r.hosts[host]
		if h.Pool != id {
			continue
		}
		h.Owned, h.OwnedBy = later(e.Record.At, h.Owned), e.Offset
		r.hosts[host] = &h
		r.tell(Transfer{Host: host, From: id, FromOwner: from, To: id, ToOwner: to, At: h.Owned, Offset: e.Offset})
	}
}

// configureHosts takes the hosts over in order of their names, so that observers
// see the same order everywhere. Only those that changed are sorted.
func (r *Reducer) configureHosts(cfg configuration.Configuration, e journal.Entry) {
	var gone, changed []inventory.HostID
	for id := range r.hosts {
		if _, ok := cfg.Hosts[id]; !ok {
			gone = append(gone, id)
		}
	}
	for id, c := range cfg.Hosts {
		h, known := r.hosts[id]
		if !known || h.Desired != cfg.PoolOf(id) || h.DataCentre != c.DataCentre || h.Rack != c.Rack {
			changed = append(changed, id)
		}
	}
	slices.Sort(gone)
	slices.Sort(changed)
	for _, id := range gone {
		r.takeOff(id, e)
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
		h = h.giveBack("the target changed back")
	}
	r.put(id, h)
}

func (r *Reducer) takeOff(id inventory.HostID, e journal.Entry) {
	h := *r.hosts[id]
	r.drop(id)
	r.members = nil
	r.tell(Transfer{Host: id, From: h.Pool, FromOwner: r.pools[h.Pool].Owner, At: later(e.Record.At, h.Owned), Offset: e.Offset})
}

// configureWaves takes the waves over. Hosts that drain for a wave which was
// paused, aborted or taken out are given back; a reboot that began ends.
func (r *Reducer) configureWaves(cfg configuration.Configuration) {
	r.configured = cfg.Waves
	for _, id := range slices.Sorted(maps.Keys(r.active)) {
		h := *r.hosts[id]
		w := cfg.Waves[h.Wave]
		running := !w.Paused && !w.Aborted && slices.Contains(w.Pools, h.Pool)
		if h.Phase == Draining && h.Wave != "" && !running {
			r.put(id, h.giveBack("the wave was paused, aborted or changed"))
		}
	}
}
