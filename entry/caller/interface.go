package caller

import (
	"github.com/godwitcross/godwitcross/fleet/admission"
)

// Headers of the callers' interface.
const (
	// HeaderTenant names the caller's tenant.
	HeaderTenant = "Tenant"
	// HeaderKey makes a request that is not idempotent run at most once,
	// however often and wherever it is sent.
	HeaderKey = "Idempotency-Key"
	// HeaderDeadline is the time in milliseconds after which the caller has no
	// use for the answer. The backend server gets what remains of it.
	HeaderDeadline = "Request-Deadline"
	// HeaderOutcome tells what became of the request.
	HeaderOutcome = "Request-Outcome"
	// HeaderReason tells in one word why a request was refused.
	HeaderReason = "Refusal-Reason"
	// HeaderKept marks an answer that was kept from an earlier sending of the key.
	HeaderKept = "Answer-Kept"
)

// Reasons of refusals beside those of the packages admission and dispatch.
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

// pathPrefix is the first part of every caller's path.
const pathPrefix = "/services/"
