// Package pool decides, when records are applied, which pool each host belongs to and
// which hosts may be drained or rebooted.
package pool

import (
	"time"

	"github.com/godwitcross/godwitcross/fleet/budget"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/wave"
)

// Phase is the progress of a disruption, a move or a reboot, of a host. It is empty for
// a host in service.
type Phase string

// The phases of a host.
const (
	// InService hosts have no grant.
	InService Phase = ""
	// Draining hosts have a grant and can still be released.
	Draining Phase = "Draining"
	// Rebooting hosts have started the reboot of a wave, which can't be undone.
	Rebooting Phase = "Rebooting"
	// Returning hosts were released and wait to be admitted again.
	Returning Phase = "Returning"
	// Joining hosts were handed over and wait to be admitted to their new pool.
	Joining Phase = "Joining"
)

// Host is the state of one host after the last applied record.
type Host struct {
	// Pool is the one pool that the host belongs to. It is never empty.
	Pool inventory.PoolID
	// Desired is the pool that labels and selectors assign the host to.
	Desired    inventory.PoolID
	DataCentre inventory.DataCentreID
	Rack       inventory.RackID `json:",omitempty"`
	// Failed hosts have the phase InService.
	Failed bool  `json:",omitempty"`
	Phase  Phase `json:",omitempty"`
	// Wave is set while a wave drains or reboots the host, and Reboot from the phase
	// Rebooting on.
	Wave   inventory.WaveID `json:",omitempty"`
	Reboot wave.RebootID    `json:",omitempty"`
	// Granted and GrantedAt are the offset and time of the grant for the host.
	Granted   journal.Offset `json:",omitempty"`
	GrantedAt time.Time      `json:",omitzero"`
	// RebootAt is when the reboot started.
	RebootAt time.Time `json:",omitzero"`
	// Owned is when the host joined Pool, and OwnedBy the offset of the record. Owned
	// never decreases.
	Owned   time.Time
	OwnedBy journal.Offset
	// Why is the reason why the host was last released.
	Why string `json:",omitempty"`
}

// Place returns the pool, data centre and rack whose budgets count the host.
func (h Host) Place() budget.Place {
	return budget.Place{Pool: h.Pool, DataCentre: h.DataCentre, Rack: h.Rack}
}

// Status returns the status under which the budgets count the host.
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

// IsMove reports whether the host drains to change its pool.
func (h Host) IsMove() bool {
	return h.Phase == Draining && h.Wave == ""
}

// withoutGrant returns the host in service, with its grant cleared.
func (h Host) withoutGrant() Host {
	h.Phase, h.Wave, h.Reboot, h.Granted = InService, "", "", 0
	h.GrantedAt, h.RebootAt = time.Time{}, time.Time{}
	return h
}

// released returns the host released, so that it waits to be admitted again.
func (h Host) released(reason string) Host {
	h.Phase, h.Wave, h.Reboot, h.Why = Returning, "", "", reason
	return h
}

// Transfer is a change of the pool or the owner of a host. The transfers of a host have
// no gap and no overlap: each starts from the pool in which the previous one ended, and
// At never decreases.
type Transfer struct {
	Host inventory.HostID
	// From and FromOwner are empty for a new host.
	From      inventory.PoolID  `json:",omitempty"`
	FromOwner inventory.OwnerID `json:",omitempty"`
	// To and ToOwner are empty for a host that was removed.
	To      inventory.PoolID  `json:",omitempty"`
	ToOwner inventory.OwnerID `json:",omitempty"`
	At      time.Time
	Offset  journal.Offset
}

// Observer receives every transfer, in order, as records are applied.
type Observer interface {
	Transferred(t Transfer)
}
