package configuration

import (
	"maps"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// claims is an index of the hosts that pools claim by their selectors. Once it is part
// of a configuration it is never modified in place. The zero value is an index that is
// not computed yet; newClaims computes it on demand.
type claims struct {
	// poolByHost has an entry for each claimed host only.
	poolByHost map[inventory.HostID]inventory.PoolID
	// hostCounts is the number of hosts that each pool claims.
	hostCounts map[inventory.PoolID]int
}

// newClaims matches each host against each pool. Its error names the first host, and
// its first two pools, that overlap.
func newClaims(o Objects) (claims, error) {
	c := claims{poolByHost: make(map[inventory.HostID]inventory.PoolID), hostCounts: make(map[inventory.PoolID]int)}
	pools := slices.Sorted(maps.Keys(o.Pools))
	for _, h := range slices.Sorted(maps.Keys(o.Hosts)) {
		if err := c.addHost(o, h, pools); err != nil {
			return claims{}, err
		}
	}
	return c, nil
}

// addHost records the pool among pools that claims the host. It returns ErrOverlap if
// a second pool claims the host, also if the first claim was recorded before.
func (c claims) addHost(o Objects, h inventory.HostID, pools []inventory.PoolID) error {
	lookup := o.Hosts[h].labelLookup(h)
	for _, p := range pools {
		if !o.Pools[p].mayClaim(o.Hosts[h]) || !o.Pools[p].Hosts.MatchesFunc(lookup) {
			continue
		}
		if other, ok := c.poolByHost[h]; ok {
			return eris.Wrapf(ErrOverlap, "Host/%s is claimed by Pool/%s and Pool/%s", h, other, p)
		}
		c.poolByHost[h] = p
		c.hostCounts[p]++
	}
	return nil
}

func (c claims) removeHost(h inventory.HostID) {
	if p, ok := c.poolByHost[h]; ok {
		c.hostCounts[p]--
		delete(c.poolByHost, h)
	}
}

// afterChange returns the claims for the new objects. It matches only the touched
// hosts and the pools whose selector or owner changed. On an overlap it matches
// everything again, so that the error is the same on every host.
func (c claims) afterChange(before, now Objects, touched []Key) (claims, error) {
	if c.poolByHost == nil {
		return newClaims(now)
	}
	hosts, pools := touchedHostsAndPools(before, now, touched)
	if len(hosts) == 0 && len(pools) == 0 {
		return c, nil
	}
	next := claims{poolByHost: maps.Clone(c.poolByHost), hostCounts: maps.Clone(c.hostCounts)}
	if err := next.update(now, hosts, pools); err != nil {
		return newClaims(now)
	}
	return next, nil
}

func (c claims) update(now Objects, hosts []inventory.HostID, pools []inventory.PoolID) error {
	for _, h := range hosts {
		c.removeHost(h)
	}
	for h, p := range c.poolByHost {
		if slices.Contains(pools, p) {
			c.removeHost(h)
		}
	}
	all := slices.Sorted(maps.Keys(now.Pools))
	for _, h := range hosts {
		if _, ok := now.Hosts[h]; !ok {
			continue
		}
		if err := c.addHost(now, h, all); err != nil {
			return err
		}
	}
	if len(pools) == 0 {
		return nil
	}
	for h := range now.Hosts {
		if slices.Contains(hosts, h) {
			continue
		}
		if err := c.addHost(now, h, pools); err != nil {
			return err
		}
	}
	return nil
}

// touchedHostsAndPools returns the touched hosts and the touched pools whose selector
// or owner changed.
func touchedHostsAndPools(before, now Objects, touched []Key) ([]inventory.HostID, []inventory.PoolID) {
	var hosts []inventory.HostID
	var pools []inventory.PoolID
	for _, k := range touched {
		switch k.Kind {
		case KindHost:
			hosts = append(hosts, inventory.HostID(k.Name))
		case KindPool:
			id := inventory.PoolID(k.Name)
			if before.Pools[id].Hosts.String() != now.Pools[id].Hosts.String() || before.Pools[id].Owner != now.Pools[id].Owner {
				pools = append(pools, id)
			}
		}
	}
	return hosts, pools
}

// PoolOf returns the pool to which the host should belong: the one whose selector
// claims it, otherwise the spare pool of its home owner.
func (cfg Configuration) PoolOf(h inventory.HostID) inventory.PoolID {
	c := cfg.claims
	if c.poolByHost == nil {
		c, _ = newClaims(cfg.Objects)
	}
	if p, ok := c.poolByHost[h]; ok {
		return p
	}
	return cfg.Owners[cfg.Hosts[h].Owner].SparePool
}

// Touched returns the sorted keys of the objects that the last change set or deleted.
func (cfg Configuration) Touched() []Key {
	var keys []Key
	for k, v := range cfg.Changed {
		if v == cfg.Version {
			keys = append(keys, k)
		}
	}
	SortKeys(keys)
	return keys
}
