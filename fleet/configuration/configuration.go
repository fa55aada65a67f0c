// Package configuration defines the objects that operators publish, with their
// defaults and validation, and the rules by which a change is accepted.
package configuration

import (
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/label"
)

// Version identifies an accepted change: the offset of its record in the log, plus 1.
// Version 0 is the empty configuration.
type Version int64

// Objects is a set of configuration objects, by kind and name.
type Objects struct {
	Owners      map[inventory.OwnerID]Owner           `json:",omitempty"`
	Operators   map[inventory.OperatorID]Operator     `json:",omitempty"`
	DataCentres map[inventory.DataCentreID]DataCentre `json:",omitempty"`
	Hosts       map[inventory.HostID]Host             `json:",omitempty"`
	Pools       map[inventory.PoolID]Pool             `json:",omitempty"`
	Services    map[inventory.ServiceID]Service       `json:",omitempty"`
	Tenants     map[inventory.TenantID]Tenant         `json:",omitempty"`
	Teams       map[inventory.TeamID]Team             `json:",omitempty"`
	Waves       map[inventory.WaveID]Wave             `json:",omitempty"`
}

// Configuration is the set of all objects at a version. It is never modified in
// place: Apply returns a new one that shares the unchanged maps.
type Configuration struct {
	// Version is the version of the last accepted change.
	Version Version
	Objects
	// Changed has the version that last set or deleted each object, at most Version.
	Changed map[Key]Version `json:",omitempty"`
	// claims is derived from Objects.
	claims claims
}

// Owner is one of the parties that share the fleet.
type Owner struct {
	// SparePool is the pool for the owner's hosts that no selector claims. It
	// must belong to this owner.
	SparePool inventory.PoolID
}

// Operator is a person or program that publishes on behalf of one owner.
type Operator struct {
	Owner inventory.OwnerID
	// TokenDigests are the SHA-256 digests of the operator's tokens, in
	// hexadecimal; the tokens themselves are never published.
	TokenDigests []string `json:",omitempty"`
}

// DataCentre is a failure domain with its own entry hosts and backend servers.
type DataCentre struct {
	Region inventory.RegionID
}

// Host is the operators' description of a host.
type Host struct {
	// Owner is the home owner; an unclaimed host belongs to its spare pool.
	Owner      inventory.OwnerID
	DataCentre inventory.DataCentreID
	Rack       inventory.RackID
	Size       inventory.Size
	// Labels must not use the names of the derived labels.
	Labels label.Set `json:",omitempty"`
}

// Names of the labels that are derived from a host's name and fields.
const (
	LabelOwner      = "Owner"
	LabelDataCentre = "DataCentre"
	LabelRack       = "Rack"
	LabelHost       = "Host"
)

// AllLabels returns the configured and the derived labels.
func (h Host) AllLabels(id inventory.HostID) label.Set {
	s := make(label.Set, len(h.Labels)+4)
	for n, v := range h.Labels {
		s[n] = v
	}
	s[LabelOwner] = string(h.Owner)
	s[LabelDataCentre] = string(h.DataCentre)
	s[LabelRack] = string(h.Rack)
	s[LabelHost] = string(id)
	return s
}

// labelLookup returns a function that looks up a configured or derived label. It
// avoids the map that AllLabels builds.
func (h Host) labelLookup(id inventory.HostID) func(name string) (string, bool) {
	return func(name string) (string, bool) {
		switch name {
		case LabelOwner:
			return string(h.Owner), true
		case LabelDataCentre:
			return string(h.DataCentre), true
		case LabelRack:
			return string(h.Rack), true
		case LabelHost:
			return string(id), true
		}
		v, ok := h.Labels[name]
		return v, ok
	}
}

