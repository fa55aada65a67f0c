package policy

import (
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/fleet/dispatch"
	"github.com/godwitcross/godwitcross/fleet/retry"
)

// classTally is what became of the requests of one class.
type classTally struct {
	arrived, inTime, notRun, unknown int
	// waits are from arrival to the first sending, in milliseconds.
	waits []float64
	// refusals are from arrival to the refusal, in milliseconds.
	refusals []float64
}

// tally counts what happens in a world.
type tally struct {
	classes                                                      map[class]*classTally
	sendings, firstSendings, doubles, falseNotRun, sentToLeaving int
	// useful is the work, within the service's bursts, that went into answers
	// before the deadline, as time of slots at the usual speed.
	useful time.Duration
	// latencies are for the chart.
	latencies latencies
}

func newTally() tally {
	return tally{latencies: make(latencies), classes: map[class]*classTally{classUrgent: {}, classStandard: {}}}
}

// work counts the work that a slot did within bursts, at the usual speed.
func (t *tally) work(w *world, s *fakeServer, c *fakeCall, from, to time.Time) {
	if to.After(c.Deadline) {
		return
	}
	for v := range servicesCount {
		if service(v) == s.service {
			t.useful += w.burstTime(v, from, to) / s.slow
		}
	}
}

// burstTime returns how much of the span lies within the service's bursts.
func (w *world) burstTime(v int, from, to time.Time) time.Duration {
	sum := time.Duration(0)
	for n := range cycles + 1 {
		start := w.began.Add(time.Duration(n)*cycle - time.Duration(v)*cycle/servicesCount)
		a, b := from, to
		if start.After(a) {
			a = start
		}
		if end := start.Add(burstLength); end.Before(b) {
			b = end
		}
		sum += max(b.Sub(a), 0)
	}
	return sum
}

// goodput returns the useful work as a share of what the slots of servers that
// take work could do within bursts.
func (t *tally) goodput(w *world) float64 {
	limit := time.Duration(0)
	end := w.began.Add(cycles * cycle)
	for v := range servicesCount {
		limit += serversEach * slotsEach * w.burstTime(v, w.began, end)
	}
	for _, s := range w.servers {
		limit -= w.lost(s, end)
	}
	return float64(t.useful) / float64(limit)
}

// lost returns what the server's slots could not do within bursts.
func (w *world) lost(s *fakeServer, end time.Time) time.Duration {
	for v := range servicesCount {
		switch {
		case service(v) != s.service:
		case !s.gone.IsZero():
			return slotsEach * w.burstTime(v, s.gone, end)
		case !s.slowSince.IsZero():
			return slotsEach * w.burstTime(v, s.slowSince, end) * (slowFactor - 1) / slowFactor
		}
	}
	return 0
}

// finish counts the end of a request.
func (t *tally) finish(c *fakeCall, e dispatch.Completion, now time.Time) {
	s := t.classes[c.Class]
	switch e.Outcome {
	case retry.Answered:
		t.latencies.add(c, now)
		if !now.After(c.Deadline) {
			s.inTime++
		}
	case retry.NotRun:
		s.notRun++
		s.refusals = append(s.refusals, milliseconds(now.Sub(c.Arrived)))
		if c.executed > 0 {
			t.falseNotRun++
		}
	case retry.Unknown:
		s.unknown++
	}
	if c.sendings > 0 && c.bursting {
		s.waits = append(s.waits, milliseconds(c.firstSent.Sub(c.Arrived)))
	}
}

// quantile returns the value below which the share q of the list lies.
func quantile(list []float64, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
