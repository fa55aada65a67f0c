package configuration

import (
	"maps"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// accessor reads and writes the objects of one kind.
type accessor struct {
	names  func(o Objects) []string
	has    func(o Objects, name string) bool
	get    func(o Objects, name string) any
	merge  func(dst *Objects, src Objects)
	remove func(dst *Objects, name string)
}

// accessors has one entry for each kind of object.
var accessors = map[ObjectKind]accessor{
	KindOwner:      access(func(o *Objects) *map[inventory.OwnerID]Owner { return &o.Owners }),
	KindOperator:   access(func(o *Objects) *map[inventory.OperatorID]Operator { return &o.Operators }),
	KindDataCentre: access(func(o *Objects) *map[inventory.DataCentreID]DataCentre { return &o.DataCentres }),
	KindHost:       access(func(o *Objects) *map[inventory.HostID]Host { return &o.Hosts }),
	KindPool:       access(func(o *Objects) *map[inventory.PoolID]Pool { return &o.Pools }),
	KindService:    access(func(o *Objects) *map[inventory.ServiceID]Service { return &o.Services }),
	KindTenant:     access(func(o *Objects) *map[inventory.TenantID]Tenant { return &o.Tenants }),
	KindTeam:       access(func(o *Objects) *map[inventory.TeamID]Team { return &o.Teams }),
	KindWave:       access(func(o *Objects) *map[inventory.WaveID]Wave { return &o.Waves }),
}

// access builds the accessor of one kind from a function that points at its map.
func access[M ~map[K]V, K ~string, V any](at func(o *Objects) *M) accessor {
	return accessor{
		names: func(o Objects) []string {
			var names []string
			for k := range *at(&o) {
				names = append(names, string(k))
			}
			return names
		},
		has: func(o Objects, name string) bool {
			_, ok := (*at(&o))[K(name)]
			return ok
		},
		get: func(o Objects, name string) any {
			return (*at(&o))[K(name)]
		},
		merge: func(dst *Objects, src Objects) {
			from := *at(&src)
			if len(from) == 0 {
				return
			}
			to := maps.Clone(*at(dst))
			if to == nil {
				to = make(M, len(from))
			}
			maps.Copy(to, from)
			*at(dst) = to
		},
		remove: func(dst *Objects, name string) {
			to := maps.Clone(*at(dst))
			delete(to, K(name))
			*at(dst) = to
		},
	}
}
