package scheduling

import (
	"math"
	"time"

	"github.com/godwitcross/godwitcross/fleet/queue"
)

// lateness says what a job can still earn its caller.
type lateness int

const (
	// onTime jobs can meet their objective.
	onTime lateness = iota
	// late jobs can end within lateFactor times their objective.
	late
	// overdue jobs are of little use any more, but still have to be done.
	overdue
)

const (
	// lateFactor times the objective is the latest end that is still worth something
	// to callers.
	lateFactor = 3
	// learnRate is the weight of one more end in the learned duration of a queue's
	// tasks.
	learnRate = 0.1
)

// durations learns how long the tasks of a queue take.
type durations struct {
	// mean is 0 before the first end.
	mean time.Duration
}

// learn takes one more duration into account.
func (d *durations) learn(took time.Duration) {
	if d.mean == 0 {
		d.mean = took
		return
	}
	d.mean += time.Duration(learnRate * float64(took-d.mean))
}

// estimate combines a caller's rough estimate with what was learned, as their
// geometric mean: both are off by factors.
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

// lateness returns what can still be earned by an end of a step's tasks, and how much
// time is left to that beyond the work.
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

// chain estimates the longest chain of steps, and the longest of those that are not
// done.
func (o *occurrence) chain(d *durations) (time.Duration, time.Duration) {
	var whole, rest time.Duration
	wholes, rests := make([]time.Duration, len(o.steps)), make([]time.Duration, len(o.steps))
	for i, st := range o.steps {
		for _, a := range st.After {
			wholes[i] = max(wholes[i], wholes[a])
			rests[i] = max(rests[i], rests[a])
		}
		took := st.duration(d)
		wholes[i] += took
		if st.done < st.Count {
			rests[i] += took
		}
		whole, rest = max(whole, wholes[i]), max(rest, rests[i])
	}
	return whole, rest
}

// duration is how long a task of the step takes, by its ends, else by estimate.
func (st *step) duration(d *durations) time.Duration {
	if st.ended > 0 {
		return st.took / time.Duration(st.ended)
	}
	return d.estimate(st.Estimate)
}

// learn takes the duration of a finished run into account.
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
