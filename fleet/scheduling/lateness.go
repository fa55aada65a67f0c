package scheduling

import (
	"time"

	"github.com/godwitcross/godwitcross/fleet/queue"
	"github.com/godwitcross/godwitcross/fleet/shedding"
)

// lateness classifies a job by how far its expected end is from its objective.
type lateness int

const (
	// onTime jobs can still meet their objective.
	onTime lateness = iota
	// late jobs can end within lateFactor times their objective.
	late
	// overdue jobs end later than that. Callers have little use for their results, but the
	// jobs must still be done.
	overdue
)

const (
	// lateFactor times the objective is the latest end at which callers can still use the
	// results.
	lateFactor = 3
	// smoothingFactor is the weight of a new duration in the moving average of a queue's
	// task durations.
	smoothingFactor = 0.1
)

// durationAverage is an exponential moving average of the durations of a queue's tasks.
type durationAverage struct {
	// mean is 0 before the first observation.
	mean time.Duration
}

// observe adds one duration to the average.
func (d *durationAverage) observe(duration time.Duration) {
	if d.mean == 0 {
		d.mean = duration
		return
	}
	d.mean += time.Duration(smoothingFactor * float64(duration-d.mean))
}

// estimate combines the caller's estimate with the average. It returns their geometric
// mean, because the errors of both are factors.
func (d *durationAverage) estimate(declared time.Duration) time.Duration {
	return shedding.Duration(declared, d.average())
}

// average returns the average, 0 if there is none.
func (d *durationAverage) average() time.Duration {
	if d == nil {
		return 0
	}
	return d.mean
}

// lateness returns the lateness of a step's job and the slack: the time left beyond the
// remaining work. For an overdue job the slack is minus its expected response time.
func (s *Scheduler) lateness(now time.Time, q queue.Queue, st *step) (lateness, time.Duration) {
	if st.LongRunning {
		return onTime, 0
	}
	total, remaining := st.occ.criticalPath(s.taskDurations[q.Name])
	objective := time.Duration(q.Stretch*float64(total)) + q.TargetLatency
	end := now.Add(remaining).Sub(st.occ.dueAt)
	switch {
	case end <= objective:
		return onTime, objective - end
	case end <= lateFactor*objective:
		return late, lateFactor*objective - end
	default:
		return overdue, -end
	}
}

// criticalPath estimates the duration of the critical path through the steps, and that of
// the critical path through the steps that aren't done.
func (o *occurrence) criticalPath(d *durationAverage) (time.Duration, time.Duration) {
	var total, remaining time.Duration
	totals, remainders := make([]time.Duration, len(o.steps)), make([]time.Duration, len(o.steps))
	for i, st := range o.steps {
		for _, a := range st.After {
			totals[i] = max(totals[i], totals[a])
			remainders[i] = max(remainders[i], remainders[a])
		}
		duration := st.duration(d)
		totals[i] += duration
		if st.doneTasks < st.Count {
			remainders[i] += duration
		}
		total, remaining = max(total, totals[i]), max(remaining, remainders[i])
	}
	return total, remaining
}

// duration returns how long a task of the step takes: the mean of its done runs, or an
// estimate before the first.
func (st *step) duration(d *durationAverage) time.Duration {
	if st.doneRuns > 0 {
		return st.doneDuration / time.Duration(st.doneRuns)
	}
	return d.estimate(st.Estimate)
}

// observeDuration records the duration of a done run for its step and its queue.
func (s *Scheduler) observeDuration(now time.Time, r *run) {
	st := r.task.step
	duration := now.Sub(r.orderedAt)
	st.doneDuration += duration
	st.doneRuns++
	d := s.taskDurations[r.task.job().Queue]
	if d == nil {
		d = &durationAverage{}
		s.taskDurations[r.task.job().Queue] = d
	}
	d.observe(duration)
}
