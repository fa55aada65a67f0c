// Package admission decides which requests of a service wait, which go next,
// and which are refused at once.
package admission

import (
	"time"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// RequestID identifies a request at one entry host.
type RequestID uint64

// Request is what admission needs to know of a request.
type Request struct {
	ID     RequestID
	Tenant inventory.TenantID
	Class  inventory.ClassID
	// Arrived is when the request came in.
	Arrived time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// Reason is why a request is refused.
type Reason string

// The reasons of refusals by admission.
const (
	// ReasonQuota means that the tenant has too many requests at this host.
	ReasonQuota Reason = "TenantQuota"
	// ReasonQueueFull means that the class's queue is at its bound.
	ReasonQueueFull Reason = "QueueFull"
	// ReasonTooLate means that the deadline can't be met.
	ReasonTooLate Reason = "DeadlineTooNear"
	// ReasonExpired means that the deadline came too near while waiting.
	ReasonExpired Reason = "Expired"
)

// Refusal tells why a request is refused and when to come back.
type Refusal struct {
	// Reason is empty for a request that is not refused.
	Reason Reason
	// After is how long the caller should wait before it tries again.
	After time.Duration
}
