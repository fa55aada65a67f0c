// Package dispatch decides what happens to each request of an entry host:
// events go in, actions come out, and the present time is an argument.
package dispatch

import (
	"time"

	"github.com/godwitcross/godwitcross/fleet/admission"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/retry"
	"github.com/godwitcross/godwitcross/fleet/routing"
)

// Reasons of refusals beside those of admission.
const (
	// ReasonNotReady is for a service that the configuration brought a moment ago.
	ReasonNotReady  admission.Reason = "NotReady"
	ReasonNoServer  admission.Reason = "NoServer"
	ReasonNoAnswer  admission.Reason = "NoAnswer"
	ReasonRefused   admission.Reason = "ServersRefused"
	ReasonUnreached admission.Reason = "ServersUnreachable"
	ReasonKeyUsed   admission.Reason = "KeyUsed"
	ReasonNoClaim   admission.Reason = "KeyUnproven"
)

// Request is a request of a caller.
type Request struct {
	admission.Request
	Service inventory.ServiceID
	// Idempotent requests may be executed more than once.
	Idempotent bool
	// Keyed requests need a claim of their key before a byte is sent.
	Keyed bool
}

// ActionKind is what is to be done for a request.
type ActionKind string

// The kinds of actions.
const (
	// ActionClaim asks for the claim of the request's key.
	ActionClaim ActionKind = "Claim"
	// ActionSend sends the request to a backend server.
	ActionSend ActionKind = "Send"
	// ActionFinish ends the request.
	ActionFinish ActionKind = "Finish"
)

// Action is one thing to do for a request.
type Action struct {
	Kind    ActionKind
	Request admission.RequestID
	// Instance is the server of a sending, Until the moment at which the sending
	// is given up, and Fresh whether it needs a connection that nothing was
	// sent on yet.
	Instance routing.Instance
	Until    time.Time
	Fresh    bool
	// Connections is this host's share of the server's connections.
	Connections inventory.Connections
	// End is how the request ended.
	End End
}

// End is how a request ended.
type End struct {
	Outcome retry.Outcome
	// Reason is empty for an answered request.
	Reason admission.Reason
	// After is how long the caller should wait before it tries again.
	After time.Duration
	// Release gives the claim of the key back: nothing was executed under it.
	Release bool
	// Waited is the time in the queue, and Served the time at servers.
	Waited, Served time.Duration
}

// Claim is the answer to ActionClaim.
type Claim string

// The answers to ActionClaim.
const (
	// ClaimGranted means that no other request has the key.
	ClaimGranted Claim = "Granted"
	// ClaimUsed means that the key was claimed before.
	ClaimUsed Claim = "Used"
	// ClaimUnproven means that it can't be told whether the key is free.
	ClaimUnproven Claim = "Unproven"
)

// Result is how a sending ended.
type Result struct {
	Result retry.Result
	// Sign is what the server showed of its leaving.
	Sign routing.Sign
}
