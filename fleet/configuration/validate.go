package configuration

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/label"
	"github.com/rotisserie/eris"
)

// Validation errors, each wrapped with the object and field in question.
var (
	ErrName      = eris.New("bad name")
	ErrReference = eris.New("refers to nothing")
	ErrOwner     = eris.New("belongs to another owner")
	ErrRange     = eris.New("out of range")
	ErrOverlap   = eris.New("two selectors claim one host")
	ErrNoMatch   = eris.New("selector matches no host")
	ErrBudget    = eris.New("budget cannot hold")
	ErrCycle     = eris.New("cycle")
	ErrReserved  = eris.New("reserved label name")
)

// Upper limits that reject implausible values.
const (
	MaxObjects      = 50_000
	MaxSlots        = inventory.Slots(10_000)
	MaxConnections  = inventory.Connections(100_000)
	MaxBody         = 64 * inventory.Mebibyte
	MaxWeight       = 10_000
	MaxDeadline     = Duration(time.Hour)
	MaxInFlight     = 1_000_000
	MaxCores        = 4096 * inventory.MillicoresPerCore
	MaxMemory       = 64 * 1024 * inventory.Gibibyte
	MaxAccelerators = inventory.Accelerators(1024)
)

// Validate returns an error for the first rule that the objects violate. The order of
// the checks is fixed, so that every host rejects a change for the same reason.
func (o Objects) Validate() error {
	cfg := Configuration{Objects: o}
	return cfg.validateChange(Objects{}, o.Keys(), func(inventory.PoolID, Pool) bool { return true })
}

