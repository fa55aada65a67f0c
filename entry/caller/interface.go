package caller

import (
	"github.com/godwitcross/godwitcross/entry/identity"
	"github.com/godwitcross/godwitcross/fleet/admission"
)

// Headers of the callers' interface.
const (
	// HeaderTenant is the caller's tenant as authenticated by package identity.
	HeaderTenant = identity.HeaderTenant
	// HeaderKey makes a request that is not idempotent run at most once, no matter how
	// often and to which entry host it is sent.
	HeaderKey = "Idempotency-Key"
	// HeaderDeadline is the time in milliseconds after which the caller no longer needs
	// the answer. The backend server receives the remaining time.
	HeaderDeadline = "Request-Deadline"
	// HeaderOutcome is the outcome of the request.
	HeaderOutcome = "Request-Outcome"
	// HeaderReason is the one-word reason of a refusal.
	HeaderReason = "Refusal-Reason"
	// HeaderKept marks a cached answer to an earlier request with the same key.
	HeaderKept = "Answer-Kept"
)

// Reasons of refusals, in addition to those of packages admission and dispatch.
const (
	ReasonPath     admission.Reason = "UnknownPath"
	ReasonService  admission.Reason = "UnknownService"
	ReasonTenant   admission.Reason = "UnknownTenant"
	ReasonMessage  admission.Reason = "BadMessage"
	ReasonDeadline admission.Reason = "BadDeadline"
	ReasonKey      admission.Reason = "BadKey"
	ReasonKeyOther admission.Reason = "KeyOfAnotherRequest"
	ReasonTooLarge admission.Reason = "BodyTooLarge"
	ReasonBusy     admission.Reason = "HostBusy"
	ReasonStopped  admission.Reason = "HostStopped"
)

// pathPrefix starts the path of every caller's request; the service follows.
const pathPrefix = "/services/"
