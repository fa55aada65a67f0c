package policy

import (
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/fleet/dispatch"
	"github.com/godwitcross/godwitcross/fleet/retry"
)

// classStats counts the requests of one class by outcome.
type classStats struct {
	arrived, inTime, notRun, unknown int
	// waits are the times from arrival to the first attempt, in milliseconds.
	waits []float64
	// refusals are the times from arrival to the refusal, in milliseconds.
	refusals []float64
}

// requestStats collects the statistics of a simulation.
type requestStats struct {
	classes                                                         map[class]*classStats
	attempts, firstAttempts, duplicates, falseNotRun, sentToLeaving int
	// usefulWork is the work during the services' bursts for requests answered before
	// their deadlines, in slot time at normal speed.
	usefulWork time.Duration
	// latencies are for the chart.
	latencies latencies
}

func newRequestStats() requestStats {
	return requestStats{latencies: make(latencies), classes: map[class]*classStats{classUrgent: {}, classStandard: {}}}
}

// addWork adds the work of a slot during bursts, at normal speed.
func (t *requestStats) addWork(sim *requestSimulation, s *fakeServer, c *fakeCall, from, to time.Time) {
	if to.After(c.Deadline) {
		return
	}
	for v := range serviceCount {
		if service(v) == s.service {
			t.usefulWork += sim.burstTime(v, from, to) / s.slowdown
		}
	}
}

// burstTime returns how much of the span lies within the service's bursts.
func (sim *requestSimulation) burstTime(v int, from, to time.Time) time.Duration {
	sum := time.Duration(0)
	for n := range cycles + 1 {
		start := sim.began.Add(time.Duration(n)*cycle - time.Duration(v)*cycle/serviceCount)
		a, b := from, to
		if start.After(a) {
			a = start
		}
		if end := start.Add(burstDuration); end.Before(b) {
			b = end
		}
		sum += max(b.Sub(a), 0)
	}
	return sum
}

// goodput returns the useful work as a share of the capacity of available servers
// during bursts.
func (t *requestStats) goodput(sim *requestSimulation) float64 {
	limit := time.Duration(0)
	end := sim.began.Add(cycles * cycle)
	for v := range serviceCount {
		limit += serversPerService * slotsPerServer * sim.burstTime(v, sim.began, end)
	}
	for _, s := range sim.servers {
		limit -= sim.lostCapacity(s, end)
	}
	return float64(t.usefulWork) / float64(limit)
}

// lostCapacity returns the server's unavailable slot time during bursts.
func (sim *requestSimulation) lostCapacity(s *fakeServer, end time.Time) time.Duration {
	for v := range serviceCount {
		switch {
		case service(v) != s.service:
		case !s.unavailableSince.IsZero():
			return slotsPerServer * sim.burstTime(v, s.unavailableSince, end)
		case !s.slowSince.IsZero():
			return slotsPerServer * sim.burstTime(v, s.slowSince, end) * (slowFactor - 1) / slowFactor
		}
	}
	return 0
}

// addCompletion records the outcome of a request.
func (t *requestStats) addCompletion(c *fakeCall, e dispatch.Completion, now time.Time) {
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
		if c.executions > 0 {
			t.falseNotRun++
		}
	case retry.Unknown:
		s.unknown++
	}
	if c.attempts > 0 && c.arrivedInBurst {
		s.waits = append(s.waits, milliseconds(c.firstSent.Sub(c.Arrived)))
	}
}

// quantile returns the q-quantile of the list.
func quantile(list []float64, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
