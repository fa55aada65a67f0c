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

// Configure takes in a new configuration.
func (d *Dispatcher) Configure(o configuration.Objects, now time.Time) {
	d.objects = o
	for id, spec := range o.Services {
		s, ok := d.services[id]
		if !ok {
			s = d.newService(spec)
			d.services[id] = s
		}
		s.spec = spec
		s.queue.Configure(spec.Classes)
		s.table.SetSlots(spec.Slots)
	}
	d.order = slices.Sorted(maps.Keys(d.services))
	d.follow(now)
}

func (d *Dispatcher) newService(spec configuration.Service) *service {
	return &service{
		spec:    spec,
		queue:   admission.NewQueue(admission.Config{Classes: spec.Classes, Order: d.cfg.Order}),
		gate:    admission.NewGate(),
		table:   routing.NewTable(routing.Config{Name: d.cfg.Name, DataCentre: d.cfg.DataCentre, Slots: spec.Slots, Random: d.cfg.Random}),
		retries: retry.NewBudget(d.cfg.Retries),
	}
}

// Hosts takes in a new host list. An older list is passed over.
func (d *Dispatcher) Hosts(l inventory.HostList, now time.Time) {
	if !l.At.After(d.hosts.At) {
		return
	}
	d.hosts = l
	d.follow(now)
}

// follow brings the tables in line with the host list and the configuration.
func (d *Dispatcher) follow(now time.Time) {
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
	for _, id := range d.order {
		s := d.services[id]
		s.table.Update(byService[id], d.sharers(entries, byService[id]), now)
		d.send(s, now)
	}
}

// sharers returns the entry hosts that share the servers: those of the regions
// in which the servers stand.
func (d *Dispatcher) sharers(entries []routing.Host, servers []routing.Instance) []routing.Host {
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

// ServiceState is what this host knows of a service's load.
type ServiceState struct {
	// Waiting and InFlight count this host's requests.
	Waiting  int
	InFlight inventory.Slots
	// Servers is the number of servers that take requests.
	Servers int
	// ServerTime is the mean time at a server by class.
	ServerTime map[inventory.ClassID]time.Duration
}

// States returns the load of all services.
func (d *Dispatcher) States() map[inventory.ServiceID]ServiceState {
	out := make(map[inventory.ServiceID]ServiceState, len(d.services))
	for id, s := range d.services {
		st := ServiceState{Waiting: s.queue.Len(), InFlight: s.table.InFlight(), Servers: s.table.Len(), ServerTime: make(map[inventory.ClassID]time.Duration)}
		for c := range s.spec.Classes {
			st.ServerTime[c] = s.gate.ServerTime(c)
		}
		out[id] = st
	}
	return out
}
