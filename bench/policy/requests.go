package policy

import (
	"strings"
	"sync"
	"time"

	"github.com/godwitcross/godwitcross/bench/measure"
	"github.com/godwitcross/godwitcross/fleet/admission"
	"github.com/godwitcross/godwitcross/fleet/dispatch"
)

// requests measures routing, admission and retries during bursts of demand.
var requests = measure.Measurement{
	Name:  "requests",
	Usage: "goodput, waits, refusals and retries during bursts, against two baselines",
	Run:   measureRequests,
}

// candidate is a measured policy.
type candidate struct {
	name      string
	newHost   func(p hostConfig) entryPolicy
	scenarios []scenario
}

// candidates are the production policy, alternative orders of its queue, and the
// baselines.
var candidates = []candidate{
	{"requests", newDispatcher(admission.EarliestDeadlineFirst), scenarios},
	{"requests.oldest_first", newDispatcher(admission.OldestFirst), scenarios[:1]},
	{"requests.newest_first", newDispatcher(admission.NewestFirst), scenarios[:1]},
	{"requests.random", newRandomHost, scenarios},
	{"requests.least_loaded", newLeastLoadedHost, scenarios},
}

func newDispatcher(order admission.Order) func(p hostConfig) entryPolicy {
	return func(p hostConfig) entryPolicy {
		d := dispatch.New(dispatch.Config{Name: p.name, DataCentre: p.dataCentre, Order: order, Retries: p.retries, Random: p.random})
		d.Configure(p.objects, p.now)
		return d
	}
}

// measureRequests runs each policy through its scenarios. The simulations share no state,
// so they run in parallel and give the same figures in any order.
func measureRequests(o measure.Options) ([]measure.Figure, error) {
	type run struct {
		simulation  *requestSimulation
		name, title string
	}
	var runs []run
	for _, c := range candidates {
		for _, s := range c.scenarios {
			o.Progress(c.name + " " + s.name)
			runs = append(runs, run{simulation: newRequestSimulation(c, s, o.Seed), name: c.name + s.figureSuffix, title: c.name + " " + s.name})
		}
	}
	var wg sync.WaitGroup
	for _, r := range runs {
		wg.Go(r.simulation.run)
	}
	wg.Wait()
	var figures []measure.Figure
	for _, r := range runs {
		o.Plot(r.simulation.stats.latencies.chart(r.name, "Latency by class and tenant through a burst: "+r.title))
		figures = append(figures, r.simulation.figures(r.name)...)
	}
	return figures, nil
}

// figures returns the figures of the run, with names that begin with the prefix.
func (sim *requestSimulation) figures(prefix string) []measure.Figure {
	t := sim.stats
	figure := func(name string, v float64, u measure.Unit) measure.Figure {
		return measure.Figure{Name: prefix + "." + name, Value: v, Unit: u, Deterministic: true}
	}
	out := []measure.Figure{
		figure("goodput", t.goodput(sim), measure.Ratio),
		figure("retries", ratio(t.attempts-t.firstAttempts, t.firstAttempts), measure.Ratio),
		figure("doubles", float64(t.duplicates), measure.Count),
		figure("false_not_run", float64(t.falseNotRun), measure.Count),
		figure("sent_to_leaving", float64(t.sentToLeaving), measure.Count),
	}
	for _, c := range []class{classUrgent, classStandard} {
		s := t.classes[c]
		name := strings.ToLower(string(c)) + "_"
		out = append(out,
			figure(name+"in_time", ratio(s.inTime, s.arrived), measure.Ratio),
			figure(name+"refused", ratio(s.notRun, s.arrived), measure.Ratio),
			figure(name+"unknown", ratio(s.unknown, s.arrived), measure.Ratio),
			figure(name+"wait_p50", quantile(s.waits, 0.5), measure.Milliseconds),
			figure(name+"wait_p99", quantile(s.waits, 0.99), measure.Milliseconds),
			figure(name+"wait_p999", quantile(s.waits, 0.999), measure.Milliseconds),
			figure(name+"refusal_p99", quantile(s.refusals, 0.99), measure.Milliseconds),
		)
	}
	urgent := t.classes[classUrgent]
	return append(out, figure("urgent_wait_p99_of_deadline", quantile(urgent.waits, 0.99)/milliseconds(deadlines[classUrgent]), measure.Ratio))
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
