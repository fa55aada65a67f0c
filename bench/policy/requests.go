package policy

import (
	"strings"
	"sync"
	"time"

	"github.com/godwitcross/godwitcross/bench/measure"
	"github.com/godwitcross/godwitcross/fleet/admission"
	"github.com/godwitcross/godwitcross/fleet/dispatch"
)

// requests measures routing, admission and retries through the bursts of the brief.
var requests = measure.Measurement{
	Name:  "requests",
	Usage: "goodput, waits, refusals and retries through bursts, against two baselines",
	Run:   runRequests,
}

// contender is a policy that is measured.
type contender struct {
	name   string
	make   func(p place) policyHost
	scenes []scene
}

// contenders are the policy of the product, the orders of its queue that were
// weighed, and the baselines.
var contenders = []contender{
	{"requests", newProduct(admission.EarliestDeadlineFirst), scenes},
	{"requests.oldest_first", newProduct(admission.OldestFirst), scenes[:1]},
	{"requests.newest_first", newProduct(admission.NewestFirst), scenes[:1]},
	{"requests.random", newRandomHost, scenes},
	{"requests.least_loaded", newLeastLoadedHost, scenes},
}

func newProduct(order admission.Order) func(p place) policyHost {
	return func(p place) policyHost {
		d := dispatch.New(dispatch.Config{Name: p.name, DataCentre: p.dataCentre, Order: order, Retries: p.retries, Random: p.random})
		d.Configure(p.objects, p.now)
		return d
	}
}

// runRequests runs each policy through its scenes. The worlds share nothing, so
// they run side by side and give the same figures in any order.
func runRequests(o measure.Options) ([]measure.Figure, error) {
	type run struct {
		world       *world
		name, title string
	}
	var runs []run
	for _, c := range contenders {
		for _, scene := range c.scenes {
			o.Progress(c.name + " " + scene.name)
			runs = append(runs, run{world: newWorld(c, scene, o.Seed), name: c.name + scene.suffix, title: c.name + " " + scene.name})
		}
	}
	var wg sync.WaitGroup
	for _, r := range runs {
		wg.Go(r.world.run)
	}
	wg.Wait()
	var figures []measure.Figure
	for _, r := range runs {
		o.Plot(r.world.tally.latencies.chart(r.name, "Latency by class and tenant through a burst: "+r.title))
		figures = append(figures, r.world.figures(r.name)...)
	}
	return figures, nil
}

// figures returns what the run showed under names that begin with the prefix.
func (w *world) figures(prefix string) []measure.Figure {
	t := w.tally
	figure := func(name string, v float64, u measure.Unit) measure.Figure {
		return measure.Figure{Name: prefix + "." + name, Value: v, Unit: u, Deterministic: true}
	}
	out := []measure.Figure{
		figure("goodput", t.goodput(w), measure.Ratio),
		figure("retries", ratio(t.sendings-t.firstSendings, t.firstSendings), measure.Ratio),
		figure("doubles", float64(t.doubles), measure.Count),
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
