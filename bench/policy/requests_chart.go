package policy

import (
	"maps"
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/bench/measure"
)

// chartStep is the time covered by one point of the latency chart.
const chartStep = 250 * time.Millisecond

// latencies are the times from arrival to answer, in milliseconds, by class and tenant
// and by the step of the service's cycle in which the request arrived.
type latencies map[string]map[int][]float64

// add records the latency of an answered request.
func (l latencies) add(c *fakeCall, now time.Time) {
	name := string(c.Class) + ", " + string(c.Tenant)
	if l[name] == nil {
		l[name] = make(map[int][]float64)
	}
	step := int(arrivalPhase(c) / chartStep)
	l[name][step] = append(l[name][step], milliseconds(now.Sub(c.Arrived)))
}

// arrivalPhase returns the time since the start of the service's cycle at the request's
// arrival; a cycle begins with the burst.
func arrivalPhase(c *fakeCall) time.Duration {
	since := c.Arrived.Sub(time.Unix(0, 0))
	for v := range serviceCount {
		if service(v) == c.Service {
			since += time.Duration(v) * cycle / serviceCount
		}
	}
	return since % cycle
}

// chart plots the p99 of each class and tenant over a cycle.
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
	end := burstDuration.Seconds()
	c.Lines = append(c.Lines, measure.Line{Name: "end of the burst", Reference: true, Points: []measure.Point{{X: end, Y: 1}, {X: end, Y: maxY(c.Lines)}}})
	return c
}

// maxY returns the largest value of all lines, at least 1.
func maxY(lines []measure.Line) float64 {
	top := 1.0
	for _, l := range lines {
		for _, p := range l.Points {
			top = max(top, p.Y)
		}
	}
	return top
}
