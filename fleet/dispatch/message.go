// Package dispatch implements the request handling of an entry host as a deterministic
// state machine: methods take events and the current time, and TakeActions returns
// what the caller has to do.
package dispatch

import (
	"time"

	"github.com/godwitcross/godwitcross/fleet/admission"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/retry"
	"github.com/godwitcross/godwitcross/fleet/routing"
)

// Reasons for a refusal or failure, in addition to those of package admission.
const (
	// ReasonNotReady means that this dispatcher does not know the service yet, because
	// the configuration has only just added it.
	ReasonNotReady           admission.Reason = "NotReady"
	ReasonNoServer           admission.Reason = "NoServer"
	ReasonNoAnswer           admission.Reason = "NoAnswer"
	ReasonServersRefused     admission.Reason = "ServersRefused"
	ReasonServersUnreachable admission.Reason = "ServersUnreachable"
	ReasonKeyUsed            admission.Reason = "KeyUsed"
	ReasonKeyUnproven        admission.Reason = "KeyUnproven"
)

// Request is a caller's request.
type Request struct {
	admission.Request
	Service inventory.ServiceID
	// Idempotent requests may be executed more than once.
	Idempotent bool
	// Keyed requests carry an idempotency key. Unless Idempotent is set too, the key must
	// be claimed before any byte is sent to a backend server.
	Keyed bool
}

// ActionKind is the type of an Action.
type ActionKind string

// The kinds of actions.
const (
	// ActionClaim claims the request's key.
	ActionClaim ActionKind = "Claim"
	// ActionSend sends the request to a backend server.
	ActionSend ActionKind = "Send"
	// ActionFinish returns the result to the caller.
	ActionFinish ActionKind = "Finish"
)

// Action is an instruction to the caller of the dispatcher.
type Action struct {
	Kind    ActionKind
	Request admission.RequestID
	// Instance is the backend server of an ActionSend. Deadline is when an ActionSend
	// times out, or the latest time at which the request can be sent for an ActionClaim.
	// NewConnection is true if the attempt needs a connection that no request was sent on.
	Instance      routing.Instance
	Deadline      time.Time
	NewConnection bool
	// Connections is this entry host's share of the server's connection limit.
	Connections inventory.Connections
	// End is the result of an ActionFinish.
	End Completion
}

// Completion is the result of a request.
type Completion struct {
	Outcome retry.Outcome
	// Reason is empty for an answered request.
	Reason admission.Reason
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter time.Duration
	// ReleaseClaim is true if the claim of the key must be released, because nothing was
	// executed under it.
	ReleaseClaim bool
	// QueueTime is the time in the queue, ServerTime the time of all attempts.
	QueueTime, ServerTime time.Duration
}

// ClaimResult is the result of an ActionClaim.
type ClaimResult string

// The results of an ActionClaim.
const (
	// ClaimGranted means that this request holds the key.
	ClaimGranted ClaimResult = "Granted"
	// ClaimUsed means that the key was claimed before.
	ClaimUsed ClaimResult = "Used"
	// ClaimUnproven means that it could not be determined whether the key is free.
	ClaimUnproven ClaimResult = "Unproven"
)

// AttemptResult is the result of an attempt.
type AttemptResult struct {
	Result retry.Result
	// LeavingSign is the server's announcement that it is leaving, if any.
	LeavingSign routing.LeavingSign
}
