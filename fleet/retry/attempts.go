package retry

// Result is how one sending of a request to a backend server ended.
type Result string

// The results of sending.
const (
	// ResultAnswered means that a whole answer came back.
	ResultAnswered Result = "Answered"
	// ResultRefused means that the server itself said that it did nothing.
	ResultRefused Result = "Refused"
	// ResultNotSent means that no byte of the request left this host.
	ResultNotSent Result = "NotSent"
	// ResultNoAnswer means that bytes left and no whole answer came back.
	ResultNoAnswer Result = "NoAnswer"
)

// Attempts is what is known of the sendings of one request.
type Attempts struct {
	// Idempotent requests may be executed more than once.
	Idempotent bool
	// Count is the number of sendings that ended, Refusals that of those which a
	// server refused without any effect.
	Count, Refusals int
	// mayHaveRun never becomes false again: one server may have executed the
	// request whatever others say afterwards.
	mayHaveRun bool
}

// Add takes the result of a sending in.
func (a *Attempts) Add(r Result) {
	a.Count++
	switch r {
	case ResultNoAnswer:
		a.mayHaveRun = true
	case ResultRefused:
		a.Refusals++
	}
}

// MaySendAgain reports whether a further sending can break no promise.
func (a *Attempts) MaySendAgain() bool {
	return a.Idempotent || !a.mayHaveRun
}

// Outcome returns what may truthfully be said of a request without an answer.
func (a *Attempts) Outcome() Outcome {
	if a.mayHaveRun {
		return Unknown
	}
	return NotRun
}
