package policy

import (
	"time"

	"github.com/godwitcross/godwitcross/bench/measure"
	"github.com/godwitcross/godwitcross/fleet/capacity"
	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// chartSeconds is the width of one point of the chart of hosts held.
const chartSeconds = 60

// heldTrace keeps what the first pool needed and held on its first counted day.
type heldTrace struct {
	seconds int
	// demand and held have the largest value of each step.
	demand, held []measure.Point
	mostDemand   capacity.Hosts
	mostHeld     capacity.Hosts
}

// add takes one second.
func (t *heldTrace) add(held, demand capacity.Hosts) {
	if t.seconds >= daySeconds {
		return
	}
	t.seconds++
	t.mostDemand, t.mostHeld = max(t.mostDemand, demand), max(t.mostHeld, held)
	if t.seconds%chartSeconds != 0 {
		return
	}
	hour := float64(t.seconds) / 3600
	t.demand = append(t.demand, measure.Point{X: hour, Y: float64(t.mostDemand)})
	t.held = append(t.held, measure.Point{X: hour, Y: float64(t.mostHeld)})
	t.mostDemand, t.mostHeld = 0, 0
}

// bufferChart sets what the policy and the oracle held beside the demand.
func bufferChart(policy, oracle heldTrace) measure.Chart {
	return measure.Chart{
		Name: "capacity.buffer", Title: "Buffer against demand: one pool on one day, largest value of each minute",
		X: "hour of the day", Y: "hosts",
		Lines: []measure.Line{
			{Name: "demand", Points: policy.demand, Steps: true},
			{Name: "held by the forecast", Points: policy.held, Steps: true},
			{Name: "held by the oracle", Points: oracle.held, Steps: true, Reference: true},
		},
	}
}

// waveTrace keeps how many hosts each wave had rebooted in its first pass.
type waveTrace map[inventory.WaveID][]measure.Point

// add takes one look at a wave.
func (t waveTrace) add(id inventory.WaveID, since time.Duration, rebooted int) {
	t[id] = append(t[id], measure.Point{X: since.Hours(), Y: float64(rebooted)})
}

// waveChart sets the progress of the wave that took longest beside its lower
// bound.
func (r waveResult) waveChart() measure.Chart {
	points := r.progress[r.longest]
	c := measure.Chart{
		Name: "wave.progress", Title: "Progress of a wave against its lower bound: " + string(r.longest),
		X: "hours since the wave began", Y: "hosts rebooted", Lines: []measure.Line{{Name: "rebooted", Points: points, Steps: true}},
	}
	if len(points) > 0 {
		last := points[len(points)-1]
		bound := r.lowerBound.Hours()
		c.Lines = append(c.Lines, measure.Line{
			Name: "earliest end that the budget allows", Reference: true,
			Points: []measure.Point{{X: bound}, {X: bound, Y: last.Y}},
		})
	}
	return c
}
