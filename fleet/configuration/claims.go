package configuration

import (
	"maps"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// claims is which pool's selector claims which host. It is never changed in
// place. The zero value knows nothing and is worked out when it is needed.
type claims struct {
	// pools has an entry for each claimed host and none for the others.
	pools map[inventory.HostID]inventory.PoolID
	// counts has the number of hosts that each pool claims.
	counts map[inventory.PoolID]int
}

// newClaims matches every host against every pool.
func newClaims(o Objects) (claims, error) {
	c := claims{pools: make(map[inventory.HostID]inventory.PoolID), counts: make(map[inventory.PoolID]int)}
	pools := slices.Sorted(maps.Keys(o.Pools))
	for _, h := range slices.Sorted(maps.Keys(o.Hosts)) {
		if err := c.claim(o, h, pools); err != nil {
			return claims{}, err
		}
	}
	return c, nil
}

// claim adds the claim of the pools on a host that may have one already.
func (c claims) claim(o Objects, h inventory.HostID, pools []inventory.PoolID) error {
	lookup := o.Hosts[h].lookup(h)
	for _, p := range pools {
		if !o.Pools[p].ranges(o.Hosts[h]) || !o.Pools[p].Hosts.MatchesLookup(lookup) {
			continue
		}
		if claimed, ok := c.pools[h]; ok {
			return eris.Wrapf(ErrOverlap, "Host/%s is claimed by Pool/%s and Pool/%s", h, claimed, p)
		}
		c.pools[h] = p
		c.counts[p]++
	}
	return nil
}

func (c claims) release(h inventory.HostID) {
	if p, ok := c.pools[h]; ok {
		c.counts[p]--
		delete(c.pools, h)
	}
}

// after returns the claims on the new objects. It matches only the touched hosts
// and the pools whose selectors changed; on an overlap it matches everything
// again, so that the error is the same on every host.
func (c claims) after(before, now Objects, touched []Key) (claims, error) {
	if c.pools == nil {
		return newClaims(now)
	}
	hosts, pools := touchedClaims(before, now, touched)
	if len(hosts) == 0 && len(pools) == 0 {
		return c, nil
	}
	next := claims{pools: maps.Clone(c.pools), counts: maps.Clone(c.counts)}
	if err := next.update(now, hosts, pools); err != nil {
		return newClaims(now)
	}
	return next, nil
}

func (c claims) update(now Objects, hosts []inventory.HostID, pools []inventory.PoolID) error {
	for _, h := range hosts {
		c.release(h)
	}
	for h, p := range c.pools {
		if slices.Contains(pools, p) {
			c.release(h)
		}
	}
	all := slices.Sorted(maps.Keys(now.Pools))
	for _, h := range hosts {
		if _, ok := now.Hosts[h]; !ok {
			continue
		}
		if err := c.claim(now, h, all); err != nil {
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
		if err := c.claim(now, h, pools); err != nil {
			return err
		}
	}
	return nil
}

// touchedClaims returns the touched hosts and the pools whose selectors changed.
func touchedClaims(before, now Objects, touched []Key) ([]inventory.HostID, []inventory.PoolID) {
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

// PoolOf returns the pool that labels and selectors ask for: the one that claims
// the host, or the spare pool of the host's owner.
func (cfg Configuration) PoolOf(h inventory.HostID) inventory.PoolID {
	c := cfg.claims
	if c.pools == nil {
		c, _ = newClaims(cfg.Objects)
	}
	if p, ok := c.pools[h]; ok {
		return p
	}
	return cfg.Owners[cfg.Hosts[h].Owner].SparePool
}

// Touched returns the keys of the objects that the version set or deleted, in
// order.
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
