package policy

import (
	"maps"
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/bench/measure"
)

// chartStep is the width of one point of the latency chart.
const chartStep = 250 * time.Millisecond

// latencies are the times from arrival to answer, in milliseconds, by class with
// tenant and by the step of the service's cycle in which the request arrived.
type latencies map[string]map[int][]float64

// add keeps the latency of an answered request.
func (l latencies) add(c *fakeCall, now time.Time) {
	name := string(c.Class) + ", " + string(c.Tenant)
	if l[name] == nil {
		l[name] = make(map[int][]float64)
	}
	step := int(phaseOf(c) / chartStep)
	l[name][step] = append(l[name][step], milliseconds(now.Sub(c.Arrived)))
}

// phaseOf returns how far the service's cycle was when the request arrived; its
// burst comes first.
func phaseOf(c *fakeCall) time.Duration {
	since := c.Arrived.Sub(time.Unix(0, 0))
	for v := range servicesCount {
		if service(v) == c.Service {
			since += time.Duration(v) * cycle / servicesCount
		}
	}
	return since % cycle
}

// chart draws the p99 of each class and tenant through a cycle.
func (l latencies) chart(name, title string) measure.Chart {
	c := measure.Chart{
		Name: name + ".latency", Title: title, LogarithmicY: true,
		X: "s since the service's burst began", Y: "p99 from arrival to answer, ms",
	}
	for _, key := range slices.Sorted(maps.Keys(l)) {
		line := measure.Line{Name: key}
		for _, step := range slices.Sorted(maps.Keys(l[key])) {
			line.Points = append(line.Points, measure.Point{
				X: (time.Duration(step) * chartStep).Seconds(), Y: max(quantile(l[key][step], 0.99), 1),
			})
		}
		c.Lines = append(c.Lines, line)
	}
	end := burstLength.Seconds()
	c.Lines = append(c.Lines, measure.Line{Name: "end of the burst", Reference: true, Points: []measure.Point{{X: end, Y: 1}, {X: end, Y: highest(c.Lines)}}})
	return c
}

// highest returns the largest value of all lines.
func highest(lines []measure.Line) float64 {
	top := 1.0
	for _, l := range lines {
		for _, p := range l.Points {
			top = max(top, p.Y)
		}
	}
	return top
}
