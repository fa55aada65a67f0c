// Package pool decides at the fold which pool each host belongs to and which
// hosts may be disturbed.
package pool

import (
	"time"

	"github.com/godwitcross/godwitcross/fleet/budget"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/wave"
)

// Phase is how far a disturbed host is. A host in service has none.
type Phase string

// The phases of a disturbed host.
const (
	// InService hosts have no grant.
	InService Phase = ""
	// Draining hosts have a grant and can still be given back.
	Draining Phase = "Draining"
	// Rebooting hosts are past the point of no return of a wave.
	Rebooting Phase = "Rebooting"
	// Returning hosts were given back and wait to be admitted again.
	Returning Phase = "Returning"
	// Joining hosts were handed over and wait to be admitted to their new pool.
	Joining Phase = "Joining"
)

// Host is the folded state of one host.
type Host struct {
	// Pool is the only pool that the host belongs to. It is never empty.
	Pool inventory.PoolID
	// Desired is the pool that labels and selectors ask for.
	Desired    inventory.PoolID
	DataCentre inventory.DataCentreID
	Rack       inventory.RackID `json:",omitempty"`
	// Failed hosts have the phase InService.
	Failed bool  `json:",omitempty"`
	Phase  Phase `json:",omitempty"`
	// Wave and Reboot are set while a wave disturbs the host; Reboot from the
	// phase Rebooting on.
	Wave   inventory.WaveID `json:",omitempty"`
	Reboot wave.RebootID    `json:",omitempty"`
	// Granted and GrantedAt tell the record that disturbed the host.
	Granted   journal.Offset `json:",omitempty"`
	GrantedAt time.Time      `json:",omitzero"`
	// RebootAt is when the reboot began.
	RebootAt time.Time `json:",omitzero"`
	// Owned is when the host came into Pool, and OwnedBy the record. Owned never
	// goes back in time.
	Owned   time.Time
	OwnedBy journal.Offset
	// Why says why the host was last given back.
	Why string `json:",omitempty"`
}

// Place returns where the host counts.
func (h Host) Place() budget.Place {
	return budget.Place{Pool: h.Pool, DataCentre: h.DataCentre, Rack: h.Rack}
}

// Status returns how the host counts.
func (h Host) Status() budget.Status {
	switch {
	case h.Failed:
		return budget.Failed
	case h.Phase == Draining:
		return budget.Draining
	case h.Phase == Rebooting:
		return budget.Rebooting
	case h.Phase == Returning:
		return budget.Returning
	case h.Phase == Joining:
		return budget.Joining
	}
	return budget.Available
}

// IsMove reports whether the host drains in order to change its pool.
func (h Host) IsMove() bool {
	return h.Phase == Draining && h.Wave == ""
}

// serve returns the host without any grant.
func (h Host) serve() Host {
	h.Phase, h.Wave, h.Reboot, h.Granted = InService, "", "", 0
	h.GrantedAt, h.RebootAt = time.Time{}, time.Time{}
	return h
}

// giveBack returns the host waiting to be admitted again.
func (h Host) giveBack(why string) Host {
	h.Phase, h.Wave, h.Reboot, h.Why = Returning, "", "", why
	return h
}

// Transfer is one change of the pool or of the owner of a host. The transfers of
// a host follow each other without gap or overlap: each begins where the last
// one ended, and At never goes back.
type Transfer struct {
	Host inventory.HostID
	// From and FromOwner are empty for a host that is new.
	From      inventory.PoolID  `json:",omitempty"`
	FromOwner inventory.OwnerID `json:",omitempty"`
	// To and ToOwner are empty for a host that was taken off.
	To      inventory.PoolID  `json:",omitempty"`
	ToOwner inventory.OwnerID `json:",omitempty"`
	At      time.Time
	Offset  journal.Offset
}

// Observer sees every transfer at the fold, in order.
type Observer interface {
	Transferred(t Transfer)
}
