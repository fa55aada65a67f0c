// Package retry decides whether a request may be retried and which outcome may be
// reported for a request that received no answer.
package retry

// Outcome is what is known about the execution of a completed request.
type Outcome string

// The outcomes of a request.
const (
	// Answered means that the complete answer of a backend server is forwarded.
	Answered Outcome = "Answered"
	// NotRun means that no backend server executed the request. It is reported only if,
	// in every attempt, no byte was sent or the server itself reported that it executed
	// nothing.
	NotRun Outcome = "NotRun"
	// Unknown means that a backend server may have executed the request.
	Unknown Outcome = "Unknown"
)
