package scheduling

import (
	"slices"
	"time"
)

// Pacing of backfill tasks that share a worker with serving tasks.
const (
	// paceInterval is the minimum interval between two pace changes of a run: the loads that
	// workers report cover the last half second.
	paceInterval = 500 * time.Millisecond
	// paceDownAt and paceUpAt are shares of the target tail latency. Between them the pace
	// doesn't change, so that it doesn't oscillate around one value.
	paceDownAt = 0.85
	paceUpAt   = 0.6
	// paceStep is the increase of the pace in percentage points.
	paceStep = 10
	// minPace is the pace in percent below which a backfill task is paused.
	minPace = 10
)

// adjustPaces slows down the backfill tasks on a worker while the tail latency of a
// serving task is near its target, and speeds them up again when it is well below.
func (s *Scheduler) adjustPaces(now time.Time, w *worker) {
	worstRatio, serving := 0.0, false
	for _, r := range w.runs.all() {
		if r.task.step.HasTarget() && r.phase == running {
			serving = true
			worstRatio = max(worstRatio, float64(r.reportedLoad)/float64(r.task.step.Target.Milliseconds()))
		}
	}
	var backfill []*run
	for _, r := range w.runs.all() {
		if r.task.step.Backfill && r.phase == running && now.Sub(r.paceChangedAt) >= paceInterval {
			backfill = append(backfill, r)
		}
	}
	slices.SortFunc(backfill, func(a, b *run) int { return int(a.number - b.number) })
	for _, r := range backfill {
		next := nextPace(r.orderedPace, worstRatio, serving)
		if next == r.orderedPace {
			continue
		}
		s.logDecision("pace changed", r.task.job().ID, "Task", r.task.id().String(), "From", r.orderedPace, "To", next, "WorstOfTarget", worstRatio)
		r.orderedPace = next
		r.paceChangedAt = now
		s.emit(Pace{Worker: w.Incarnation, Address: w.Address, Task: r.task.id(), Run: r.number, Percent: next, Token: w.token})
	}
}

// nextPace returns the next pace of a backfill task. worstRatio is the highest ratio of
// tail latency to target among the serving tasks on its worker.
func nextPace(pace int, worstRatio float64, serving bool) int {
	switch {
	case !serving:
		return 100
	case worstRatio > 1:
		pace = pace / 4
	case worstRatio > paceDownAt:
		pace = pace / 2
	case worstRatio < paceUpAt:
		return min(pace+paceStep, 100)
	default:
		return pace
	}
	if pace < minPace {
		return 0
	}
	return pace
}

// Paced applies the answer to a pace order. A pace that wasn't accepted is marked as
// unknown, so that the next round orders one again.
func (s *Scheduler) Paced(incarnation Incarnation, p Pace, a Answer) {
	if a.Outcome == Fenced {
		s.markFenced(incarnation.ID, "pace", a)
	}
	if r := s.runOf(incarnation, p.Task, p.Run); r != nil && a.Outcome != Accepted {
		r.orderedPace = -1
	}
}
