package configuration

import (
	"maps"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// accessor reads and modifies the objects of one kind. merge and remove replace the
// map by a modified copy, since configurations share maps.
type accessor struct {
	names  func(o Objects) []string
	has    func(o Objects, name string) bool
	get    func(o Objects, name string) any
	merge  func(dst *Objects, src Objects)
	remove func(dst *Objects, name string)
}

// accessors has one entry for each kind of object.
var accessors = map[ObjectKind]accessor{
	KindOwner:      newAccessor(func(o *Objects) *map[inventory.OwnerID]Owner { return &o.Owners }),
	KindOperator:   newAccessor(func(o *Objects) *map[inventory.OperatorID]Operator { return &o.Operators }),
	KindDataCentre: newAccessor(func(o *Objects) *map[inventory.DataCentreID]DataCentre { return &o.DataCentres }),
	KindHost:       newAccessor(func(o *Objects) *map[inventory.HostID]Host { return &o.Hosts }),
	KindPool:       newAccessor(func(o *Objects) *map[inventory.PoolID]Pool { return &o.Pools }),
	KindService:    newAccessor(func(o *Objects) *map[inventory.ServiceID]Service { return &o.Services }),
	KindTenant:     newAccessor(func(o *Objects) *map[inventory.TenantID]Tenant { return &o.Tenants }),
	KindTeam:       newAccessor(func(o *Objects) *map[inventory.TeamID]Team { return &o.Teams }),
	KindWave:       newAccessor(func(o *Objects) *map[inventory.WaveID]Wave { return &o.Waves }),
}

// newAccessor returns the accessor of one kind; field returns a pointer to the map
// of that kind.
func newAccessor[M ~map[K]V, K ~string, V any](field func(o *Objects) *M) accessor {
	return accessor{
		names: func(o Objects) []string {
			var names []string
			for k := range *field(&o) {
				names = append(names, string(k))
			}
			return names
		},
		has: func(o Objects, name string) bool {
			_, ok := (*field(&o))[K(name)]
			return ok
		},
		get: func(o Objects, name string) any {
			return (*field(&o))[K(name)]
		},
		merge: func(dst *Objects, src Objects) {
			from := *field(&src)
			if len(from) == 0 {
				return
			}
			to := maps.Clone(*field(dst))
			if to == nil {
				to = make(M, len(from))
			}
			maps.Copy(to, from)
			*field(dst) = to
		},
		remove: func(dst *Objects, name string) {
			to := maps.Clone(*field(dst))
			delete(to, K(name))
			*field(dst) = to
		},
	}
}
