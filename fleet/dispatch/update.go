package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/fleet/admission"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/retry"
	"github.com/godwitcross/godwitcross/fleet/routing"
)

// Configure replaces the configuration.
func (d *Dispatcher) Configure(o configuration.Objects, now time.Time) {
	d.objects = o
	for id, spec := range o.Services {
		s, ok := d.services[id]
		if !ok {
			s = d.newService(spec)
			d.services[id] = s
		}
		s.spec = spec
		s.queue.SetClasses(spec.Classes)
		s.table.SetSlots(spec.Slots)
	}
	d.serviceIDs = slices.Sorted(maps.Keys(d.services))
	d.updateTables(now)
}

func (d *Dispatcher) newService(spec configuration.Service) *service {
	return &service{
		spec:       spec,
		queue:      admission.NewQueue(admission.Config{Classes: spec.Classes, Order: d.cfg.Order}),
		controller: admission.NewController(),
		table:      routing.NewTable(routing.Config{Name: d.cfg.Name, DataCentre: d.cfg.DataCentre, Slots: spec.Slots, Random: d.cfg.Random}),
		retries:    retry.NewBudget(d.cfg.Retries),
	}
}

// SetHosts replaces the host list. It ignores a list that is not newer than the last one.
func (d *Dispatcher) SetHosts(l inventory.HostList, now time.Time) {
	if !l.At.After(d.hosts.At) {
		return
	}
	d.hosts = l
	d.updateTables(now)
}

// updateTables applies the host list and the configuration to the routing tables.
func (d *Dispatcher) updateTables(now time.Time) {
	byService := make(map[inventory.ServiceID][]routing.Instance)
	var entries []routing.Host
	for _, h := range d.hosts.Hosts {
		switch h.Role {
		case inventory.RoleEntry:
			if h.State == inventory.HostLive {
				entries = append(entries, routing.Host{ID: inventory.EntryID(h.ID), DataCentre: h.DataCentre})
			}
		case inventory.RoleBackend:
			byService[h.Service] = append(byService[h.Service], routing.Instance{
				ID: inventory.InstanceID(h.ID), Service: h.Service, DataCentre: h.DataCentre,
				Address: h.Address, Leaving: h.State == inventory.HostLeaving,
			})
		}
	}
	for _, id := range d.serviceIDs {
		s := d.services[id]
		s.table.Update(byService[id], d.sharingHosts(entries, byService[id]), now)
		d.sendQueued(s, now)
	}
}

// sharingHosts returns the entry hosts that share the backend servers: those in the same
// regions as the servers.
func (d *Dispatcher) sharingHosts(entries []routing.Host, servers []routing.Instance) []routing.Host {
	regions := make(map[inventory.RegionID]bool)
	for _, i := range servers {
		regions[d.objects.DataCentres[i.DataCentre].Region] = true
	}
	var out []routing.Host
	for _, h := range entries {
		if regions[d.objects.DataCentres[h.DataCentre].Region] {
			out = append(out, h)
		}
	}
	return out
}

// ServiceState is the load of a service as this entry host sees it.
type ServiceState struct {
	// Waiting and InFlight count this host's requests.
	Waiting  int
	InFlight inventory.Slots
	// Servers is the number of backend servers that accept requests.
	Servers int
	// ServerTime is the mean time that a server takes to answer, by class.
	ServerTime map[inventory.ClassID]time.Duration
}

// States returns the load of all services.
func (d *Dispatcher) States() map[inventory.ServiceID]ServiceState {
	out := make(map[inventory.ServiceID]ServiceState, len(d.services))
	for id, s := range d.services {
		st := ServiceState{Waiting: s.queue.Len(), InFlight: s.table.InFlight(), Servers: s.table.Len(), ServerTime: make(map[inventory.ClassID]time.Duration)}
		for c := range s.spec.Classes {
			st.ServerTime[c] = s.controller.MeanServerTime(c)
		}
		out[id] = st
	}
	return out
}
