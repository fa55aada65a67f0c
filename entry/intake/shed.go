package intake

import (
	"context"
	"math"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/godwitcross/godwitcross/entry/metric"
	"github.com/godwitcross/godwitcross/entry/relay"
	"github.com/godwitcross/godwitcross/fleet/job"
	"github.com/godwitcross/godwitcross/fleet/shedding"
)

// ErrOverloaded means that the job would end too late to be of use. Callers are sent its text.
var ErrOverloaded = eris.New("not accepted: overloaded")

// unknownJobTimeout bounds the leader's answer that it doesn't know the job. Without the answer, the job is accepted.
const unknownJobTimeout = 100 * time.Millisecond

// OverloadedError is an ErrOverloaded and an ErrNotAccepted, with the time after which to send the job again.
type OverloadedError struct {
	// RetryAfter is a whole number of seconds, at least one.
	RetryAfter time.Duration
}

// Error returns the text that callers are sent.
func (e *OverloadedError) Error() string { return ErrOverloaded.Error() }

// Unwrap returns ErrOverloaded and ErrNotAccepted.
func (e *OverloadedError) Unwrap() []error { return []error{ErrOverloaded, ErrNotAccepted} }

// Delays returns the delay of an overloaded queue and when it was read.
type Delays func(queue string) (d shedding.Delay, readAt time.Time, ok bool)

// waitsUntilKey is the context key of the time until which the caller said that it waits.
type waitsUntilKey struct{}

// withStatedTimeout adds the timeout that the caller has set.
func withStatedTimeout(ctx context.Context, timeout time.Duration) context.Context {
	return context.WithValue(ctx, waitsUntilKey{}, time.Now().Add(timeout))
}

// remainingTime returns how long the caller still waits, 0 if it didn't say.
func remainingTime(ctx context.Context) time.Duration {
	until, ok := ctx.Value(waitsUntilKey{}).(time.Time)
	if !ok {
		return 0
	}
	return max(time.Until(until), 0)
}

// shed returns an OverloadedError if the job is to be rejected. On any doubt it returns nil.
func (in *Intake) shed(ctx context.Context, r Route, j job.Job) error {
	if in.cfg.Delays == nil || !in.isUnderPressure() {
		return nil
	}
	d, readAt, ok := in.cfg.Delays(r.Queue.Name)
	if !ok {
		return nil
	}
	s := shedding.Submission{
		ID: j.ID, Queue: r.Queue, Steps: j.Steps, Remaining: remainingTime(ctx), IsScheduled: j.Times != 0 || j.StartAt != 0,
	}
	decision := shedding.DefaultConfig.Decide(in.cfg.Now(), readAt, d, s)
	if !decision.IsRejected || !in.isUnknown(ctx, j.ID) {
		return nil
	}
	in.recordShed(r, d, s, decision)
	return &OverloadedError{decision.RetryAfter}
}

// isUnderPressure reports whether callers may compete for too little capacity.
func (in *Intake) isUnderPressure() bool {
	if in.cfg.UnderPressure {
		return true
	}
	c := in.cfg.Follower.Current()
	return c != nil && c.Workspaces.Len() > 0
}

// isUnknown reports whether the leader has answered in time that it doesn't know the job.
func (in *Intake) isUnknown(ctx context.Context, id job.ID) bool {
	ctx, cancel := context.WithTimeout(ctx, unknownJobTimeout)
	defer cancel()
	a, err := in.cfg.Resolver.State(ctx, relay.StateRequest{Job: id, Hops: relay.MaxHops})
	return err == nil && ctx.Err() == nil && !a.Known
}

// recordShed counts and logs a rejection with the inputs that decided it.
func (in *Intake) recordShed(r Route, d shedding.Delay, s shedding.Submission, decision shedding.Decision) {
	labels := []metric.Label{in.cfg.Metrics.BoundLabel("Queue", r.Queue.Name)}
	if r.Workspace != "" {
		labels = append(labels, in.cfg.Workspaces.Label("Workspace", string(r.Workspace)))
	}
	in.cfg.Metrics.Count("submissions_shed", 1, labels...)
	fields := logrus.Fields{
		"Job": string(s.ID), "Queue": r.Queue.Name, "Priority": r.Queue.Priority, "RetryAfterS": int(decision.RetryAfter / time.Second),
		"EndMs": decision.End.Milliseconds(), "ObjectiveMs": decision.Objective.Milliseconds(), "AgeMs": decision.Age.Milliseconds(),
		"RemainingMs": s.Remaining.Milliseconds(), "AfterMs": d.After.Milliseconds(), "MeanMs": d.Mean.Milliseconds(),
		"Cost": math.Round(d.Cost), "Spread": d.Spread, "Resource": d.Resource,
	}
	r.addWorkspace(fields)
	in.cfg.Log.WithFields(fields).Info("submission rejected under overload")
}
