package history

import "time"

const (
	// remembered is the number of tasks of a worker that are remembered, of which slowTasks must be
	// slow for the worker to be. If one task in 30 is long, that happens by chance once in 2,700 times.
	remembered, slowTasks = 5, 3
	// slowRatio times the expected duration is what a slow task takes.
	slowRatio = 2.0
	// slowFor is how long a worker counts as slow after its last task.
	slowFor = 20 * time.Second
)

// Worker tells slow workers from long tasks: a worker is slow if tasks of several jobs on it are.
// J identifies a job.
type Worker[J comparable] struct {
	last   [remembered]observed[J]
	next   int
	seenAt time.Time
}

// observed is a task that a worker has done.
type observed[J comparable] struct {
	job  J
	slow bool
}

// Observe records a task of a job that took ratio times the expected duration.
func (w *Worker[J]) Observe(now time.Time, id J, ratio float64) {
	w.last[w.next] = observed[J]{id, ratio >= slowRatio}
	w.next = (w.next + 1) % remembered
	w.seenAt = now
}

// IsSlow reports whether the worker is slow.
func (w *Worker[J]) IsSlow(now time.Time) bool {
	if now.Sub(w.seenAt) > slowFor {
		return false
	}
	n, several := 0, false
	var first J
	for _, o := range w.last {
		if !o.slow {
			continue
		}
		if n++; n == 1 {
			first = o.job
		}
		several = several || o.job != first
	}
	return n >= slowTasks && several
}
