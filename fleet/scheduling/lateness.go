package scheduling

import (
	"math"
	"time"

	"github.com/godwitcross/godwitcross/fleet/queue"
)

// lateness classifies a job by how far its expected end is from its objective.
type lateness int

const (
	// onTime jobs can still meet their objective.
	onTime lateness = iota
	// late jobs can end within lateFactor times their objective.
	late
	// overdue jobs end later than that. They are worth little to callers, but must still
	// be done.
	overdue
)

const (
	// lateFactor times the objective is the latest end that is still worth something
	// to callers.
	lateFactor = 3
	// smoothingFactor is the weight of a new duration in the moving average of a queue's
	// task durations.
	smoothingFactor = 0.1
)

// durations is an exponential moving average of the durations of a queue's tasks.
type durations struct {
	// mean is 0 before the first observation.
	mean time.Duration
}

// learn adds one duration to the average.
func (d *durations) learn(took time.Duration) {
	if d.mean == 0 {
		d.mean = took
		return
	}
	d.mean += time.Duration(smoothingFactor * float64(took-d.mean))
}

// estimate combines the caller's estimate with the average. It returns their geometric
// mean, because the errors of both are factors.
func (d *durations) estimate(declared time.Duration) time.Duration {
	switch {
	case d == nil || d.mean == 0:
		return declared
	case declared == 0:
		return d.mean
	default:
		return time.Duration(math.Sqrt(float64(declared) * float64(d.mean)))
	}
}

// lateness returns the lateness of a step's job and the slack: the time left beyond the
// remaining work. For an overdue job the slack is minus its expected response time.
func (s *Scheduler) lateness(now time.Time, q queue.Queue, st *step) (lateness, time.Duration) {
	if st.LongRunning {
		return onTime, 0
	}
	chain, rest := st.occ.chain(s.taskDurations[q.Name])
	objective := time.Duration(q.Stretch*float64(chain)) + q.TargetLatency
	end := now.Add(rest).Sub(st.occ.dueAt)
	switch {
	case end <= objective:
		return onTime, objective - end
	case end <= lateFactor*objective:
		return late, lateFactor*objective - end
	default:
		return overdue, -end
	}
}

// chain estimates the duration of the critical path through the steps, and that of the
// critical path through the steps that aren't done.
func (o *occurrence) chain(d *durations) (time.Duration, time.Duration) {
	var total, remaining time.Duration
	totals, remainders := make([]time.Duration, len(o.steps)), make([]time.Duration, len(o.steps))
	for i, st := range o.steps {
		for _, a := range st.After {
			totals[i] = max(totals[i], totals[a])
			remainders[i] = max(remainders[i], remainders[a])
		}
		took := st.duration(d)
		totals[i] += took
		if st.done < st.Count {
			remainders[i] += took
		}
		total, remaining = max(total, totals[i]), max(remaining, remainders[i])
	}
	return total, remaining
}

// duration returns how long a task of the step takes: the mean of its done runs, or an
// estimate before the first.
func (st *step) duration(d *durations) time.Duration {
	if st.ended > 0 {
		return st.took / time.Duration(st.ended)
	}
	return d.estimate(st.Estimate)
}

// learn records the duration of a done run for its step and its queue.
func (s *Scheduler) learn(now time.Time, r *run) {
	st := r.task.step
	took := now.Sub(r.since)
	st.took += took
	st.ended++
	d := s.taskDurations[r.task.owner().Queue]
	if d == nil {
		d = &durations{}
		s.taskDurations[r.task.owner().Queue] = d
	}
	d.learn(took)
}
