package configuration

import (
	"maps"
	"time"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// Defaults for omitted fields.
const (
	DefaultSlots          = inventory.Slots(8)
	DefaultConnections    = inventory.Connections(64)
	DefaultMaxBody        = 1 * inventory.Mebibyte
	DefaultClassName      = inventory.ClassID("Standard")
	DefaultWeight         = 1
	DefaultDeadline       = Duration(10 * time.Second)
	DefaultMaxInFlight    = 256
	DefaultMaxUnavailable = inventory.PartsPerMillion(100_000)
	DefaultRebootTime     = Duration(5 * time.Minute)
	DefaultWindow         = Duration(4 * time.Hour)
	DefaultPeriod         = Duration(28 * 24 * time.Hour)
)

// WithDefaults returns the objects with defaults for omitted fields.
func (o Objects) WithDefaults() Objects {
	o.Pools = mapValues(o.Pools, Pool.withDefaults)
	o.Services = mapValues(o.Services, Service.withDefaults)
	o.Tenants = mapValues(o.Tenants, Tenant.withDefaults)
	o.Teams = mapValues(o.Teams, Team.withDefaults)
	o.Waves = mapValues(o.Waves, Wave.withDefaults)
	return o
}

func mapValues[K comparable, V any](m map[K]V, f func(V) V) map[K]V {
	out := maps.Clone(m)
	for k, v := range out {
		out[k] = f(v)
	}
	return out
}

func orDefault[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}
	return v
}

func (p Pool) withDefaults() Pool {
	p.Budget.MaxUnavailable = orDefault(p.Budget.MaxUnavailable, DefaultMaxUnavailable)
	return p
}

func (s Service) withDefaults() Service {
	s.Slots = orDefault(s.Slots, DefaultSlots)
	s.Connections = orDefault(s.Connections, DefaultConnections)
	s.MaxBody = orDefault(s.MaxBody, DefaultMaxBody)
	if len(s.Classes) == 0 {
		s.Classes = map[inventory.ClassID]Class{DefaultClassName: {}}
	}
	s.Classes = mapValues(s.Classes, Class.withDefaults)
	if s.DefaultClass == "" && len(s.Classes) == 1 {
		for c := range s.Classes {
			s.DefaultClass = c
		}
	}
	s.DefaultClass = orDefault(s.DefaultClass, DefaultClassName)
	return s
}

func (c Class) withDefaults() Class {
	c.Weight = orDefault(c.Weight, DefaultWeight)
	c.Deadline = orDefault(c.Deadline, DefaultDeadline)
	return c
}

func (t Tenant) withDefaults() Tenant {
	t.Weight = orDefault(t.Weight, DefaultWeight)
	t.MaxInFlight = orDefault(t.MaxInFlight, DefaultMaxInFlight)
	return t
}

func (t Team) withDefaults() Team {
	t.Weight = orDefault(t.Weight, DefaultWeight)
	return t
}

func (w Wave) withDefaults() Wave {
	w.RebootTime = orDefault(w.RebootTime, DefaultRebootTime)
	w.Window = orDefault(w.Window, DefaultWindow)
	w.Period = orDefault(w.Period, DefaultPeriod)
	return w
}
