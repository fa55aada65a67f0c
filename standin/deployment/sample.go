// Package deployment runs the product's own path in one process: the simulated platform with
// its workers, entry hosts and backend servers.
package deployment

import (
	"fmt"

	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/label"
)

// Sizes of the sample configuration.
const (
	instancesPerService = 10
	hostsPerPool        = 10
	hostsPerSparePool   = 8
	hostsPerRack        = 4
	hostCores           = 64 * inventory.MillicoresPerCore
	hostMemory          = 128 * inventory.Gibibyte
)

// poolLabel is the label by which the sample's selectors choose hosts and jobs.
const poolLabel = "Pool"

// site is one owner's part of the sample configuration.
type site struct {
	owner       inventory.OwnerID
	operator    inventory.OperatorID
	region      inventory.RegionID
	dataCentres []inventory.DataCentreID
	sparePool   inventory.PoolID
	services    []inventory.ServiceID
	tenants     []inventory.TenantID
	teams       []inventory.TeamID
}

// sites holds the sites of the sample configuration.
var sites = []site{
	{
		owner: "Corchos", operator: "corchos-operator", region: "Montevideo",
		dataCentres: []inventory.DataCentreID{"Montevideo-1", "Montevideo-2", "Montevideo-3"},
		sparePool:   "Administration",
		services:    []inventory.ServiceID{"Prices", "Stock", "Orders", "BatchPlans", "Reconciliation"},
		tenants:     []inventory.TenantID{"OrderDesk", "Plant"},
		teams:       []inventory.TeamID{"Pressing", "Shipping"},
	},
	{
		owner: "Campanella", operator: "campanella-operator", region: "Sicily",
		dataCentres: []inventory.DataCentreID{"Palermo", "Catania", "Messina"},
		sparePool:   "FrontDesk",
		services:    []inventory.ServiceID{"Schedules", "Recordings", "Announcements", "Archive", "Licences"},
		tenants:     []inventory.TenantID{"Secretaries", "Editors"},
		teams:       []inventory.TeamID{"Rendering", "Archiving"},
	},
}

// Sample returns the sample configuration for both owners.
func Sample() configuration.Objects {
	o := configuration.Objects{
		Owners:      make(map[inventory.OwnerID]configuration.Owner),
		Operators:   make(map[inventory.OperatorID]configuration.Operator),
		DataCentres: make(map[inventory.DataCentreID]configuration.DataCentre),
		Hosts:       make(map[inventory.HostID]configuration.Host),
		Pools:       make(map[inventory.PoolID]configuration.Pool),
		Services:    make(map[inventory.ServiceID]configuration.Service),
		Tenants:     make(map[inventory.TenantID]configuration.Tenant),
		Teams:       make(map[inventory.TeamID]configuration.Team),
		Waves:       make(map[inventory.WaveID]configuration.Wave),
	}
	for _, s := range sites {
		s.addTo(o)
	}
	return o
}

// addTo adds the site's objects.
func (s site) addTo(o configuration.Objects) {
	o.Owners[s.owner] = configuration.Owner{SparePool: s.sparePool}
	o.Operators[s.operator] = configuration.Operator{Owner: s.owner}
	for _, dc := range s.dataCentres {
		o.DataCentres[dc] = configuration.DataCentre{Region: s.region}
	}
	for _, t := range s.teams {
		o.Teams[t] = configuration.Team{Owner: s.owner, Weight: 1}
	}
	o.Pools[s.sparePool] = configuration.Pool{Owner: s.owner}
	s.addHosts(o, string(s.sparePool), hostsPerSparePool, nil)
	for _, v := range s.services {
		s.addService(o, v)
	}
	s.addTenants(o)
	s.addWave(o)
}

// addService adds a service with its pool and the pool's hosts.
func (s site) addService(o configuration.Objects, v inventory.ServiceID) {
	o.Services[v] = configuration.Service{
		Owner: s.owner,
		Classes: map[inventory.ClassID]configuration.Class{
			"Urgent":   {Weight: 4, Deadline: urgentDeadline, Urgent: true},
			"Standard": {Weight: 2, Deadline: standardDeadline},
		},
		DefaultClass: "Standard",
	}
	o.Pools[inventory.PoolID(v)] = configuration.Pool{
		Owner:  s.owner,
		Hosts:  mustParseSelector(poolLabel + "=" + string(v)),
		Jobs:   mustParseSelector(poolLabel + "=" + string(v)),
		Budget: configuration.Budget{MaxUnavailable: 200_000, MaxPerRack: 1},
	}
	s.addHosts(o, string(v), hostsPerPool, label.Set{poolLabel: string(v)})
}

// addHosts adds n hosts, spread over the site's data centres and racks.
func (s site) addHosts(o configuration.Objects, pool string, n int, labels label.Set) {
	for i := range n {
		id := inventory.HostID(fmt.Sprintf("%s-%02d", pool, i+1))
		o.Hosts[id] = configuration.Host{
			Owner:      s.owner,
			DataCentre: s.dataCentres[i%len(s.dataCentres)],
			Rack:       inventory.RackID(fmt.Sprintf("%s-rack-%d", pool, i/len(s.dataCentres)/hostsPerRack+1)),
			Size:       inventory.Size{Cores: hostCores, Memory: hostMemory},
			Labels:     labels.Clone(),
		}
	}
}

// addTenants adds the tenants. The first one uses the class Urgent, others the default class.
func (s site) addTenants(o configuration.Objects) {
	for i, t := range s.tenants {
		services := make(map[inventory.ServiceID]inventory.ClassID)
		for _, v := range s.services {
			services[v] = ""
			if i == 0 {
				services[v] = "Urgent"
			}
		}
		o.Tenants[t] = configuration.Tenant{Owner: s.owner, Services: services}
	}
}

// addWave adds a paused wave over the pools of all services.
func (s site) addWave(o configuration.Objects) {
	pools := make([]inventory.PoolID, len(s.services))
	for i, v := range s.services {
		pools[i] = inventory.PoolID(v)
	}
	o.Waves[inventory.WaveID(string(s.owner)+"-monthly")] = configuration.Wave{
		Owner: s.owner, Pools: pools, Start: waveStart, Window: waveWindow, Paused: true,
	}
}

func mustParseSelector(text string) label.Selector {
	s, err := label.Parse(text)
	if err != nil {
		panic(err)
	}
	return s
}
