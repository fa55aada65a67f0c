// Package retry decides what may be sent again and what may truthfully be said
// about a request that got no answer.
package retry

// Outcome is what is known of a request at its end.
type Outcome string

// The outcomes of a request.
const (
	// Answered means that a backend server's whole answer is passed on.
	Answered Outcome = "Answered"
	// NotRun means that no backend server executed anything. It is said only
	// while no byte reached a server, or after the server itself said so.
	NotRun Outcome = "NotRun"
	// Unknown means that a server may have executed the request.
	Unknown Outcome = "Unknown"
)
