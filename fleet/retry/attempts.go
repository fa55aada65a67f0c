package retry

// Result is the result of one attempt to send a request to a backend server.
type Result string

// The results of an attempt.
const (
	// ResultAnswered means that a complete answer was received.
	ResultAnswered Result = "Answered"
	// ResultRefused means that the server itself reported that it executed nothing.
	ResultRefused Result = "Refused"
	// ResultNotSent means that no byte of the request was sent.
	ResultNotSent Result = "NotSent"
	// ResultNoAnswer means that at least part of the request was sent and no complete
	// answer was received.
	ResultNoAnswer Result = "NoAnswer"
)

// Attempts tracks the attempts to send one request.
type Attempts struct {
	// Idempotent means that the request may be executed more than once.
	Idempotent bool
	// Count is the number of completed attempts, and Refusals the number of those that a
	// server refused without any effect.
	Count, Refusals int
	// mayHaveRun is set once a server may have executed the request. It is never reset,
	// as the results of later attempts don't rule that out.
	mayHaveRun bool
}

// Record records the result of an attempt.
func (a *Attempts) Record(r Result) {
	a.Count++
	switch r {
	case ResultNoAnswer:
		a.mayHaveRun = true
	case ResultRefused:
		a.Refusals++
	}
}

// CanRetry reports whether another attempt is safe: the request is idempotent, or no
// server can have executed it.
func (a *Attempts) CanRetry() bool {
	return a.Idempotent || !a.mayHaveRun
}

// Outcome returns the outcome to report for a request that received no answer.
func (a *Attempts) Outcome() Outcome {
	if a.mayHaveRun {
		return Unknown
	}
	return NotRun
}