// validateChange is Validate for objects that were valid before the touched ones
// changed. It checks only the touched hosts, unless an owner or a data centre was
// touched, to which any host may refer, and it updates the claims. Only the pools for
// which mustMatch returns true need a host that their selector claims.
func (cfg *Configuration) validateChange(before Objects, touched []Key, mustMatch func(inventory.PoolID, Pool) bool) error {
	if n := cfg.count(); n > MaxObjects {
		return eris.Wrapf(ErrRange, "%d objects are more than %d", n, MaxObjects)
	}
	hosts, allHosts := make(map[inventory.HostID]Host), false
	for _, k := range touched {
		if err := (label.Set{"Name": k.Name}).Validate(); err != nil || k.Name == "" {
			return eris.Wrapf(ErrName, "%s", k)
		}
		if h, ok := cfg.Hosts[inventory.HostID(k.Name)]; ok && k.Kind == KindHost {
			hosts[inventory.HostID(k.Name)] = h
		}
		allHosts = allHosts || k.Kind == KindOwner || k.Kind == KindDataCentre
	}
	if allHosts {
		hosts = cfg.Hosts
	}
	checks := []func() error{
		cfg.validateOwners, cfg.validateOperators,
		func() error { return cfg.validateHosts(hosts) },
		func() error {
			var err error
			cfg.claims, err = cfg.claims.afterChange(before, cfg.Objects, touched)
			return err
		},
		func() error { return cfg.validatePools(mustMatch) },
		cfg.validateServices, cfg.validateTenants, cfg.validateTeams, cfg.validateWaves, cfg.validateTokens,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (o Objects) count() int {
	return len(o.Owners) + len(o.Operators) + len(o.DataCentres) + len(o.Hosts) + len(o.Pools) +
		len(o.Services) + len(o.Tenants) + len(o.Teams) + len(o.Waves)
}

// validateEach calls f for each object, sorted by name, and wraps its error with the
// object's key.
func validateEach[K ~string, V any](kind ObjectKind, m map[K]V, f func(K, V) error) error {
	for _, k := range slices.Sorted(maps.Keys(m)) {
		if err := f(k, m[k]); err != nil {
			return eris.Wrapf(err, "%s", Key{Kind: kind, Name: string(k)})
		}
	}
	return nil
}

func checkRange[T cmp.Ordered](field string, v, low, high T) error {
	if v < low || v > high {
		return eris.Wrapf(ErrRange, "%s is %v and must be from %v to %v", field, v, low, high)
	}
	return nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (o Objects) checkOwner(id inventory.OwnerID) error {
	if _, ok := o.Owners[id]; !ok {
		return eris.Wrapf(ErrReference, "Owner %q", id)
	}
	return nil
}

func (o Objects) validateOwners() error {
	return validateEach(KindOwner, o.Owners, func(id inventory.OwnerID, w Owner) error {
		p, ok := o.Pools[w.SparePool]
		if !ok {
			return eris.Wrapf(ErrReference, "SparePool %q", w.SparePool)
		}
		if p.Owner != id {
			return eris.Wrapf(ErrOwner, "SparePool %q", w.SparePool)
		}
		return nil
	})
}

func (o Objects) validateOperators() error {
	return validateEach(KindOperator, o.Operators, func(_ inventory.OperatorID, p Operator) error {
		return o.checkOwner(p.Owner)
	})
}

func (o Objects) validateHosts(hosts map[inventory.HostID]Host) error {
	return validateEach(KindHost, hosts, func(_ inventory.HostID, h Host) error {
		if _, ok := o.DataCentres[h.DataCentre]; !ok {
			return eris.Wrapf(ErrReference, "DataCentre %q", h.DataCentre)
		}
		for _, n := range []string{LabelOwner, LabelDataCentre, LabelRack, LabelHost} {
			if _, ok := h.Labels[n]; ok {
				return eris.Wrapf(ErrReserved, "label %q", n)
			}
		}
		return firstError(o.checkOwner(h.Owner), h.Labels.Validate(), o.validateLending(h), validateSize(h.Size))
	})
}

func validateSize(s inventory.Size) error {
	return firstError(
		checkRange("Cores", s.Cores, 0, MaxCores),
		checkRange("Memory", s.Memory, 0, MaxMemory),
		checkRange("Accelerators", s.Accelerators, 0, MaxAccelerators),
	)
}

func (cfg *Configuration) validatePools(mustMatch func(inventory.PoolID, Pool) bool) error {
	o := cfg.Objects
	return validateEach(KindPool, o.Pools, func(id inventory.PoolID, p Pool) error {
		spare := o.Owners[p.Owner].SparePool == id
		if !spare && cfg.claims.hostCounts[id] == 0 && mustMatch(id, p) {
			return eris.Wrapf(ErrNoMatch, "Hosts %q", p.Hosts)
		}
		return firstError(
			o.checkOwner(p.Owner),
			checkRange("Budget.MaxUnavailable", p.Budget.MaxUnavailable, 1, inventory.PartsPerWhole),
			checkRange("Budget.MaxPerDataCentre", p.Budget.MaxPerDataCentre, 0, inventory.PartsPerWhole),
			checkRange("Budget.MaxPerRack", p.Budget.MaxPerRack, 0, MaxObjects),
			validateBudget(p.Budget, cfg.claims.hostCounts[id]),
			o.validateReserve(id, p),
		)
	})
}

// validateBudget rejects a budget that would let all hosts of a pool of several hosts
// be unavailable at once, which leaves no capacity for its jobs.
func validateBudget(b Budget, hosts int) error {
	if hosts > 1 && b.MaxUnavailable == inventory.PartsPerWhole {
		return eris.Wrapf(ErrBudget, "Budget.MaxUnavailable allows all %d hosts to be unavailable at once", hosts)
	}
	return nil
}

func (o Objects) validateReserve(id inventory.PoolID, p Pool) error {
	seen := map[inventory.PoolID]bool{id: true}
	for r := p.Reserve; r != ""; r = o.Pools[r].Reserve {
		next, ok := o.Pools[r]
		if !ok {
			return eris.Wrapf(ErrReference, "Reserve %q", r)
		}
		if next.Owner != p.Owner {
			return eris.Wrapf(ErrOwner, "Reserve %q", r)
		}
		if seen[r] {
			return eris.Wrapf(ErrCycle, "Reserve comes back to %q", r)
		}
		seen[r] = true
	}
	return nil
}

func (o Objects) validateServices() error {
	return validateEach(KindService, o.Services, func(_ inventory.ServiceID, s Service) error {
		if _, ok := s.Classes[s.DefaultClass]; !ok {
			return eris.Wrapf(ErrReference, "DefaultClass %q", s.DefaultClass)
		}
		return firstError(
			o.checkOwner(s.Owner),
			checkRange("Slots", s.Slots, 1, MaxSlots),
			checkRange("Connections", s.Connections, 1, MaxConnections),
			checkRange("MaxBody", s.MaxBody, 1, MaxBody),
			validateEach("Class", s.Classes, func(_ inventory.ClassID, c Class) error {
				return firstError(
					checkRange("Weight", c.Weight, 1, MaxWeight),
					checkRange("Deadline", c.Deadline, Duration(time.Millisecond), MaxDeadline),
				)
			}),
		)
	})
}

func (o Objects) validateTenants() error {
	return validateEach(KindTenant, o.Tenants, func(_ inventory.TenantID, t Tenant) error {
		return firstError(
			o.checkOwner(t.Owner),
			checkRange("Weight", t.Weight, 1, MaxWeight),
			checkRange("MaxInFlight", t.MaxInFlight, 1, MaxInFlight),
			validateEach(KindService, t.Services, func(id inventory.ServiceID, c inventory.ClassID) error {
				s, ok := o.Services[id]
				if !ok {
					return eris.Wrap(ErrReference, "Services")
				}
				if s.Owner != t.Owner {
					return eris.Wrap(ErrOwner, "Services")
				}
				if _, ok := s.Classes[c]; !ok && c != "" {
					return eris.Wrapf(ErrReference, "class %q", c)
				}
				return nil
			}),
		)
	})
}

func (o Objects) validateTeams() error {
	return validateEach(KindTeam, o.Teams, func(_ inventory.TeamID, t Team) error {
		return firstError(
			o.checkOwner(t.Owner),
			checkRange("Weight", t.Weight, 1, MaxWeight),
			validateSize(t.Quota),
		)
	})
}

func (o Objects) validateWaves() error {
	day := Duration(24 * time.Hour)
	return validateEach(KindWave, o.Waves, func(_ inventory.WaveID, w Wave) error {
		for _, id := range w.Pools {
			p, ok := o.Pools[id]
			if !ok {
				return eris.Wrapf(ErrReference, "Pools names %q", id)
			}
			if p.Owner != w.Owner {
				return eris.Wrapf(ErrOwner, "Pools names %q", id)
			}
		}
		return firstError(
			o.checkOwner(w.Owner),
			checkRange("Start", w.Start, 0, day),
			checkRange("Window", w.Window, Duration(time.Minute), day),
			checkRange("RebootTime", w.RebootTime, Duration(time.Second), day),
			checkRange("Period", w.Period, day, 366*day),
		)
	})
}
