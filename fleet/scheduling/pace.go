package scheduling

import (
	"slices"
	"time"
)

// Pacing of tasks that fill beside tasks that serve.
const (
	// paceEvery is how often a worker's paces are decided: the loads that workers
	// report are figures for the last half second.
	paceEvery = 500 * time.Millisecond
	// paceDownAt and paceUpAt are shares of the target's tail. Between them the pace
	// stays, so that it doesn't swing around one value.
	paceDownAt = 0.85
	paceUpAt   = 0.6
	// paceRise is by how many percent points a filler is let go faster.
	paceRise = 10
	// paceFloor is the share below which a filler is stopped altogether.
	paceFloor = 10
)

// pace slows the tasks that fill on a worker while a task that serves is near its
// target, and lets them go again when it has room.
func (s *Scheduler) pace(now time.Time, w *worker) {
	worst, serving := 0.0, false
	for _, r := range w.runs.all() {
		if r.task.step.Serves() && r.phase == running {
			serving = true
			worst = max(worst, float64(r.load)/float64(r.task.step.Target.Milliseconds()))
		}
	}
	var fillers []*run
	for _, r := range w.runs.all() {
		if r.task.step.Fills && r.phase == running && now.Sub(r.paceChanged) >= paceEvery {
			fillers = append(fillers, r)
		}
	}
	slices.SortFunc(fillers, func(a, b *run) int { return int(a.number - b.number) })
	for _, r := range fillers {
		next := nextPace(r.pace, worst, serving)
		if next == r.pace {
			continue
		}
		s.note("pace changed", r.task.owner().ID, "Task", r.task.id().String(), "From", r.pace, "To", next, "WorstOfTarget", worst)
		r.pace = next
		r.paceChanged = now
		s.emit(Pace{Worker: w.Incarnation, Address: w.Address, Task: r.task.id(), Run: r.number, Percent: next, Token: s.cfg.Epoch})
	}
}

// nextPace returns the pace that follows from the worst tail beside a filler, as a
// share of its target.
func nextPace(pace int, worst float64, serving bool) int {
	switch {
	case !serving:
		return 100
	case worst > 1:
		pace = pace / 4
	case worst > paceDownAt:
		pace = pace / 2
	case worst < paceUpAt:
		return min(pace+paceRise, 100)
	default:
		return pace
	}
	if pace < paceFloor {
		return 0
	}
	return pace
}

// Paced takes the answer to a pace; one without an answer is decided anew.
func (s *Scheduler) Paced(incarnation Incarnation, p Pace, a Answer) {
	if a.Outcome == Fenced {
		s.markFenced(incarnation.ID, "pace")
		return
	}
	if r := s.runOf(incarnation, p.Task, p.Run); r != nil && a.Outcome != Accepted {
		r.pace = -1
	}
}
