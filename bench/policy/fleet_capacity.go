package policy

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/godwitcross/godwitcross/bench/measure"
	"github.com/godwitcross/godwitcross/fleet/capacity"
)

// The simulated demand, from the requirements: the services take turns in demanding
// five times their mean for a few seconds, and then a twentieth of it.
const (
	peakSeconds         = 6
	peakIntervalSeconds = 31
	peakFactor          = 5.0
	troughFactor        = 1.0 / 20
	busyHosts           = 4.0
	offPeakHosts        = 0.8
	demandPools         = 10
	// warmUpDays are excluded from the result, so that all policies have a week of
	// history.
	warmUpDays = 7
	demandDays = 14
	daySeconds = 86_400
	// decisionIntervalSeconds is the time between two decisions, acquireSeconds the
	// time until an added host is available, and releaseSeconds the time to drain a
	// host before it is released.
	decisionIntervalSeconds = 10
	acquireSeconds          = 70
	releaseSeconds          = 60
)

var capacityPolicies = measure.Measurement{
	Name: "capacity", Usage: "buffer cost, unmet demand and moves of the policies, against an oracle", Run: measureCapacity,
}

// generateDemand returns the demand of the n-th pool in hosts for each second.
func generateDemand(r *rand.Rand, n int) []capacity.Hosts {
	out := make([]capacity.Hosts, 0, demandDays*daySeconds)
	for day := range demandDays {
		factor := 0.9 + 0.2*r.Float64()
		jitter := 1.0
		for s := range daySeconds {
			at := (s + n%5*peakSeconds) % peakIntervalSeconds
			if at == 0 {
				jitter = 0.9 + 0.2*r.Float64()
			}
			mean := offPeakHosts
			if isBusy(day, s/3600, n) {
				mean = busyHosts
			}
			d := mean * factor * troughFactor
			if at < peakSeconds {
				d = mean * factor * jitter * peakFactor
			}
			out = append(out, capacity.Hosts(math.Ceil(d)))
		}
	}
	return out
}

// isBusy reports whether the pool has busy hours: two of five pools are busy overnight,
// the others by day, and none at the weekend.
func isBusy(day, hour, n int) bool {
	if day%7 >= 5 {
		return false
	}
	if n%5 >= 3 {
		return hour >= 22 || hour < 4
	}
	return hour >= 8 && hour < 18
}

// capacityResult sums up the measured days of all pools.
type capacityResult struct {
	// idle, shortage and demand are in host-seconds.
	idle, shortage, demand float64
	moves                  int
	trace                  capacityTrace
}

func (c *capacityResult) count(held, demand capacity.Hosts) {
	c.trace.add(held, demand)
	c.demand += float64(demand)
	c.idle += float64(max(held-demand, 0))
	c.shortage += float64(max(demand-held, 0))
}

// simulatePolicy changes the held hosts to the policy's target, with the delays of
// acquiring and releasing hosts.
func simulatePolicy(p capacity.Policy, demand []capacity.Hosts, c *capacityResult) {
	begin := time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC)
	held, acquiring := capacity.Hosts(10), []scheduledMove(nil)
	releasing := []scheduledMove(nil)
	peak := capacity.Hosts(0)
	for s, d := range demand {
		peak = max(peak, d)
		for len(acquiring) > 0 && acquiring[0].second <= s {
			held += acquiring[0].hosts
			acquiring = acquiring[1:]
		}
		for len(releasing) > 0 && releasing[0].second <= s {
			releasing = releasing[1:]
		}
		counted := s >= warmUpDays*daySeconds
		if s%decisionIntervalSeconds == 0 {
			target := held + totalHosts(acquiring)
			want := p.TargetHosts(begin.Add(time.Duration(s)*time.Second), capacity.Observation{PeakDemand: peak, CurrentHosts: target})
			peak = 0
			switch {
			case want > target:
				acquiring = append(acquiring, scheduledMove{s + acquireSeconds, want - target})
			case want < target && len(acquiring) == 0:
				held = want
				releasing = append(releasing, scheduledMove{s + releaseSeconds, target - want})
			default:
				want = target
			}
			if counted {
				c.moves += int(max(want-target, target-want))
			}
		}
		if counted {
			c.count(held, d)
			c.idle += float64(totalHosts(releasing))
		}
	}
}

// scheduledMove is a number of hosts whose acquisition or release completes at the
// given second.
type scheduledMove struct {
	second int
	hosts  capacity.Hosts
}

func totalHosts(all []scheduledMove) capacity.Hosts {
	n := capacity.Hosts(0)
	for _, a := range all {
		n += a.hosts
	}
	return n
}

// simulateOracle knows the future demand. In each second it holds the highest demand
// within the time that releasing and reacquiring a host takes.
func simulateOracle(demand []capacity.Hosts, c *capacityResult) {
	const ahead = acquireSeconds + releaseSeconds
	last := capacity.Hosts(0)
	var window []int
	next := 0
	for s, d := range demand {
		for ; next < len(demand) && next <= s+ahead; next++ {
			for len(window) > 0 && demand[window[len(window)-1]] <= demand[next] {
				window = window[:len(window)-1]
			}
			window = append(window, next)
		}
		for window[0] < s {
			window = window[1:]
		}
		held := demand[window[0]]
		if s >= warmUpDays*daySeconds {
			c.count(held, d)
			c.moves += int(max(held-last, last-held))
		}
		last = held
	}
}

func measureCapacity(o measure.Options) ([]measure.Figure, error) {
	policies := []struct {
		name string
		make func() capacity.Policy
	}{
		{"fixedShare", func() capacity.Policy { return capacity.FixedShare{Hosts: 10} }},
		{"fixedPeak", func() capacity.Policy { return capacity.FixedShare{Hosts: 25} }},
		{"peakOfWindow", func() capacity.Policy { return capacity.NewPeakOfWindow(10 * time.Minute) }},
		{"forecast", func() capacity.Policy { return capacity.NewForecast(forecastConfig) }},
	}
	r := rand.New(rand.NewPCG(o.Seed, 5))
	results := make([]capacityResult, len(policies))
	oracle := capacityResult{}
	for n := range demandPools {
		demand := generateDemand(r, n)
		simulateOracle(demand, &oracle)
		for i, p := range policies {
			simulatePolicy(p.make(), demand, &results[i])
		}
	}
	o.Plot(bufferChart(results[len(results)-1].trace, oracle.trace))
	f := func(name string, v float64, u measure.Unit) measure.Figure {
		return measure.Figure{Name: "capacity." + name, Value: v, Unit: u, Deterministic: true}
	}
	out := []measure.Figure{
		f("oracle.buffer", oracle.idle/3600, measure.HostHours),
		f("oracle.moves", float64(oracle.moves), measure.Count),
	}
	for i, p := range policies {
		c := results[i]
		out = append(out,
			f(p.name+".buffer", c.idle/3600, measure.HostHours),
			f(p.name+".bufferToOracle", c.idle/oracle.idle, measure.Ratio),
			f(p.name+".demandWithoutRoom", c.shortage/c.demand, measure.Ratio),
			f(p.name+".moves", float64(c.moves), measure.Count),
		)
	}
	return out, nil
}

// forecastConfig holds the parameters selected by this measurement.
var forecastConfig = capacity.ForecastConfig{
	Slot: time.Hour, HistoryDays: 5, Quantile: 0.5, LeadTime: 2 * time.Minute,
	RecentWindow: 5 * time.Minute, ScaleDownDelay: 5 * time.Minute, MinScaleDown: 2,
}