// Pool is a set of hosts that a selector claims, and the jobs that run on them.
type Pool struct {
	Owner inventory.OwnerID
	// Hosts selects hosts by their labels. Only a spare pool may leave it empty.
	Hosts label.Selector `json:",omitzero"`
	// Jobs selects jobs by their labels.
	Jobs label.Selector `json:",omitzero"`
	// Budget limits the hosts that may be unavailable at once.
	Budget Budget
	// Reserve is the pool that lends hosts at peak load; if empty, the owner's spare
	// pool. The chain of reserves must not contain a cycle.
	Reserve inventory.PoolID `json:",omitempty"`
}

// Budget limits the hosts of a pool that may be unavailable at once: failed,
// draining, rebooting or moving.
type Budget struct {
	// MaxUnavailable is a share of the pool's hosts, rounded down, but at least one
	// host.
	MaxUnavailable inventory.PartsPerMillion
	// MaxPerRack is a number of hosts in one rack; 0 means no separate limit.
	MaxPerRack int `json:",omitempty"`
	// MaxPerDataCentre is a share of the pool's hosts in one data centre; 0
	// means no separate limit.
	MaxPerDataCentre inventory.PartsPerMillion `json:",omitempty"`
}

// Service is a set of backend servers that serve the same requests.
type Service struct {
	Owner inventory.OwnerID
	// Slots and Connections are limits per backend server.
	Slots       inventory.Slots
	Connections inventory.Connections
	// Classes has at least one entry after defaults are applied.
	Classes map[inventory.ClassID]Class
	// DefaultClass is the class of a request if its tenant has none for the service.
	DefaultClass inventory.ClassID
	// MaxBody is the maximum size of a request or response body.
	MaxBody inventory.Bytes
	// RepeatableMethods are methods that are idempotent in this service although
	// RFC 9110 does not define them as such.
	RepeatableMethods []string `json:",omitempty"`
	// NonRepeatableMethods are methods that are not idempotent in this service
	// although RFC 9110 defines them as such.
	NonRepeatableMethods []string `json:",omitempty"`
}

// Class is a class of requests of one service.
type Class struct {
	// Weight is the class's share relative to the service's other classes; at least 1.
	Weight int
	// Deadline is the time limit of a request that sets none itself.
	Deadline Duration
	// Urgent requests take precedence over all others of the service.
	Urgent bool `json:",omitempty"`
}

// Tenant is an organisation whose callers use the services.
type Tenant struct {
	Owner inventory.OwnerID
	// Services are the services that the tenant may use, each with the class of the
	// tenant's requests; an empty class means the service's default.
	Services map[inventory.ServiceID]inventory.ClassID
	// Weight is the tenant's share relative to other tenants of its class; at least 1.
	Weight int
	// MaxInFlight limits the tenant's concurrent requests at one entry host.
	MaxInFlight int
	// TokenDigests are the SHA-256 digests of the tenant's tokens, in
	// hexadecimal; the tokens themselves are never published.
	TokenDigests []string `json:",omitempty"`
}

// Team is a group of submitters whose jobs share a quota.
type Team struct {
	Owner inventory.OwnerID
	// Weight is the team's share of its owner's capacity; at least 1.
	Weight int
	// Quota limits what the team's running jobs use without borrowing.
	Quota inventory.Size
}

// Wave is a recurring maintenance pass that reboots the hosts of pools.
type Wave struct {
	Owner inventory.OwnerID
	// Pools are maintained in parallel, each within its own budget. Each must belong
	// to Owner.
	Pools []inventory.PoolID
	// Start and Window define the daily maintenance window: it opens at Start, an
	// offset from midnight UTC, and lasts for Window.
	Start  Duration
	Window Duration
	// RebootTime is the expected downtime of one host.
	RebootTime Duration
	// Period is the time from the start of one pass to the start of the next.
	Period Duration
	// Overrun allows a pass to start although its forecast exceeds Period.
	Overrun bool `json:",omitempty"`
	// Paused stops new reboots; reboots in progress are completed.
	Paused bool `json:",omitempty"`
	// Aborted ends the wave permanently.
	Aborted bool `json:",omitempty"`
}
