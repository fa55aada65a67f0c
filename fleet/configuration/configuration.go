// Package configuration holds everything that operators publish: the types,
// their defaults, their validation, and the rule by which a change is accepted.
package configuration

import (
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/label"
)

// Version counts accepted changes by the offset of the record that made them.
// Version 0 is the empty configuration.
type Version int64

// Objects is a set of configuration objects, each under its own name.
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

// Configuration is all objects in force at a version. It is never changed in
// place: Apply returns a new one that shares what did not change.
type Configuration struct {
	// Version is the offset of the last accepted change.
	Version Version
	Objects
	// Changed holds for each object the version that last touched it. Every
	// value is at most Version.
	Changed map[Key]Version `json:",omitempty"`
	// claims belongs to Objects.
	claims claims
}

// Owner is one of the parties that share the fleet.
type Owner struct {
	// SparePool takes the owner's hosts that no selector claims. It belongs to
	// this owner.
	SparePool inventory.PoolID
}

// Operator is a person or program that publishes for one owner.
type Operator struct {
	Owner inventory.OwnerID
	// TokenDigests are the SHA-256 digests of the operator's tokens, in
	// hexadecimal; the tokens themselves are never published.
	TokenDigests []string `json:",omitempty"`
}

// DataCentre is a failure domain with entry hosts and backend servers of its own.
type DataCentre struct {
	Region inventory.RegionID
}

// Host is what operators say of a machine.
type Host struct {
	// Owner is the home owner, into whose spare pool an unclaimed host falls.
	Owner      inventory.OwnerID
	DataCentre inventory.DataCentreID
	Rack       inventory.RackID
	Size       inventory.Size
	// Labels never use the names that are derived from the other fields.
	Labels label.Set `json:",omitempty"`
}

// Names of the labels that each host has without being given them.
const (
	LabelOwner      = "Owner"
	LabelDataCentre = "DataCentre"
	LabelRack       = "Rack"
	LabelHost       = "Host"
)

// AllLabels returns the given labels and the derived ones.
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

// labelLookup returns the given labels and the derived ones by name.
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

// Pool is a set of hosts, chosen by a selector, and the jobs that belong to it.
type Pool struct {
	Owner inventory.OwnerID
	// Hosts selects hosts by their labels. It is empty for a spare pool only.
	Hosts label.Selector `json:",omitzero"`
	// Jobs selects jobs by their labels.
	Jobs label.Selector `json:",omitzero"`
	// Budget bounds what may be unavailable at once.
	Budget Budget
	// Reserve is the pool that lends hosts at peaks; the owner's spare pool
	// where it is empty. Following Reserve never comes back to the same pool.
	Reserve inventory.PoolID `json:",omitempty"`
}

// Budget bounds the hosts of a pool that are unavailable at once: failed,
// draining, rebooting or moving.
type Budget struct {
	// MaxUnavailable is a share of the pool's hosts, rounded down but never
	// below one host.
	MaxUnavailable inventory.PartsPerMillion
	// MaxPerRack is a number of hosts in one rack; 0 means no bound of its own.
	MaxPerRack int `json:",omitempty"`
	// MaxPerDataCentre is a share of the pool's hosts in one data centre; 0
	// means no bound of its own.
	MaxPerDataCentre inventory.PartsPerMillion `json:",omitempty"`
}

// Service is a set of backend servers that answer the same requests.
type Service struct {
	Owner inventory.OwnerID
	// Slots and Connections are the limits of each instance.
	Slots       inventory.Slots
	Connections inventory.Connections
	// Classes has at least one entry once defaults are filled in.
	Classes map[inventory.ClassID]Class
	// DefaultClass names the class of a request whose tenant says nothing else.
	DefaultClass inventory.ClassID
	// MaxBody is the largest body of a request or an answer.
	MaxBody inventory.Bytes
	// RepeatableMethods lists methods that the service makes idempotent
	// although RFC 9110 does not.
	RepeatableMethods []string `json:",omitempty"`
	// NonRepeatableMethods lists methods that the service does not make
	// idempotent although RFC 9110 does.
	NonRepeatableMethods []string `json:",omitempty"`
}

// Class is a class of requests of one service.
type Class struct {
	// Weight is the class's share against the others of its service; at least 1.
	Weight int
	// Deadline bounds a request that brings none of its own.
	Deadline Duration
	// Urgent requests go before all others of the service.
	Urgent bool `json:",omitempty"`
}

// Tenant is an organisation whose callers use services.
type Tenant struct {
	Owner inventory.OwnerID
	// Services are those that the tenant may use, each with the class of its
	// requests; an empty class means the service's default.
	Services map[inventory.ServiceID]inventory.ClassID
	// Weight is the tenant's share against others of its class; at least 1.
	Weight int
	// MaxInFlight bounds the tenant's requests at one entry host.
	MaxInFlight int
	// TokenDigests are the SHA-256 digests of the tenant's tokens, in
	// hexadecimal; the tokens themselves are never published.
	TokenDigests []string `json:",omitempty"`
}

// Team is a group whose jobs share a quota.
type Team struct {
	Owner inventory.OwnerID
	// Weight is the team's share of its owner's capacity; at least 1.
	Weight int
	// Quota bounds what the team's running jobs use without borrowing.
	Quota inventory.Size
}

// Wave is one pass of maintenance over pools.
type Wave struct {
	Owner inventory.OwnerID
	// Pools are maintained side by side, each within its own budget; each
	// belongs to Owner.
	Pools []inventory.PoolID
	// Start and Window bound the wave in each day: it reboots hosts from Start,
	// counted from midnight UTC, for the length of Window.
	Start  Duration
	Window Duration
	// RebootTime is how long one host is expected to be away.
	RebootTime Duration
	// Period is the time from the start of one pass to the start of the next.
	Period Duration
	// Overrun starts a pass although its forecast goes beyond Period.
	Overrun bool `json:",omitempty"`
	// Paused stops new reboots; running ones end.
	Paused bool `json:",omitempty"`
	// Aborted ends the wave for good.
	Aborted bool `json:",omitempty"`
}
