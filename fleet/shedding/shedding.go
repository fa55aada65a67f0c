// Package shedding decides which submissions are rejected at once under overload, because their jobs would
// end too late to be of use. On any doubt it accepts.
package shedding

import (
	"math"
	"time"

	"github.com/godwitcross/godwitcross/fleet/job"
	"github.com/godwitcross/godwitcross/fleet/overload"
	"github.com/godwitcross/godwitcross/fleet/queue"
)

// Delay is what a pool's plan says about jobs of one overloaded queue that are sent from now on.
type Delay struct {
	// After is the time after which the pool gets to the end of a job of cost Cost at the earliest.
	After time.Duration
	// Cost is the least cost, in the unit of Estimate.Cost, for which After holds. Cheaper jobs come earlier.
	Cost float64
	// Spread says how much chance counts against size (overload.Config.Spread).
	Spread float64
	// Resource is the index in Amounts of the resource that the pool lacks most.
	Resource int
	// Mean is the average duration of the queue's tasks, 0 if it isn't known.
	Mean time.Duration
}

// Aged returns the delay as of a time later, on the assumption that no work has arrived since.
func (d Delay) Aged(age time.Duration) Delay {
	d.After = max(d.After-age, 0)
	return d
}

// Amounts are resources times seconds: CPU, memory and accelerators.
type Amounts [3]float64

// Estimate is what is expected of a job before any of its tasks has started.
type Estimate struct {
	Work Amounts
	// Path is the duration of the job's critical path.
	Path time.Duration
}

// NewEstimate returns the estimate of a job in a queue whose tasks take mean on average, 0 if that isn't known.
func NewEstimate(steps []job.Step, mean time.Duration) Estimate {
	var e Estimate
	ends := make([]time.Duration, len(steps))
	for i, st := range steps {
		for _, a := range st.After {
			if a >= 0 && a < i {
				ends[i] = max(ends[i], ends[a])
			}
		}
		d := Duration(st.Estimate, mean)
		ends[i] += d
		e.Path = max(e.Path, ends[i])
		r, n := st.Requests(), float64(st.Count)*d.Seconds()
		for k, v := range [3]int64{int64(r.CPU), int64(r.MemMB), int64(r.GPU)} {
			e.Work[k] += n * float64(v)
		}
	}
	return e
}

// Duration combines the declared duration of a task with the average of its queue. It is their geometric mean,
// because the errors of both are factors. 0 stands for an unknown one.
func Duration(declared, mean time.Duration) time.Duration {
	switch {
	case mean == 0:
		return declared
	case declared == 0:
		return mean
	default:
		return time.Duration(math.Sqrt(float64(declared) * float64(mean)))
	}
}

// Cost returns what serving the job costs others: its work, weighted by chance.
func (e Estimate) Cost(resource int, draw, spread float64) float64 {
	if resource < 0 || resource >= len(e.Work) {
		return 0
	}
	return e.Work[resource] * overload.ChanceFactor(draw, spread)
}

// Objective returns the response time up to which the result has its full value.
func (e Estimate) Objective(q queue.Queue) time.Duration {
	return time.Duration(q.Stretch*float64(e.Path)) + q.TargetLatency
}

// Config holds the parameters of the decision.
type Config struct {
	// CallerTimeout is how long callers wait for the answer to a submission, from its first attempt on.
	CallerTimeout time.Duration
	// FirstAttempt is the part of CallerTimeout that the caller's remaining time must not be below. A later attempt may
	// repeat a submission that was accepted without an answer, and its caller has already waited.
	FirstAttempt float64
	// MaxAge is how old the leader's information may be.
	MaxAge time.Duration
	// LateFactor times the objective is the latest end at which a result is of use.
	LateFactor float64
	// Margin is the part by which the predicted end must exceed that.
	Margin float64
	// MaxRetryAfter bounds Retry-After.
	MaxRetryAfter time.Duration
}

// DefaultConfig has the values of the platform's contract and of docs/design/workspaces.md.
var DefaultConfig = Config{
	CallerTimeout: 3 * time.Second, FirstAttempt: 0.9, MaxAge: 1500 * time.Millisecond, LateFactor: 3, Margin: 0.25,
	MaxRetryAfter: time.Minute,
}

// IsHopeless reports whether a job of a delay's cost, with a path, ends too late to be of use. elapsed is
// the time since its submission was first sent.
func (c Config) IsHopeless(d Delay, q queue.Queue, e Estimate, elapsed time.Duration) bool {
	end := elapsed + d.After + e.Path
	return e.Path > 0 && end.Seconds() > (1+c.Margin)*c.LateFactor*e.Objective(q).Seconds()
}

// Submission is a job that a caller sends.
type Submission struct {
	ID    job.ID
	Queue queue.Queue
	Steps []job.Step
	// Remaining is how long the caller said that it still waits, 0 if it didn't.
	Remaining time.Duration
	// IsScheduled is set for jobs that run later or repeatedly.
	IsScheduled bool
}

// Decision is the result for a submission, with the inputs that decided it. The zero value accepts.
type Decision struct {
	IsRejected bool
	// RetryAfter is a whole number of seconds, at least one.
	RetryAfter time.Duration
	// End is when the job would end at the earliest, and Objective when it should, both since its first send.
	End, Objective time.Duration
	Age            time.Duration
}

// Decide decides about a submission at now by a delay of its queue that was read at readAt.
func (c Config) Decide(now, readAt time.Time, d Delay, s Submission) Decision {
	age := now.Sub(readAt)
	remaining := s.Remaining.Seconds()
	if age < 0 || age >= c.MaxAge || remaining < c.FirstAttempt*c.CallerTimeout.Seconds() || !isSheddable(s) {
		return Decision{}
	}
	d = d.Aged(age)
	e := NewEstimate(s.Steps, d.Mean)
	elapsed := max(c.CallerTimeout-s.Remaining, 0)
	if e.Cost(d.Resource, overload.Draw(string(s.ID), 0), d.Spread) < d.Cost || !c.IsHopeless(d, s.Queue, e, elapsed) {
		return Decision{}
	}
	return Decision{
		IsRejected: true, RetryAfter: c.retryAfter(d, s, e), End: elapsed + d.After + e.Path, Objective: e.Objective(s.Queue), Age: age,
	}
}

// isSheddable reports whether the submission's job is one that callers wait for.
func isSheddable(s Submission) bool {
	if s.IsScheduled || len(s.Steps) == 0 {
		return false
	}
	for _, st := range s.Steps {
		if st.LongRunning {
			return false
		}
	}
	return true
}

// retryAfter returns when the job would be of use again, spread over a part of the backlog. The part is half of it for
// the first priority and grows with later ones, as work of earlier priorities comes first.
func (c Config) retryAfter(d Delay, s Submission, e Estimate) time.Duration {
	usefulAfter := d.After + e.Path - time.Duration(c.LateFactor*float64(e.Objective(s.Queue)))
	priority := float64(max(s.Queue.Priority, 0))
	part := (priority + 1) / (priority + 2)
	// The spread must not follow the draw of the order, which decides who is rejected.
	place := overload.Draw("retry"+string(s.ID), 0)
	after := max(usefulAfter, 0) + time.Duration(place*part*float64(d.After))
	whole := time.Duration(math.Ceil(after.Seconds())) * time.Second
	return min(max(whole, time.Second), c.MaxRetryAfter)
}
