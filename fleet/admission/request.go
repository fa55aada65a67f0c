// Package admission implements admission control and queueing for the requests of a
// service: which requests wait, which are sent next and which are refused at once.
package admission

import (
	"time"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// RequestID identifies a request. It is unique within one entry host.
type RequestID uint64

// Request holds the properties of a request that admission depends on.
type Request struct {
	ID     RequestID
	Tenant inventory.TenantID
	Class  inventory.ClassID
	// Arrived is when the entry host received the request.
	Arrived time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// Reason identifies why a request is refused.
type Reason string

// The reasons for which admission refuses a request.
const (
	// ReasonTenantQuota means that the tenant has too many requests at this host.
	ReasonTenantQuota Reason = "TenantQuota"
	// ReasonQueueFull means that the queue of the class has MaxWaiting requests.
	ReasonQueueFull Reason = "QueueFull"
	// ReasonDeadlineTooNear means that the deadline can't be met.
	ReasonDeadlineTooNear Reason = "DeadlineTooNear"
	// ReasonExpired means that the request waited until its deadline could not be met.
	ReasonExpired Reason = "Expired"
)

// Refusal describes why a request is refused and when the caller may retry.
type Refusal struct {
	// Reason is empty for a request that is not refused.
	Reason Reason
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter time.Duration
}
