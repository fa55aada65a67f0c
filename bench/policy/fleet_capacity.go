package policy

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/godwitcross/godwitcross/bench/measure"
	"github.com/godwitcross/godwitcross/fleet/capacity"
)

// The demand of the brief: each service in turn asks for five times its mean for
// a few seconds and then for a twentieth.
const (
	peakSeconds = 6
	turnSeconds = 31
	peakFactor  = 5.0
	lullFactor  = 1.0 / 20
	busyHosts   = 4.0
	quietHosts  = 0.8
	demandPools = 10
	// warmUpDays are not counted, so that all policies have seen a week.
	warmUpDays = 7
	demandDays = 14
	daySeconds = 86_400
	// decideEvery is the time between two decisions, takeSeconds how long a host
	// takes to come and giveSeconds how long one drains before it is gone.
	decideEvery = 10
	takeSeconds = 70
	giveSeconds = 60
)

var capacities = measure.Measurement{
	Name: "capacity", Usage: "buffer cost, jobs without room and moves of the policies, against an oracle", Run: measureCapacity,
}

// demandOf returns the hosts that a pool needs in each second.
func demandOf(r *rand.Rand, n int) []capacity.Hosts {
	out := make([]capacity.Hosts, 0, demandDays*daySeconds)
	for day := range demandDays {
		factor := 0.9 + 0.2*r.Float64()
		jitter := 1.0
		for s := range daySeconds {
			at := (s + n%5*peakSeconds) % turnSeconds
			if at == 0 {
				jitter = 0.9 + 0.2*r.Float64()
			}
			mean := quietHosts
			if isBusy(day, s/3600, n) {
				mean = busyHosts
			}
			d := mean * factor * lullFactor
			if at < peakSeconds {
				d = mean * factor * jitter * peakFactor
			}
			out = append(out, capacity.Hosts(math.Ceil(d)))
		}
	}
	return out
}

// isBusy reports whether the pool has busy hours: two of five work overnight, the
// others by day, and none at the weekend.
func isBusy(day, hour, n int) bool {
	if day%7 >= 5 {
		return false
	}
	if n%5 >= 3 {
		return hour >= 22 || hour < 4
	}
	return hour >= 8 && hour < 18
}

// capacityResult sums up the counted days of all pools.
type capacityResult struct {
	// idle and missing are in host seconds, needed as well.
	idle, missing, needed float64
	moves                 int
	trace                 heldTrace
}

func (c *capacityResult) count(held, demand capacity.Hosts) {
	c.trace.add(held, demand)
	c.needed += float64(demand)
	c.idle += float64(max(held-demand, 0))
	c.missing += float64(max(demand-held, 0))
}

// runPolicy holds what the policy wants, as late as moves allow.
func runPolicy(p capacity.Policy, demand []capacity.Hosts, c *capacityResult) {
	begin := time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC)
	held, coming := capacity.Hosts(10), []arrival(nil)
	leaving := []arrival(nil)
	peak := capacity.Hosts(0)
	for s, d := range demand {
		peak = max(peak, d)
		for len(coming) > 0 && coming[0].second <= s {
			held += coming[0].hosts
			coming = coming[1:]
		}
		for len(leaving) > 0 && leaving[0].second <= s {
			leaving = leaving[1:]
		}
		counted := s >= warmUpDays*daySeconds
		if s%decideEvery == 0 {
			target := held + sum(coming)
			want := p.TargetHosts(begin.Add(time.Duration(s)*time.Second), capacity.Observation{PeakDemand: peak, CurrentHosts: target})
			peak = 0
			switch {
			case want > target:
				coming = append(coming, arrival{s + takeSeconds, want - target})
			case want < target && len(coming) == 0:
				held = want
				leaving = append(leaving, arrival{s + giveSeconds, target - want})
			default:
				want = target
			}
			if counted {
				c.moves += int(max(want-target, target-want))
			}
		}
		if counted {
			c.count(held, d)
			c.idle += float64(sum(leaving))
		}
	}
}

// arrival is hosts that come, or are gone, at a second.
type arrival struct {
	second int
	hosts  capacity.Hosts
}

func sum(all []arrival) capacity.Hosts {
	n := capacity.Hosts(0)
	for _, a := range all {
		n += a.hosts
	}
	return n
}

// runOracle knows the demand and holds, in each second, the most that is needed
// until a host could have been given away and fetched back.
func runOracle(demand []capacity.Hosts, c *capacityResult) {
	const ahead = takeSeconds + giveSeconds
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
		demand := demandOf(r, n)
		runOracle(demand, &oracle)
		for i, p := range policies {
			runPolicy(p.make(), demand, &results[i])
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
			f(p.name+".demandWithoutRoom", c.missing/c.needed, measure.Ratio),
			f(p.name+".moves", float64(c.moves), measure.Count),
		)
	}
	return out, nil
}

// forecastConfig is what the measurement chose.
var forecastConfig = capacity.ForecastConfig{
	Slot: time.Hour, HistoryDays: 5, Quantile: 0.5, LeadTime: 2 * time.Minute,
	RecentWindow: 5 * time.Minute, ScaleDownDelay: 5 * time.Minute, MinScaleDown: 2,
}
