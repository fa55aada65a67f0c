package policy

import (
	"time"

	"github.com/godwitcross/godwitcross/bench/measure"
	"github.com/godwitcross/godwitcross/fleet/capacity"
	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// chartSeconds is the time covered by one point of the chart of held hosts.
const chartSeconds = 60

// capacityTrace records the demand and the held hosts of the first pool on its first
// measured day.
type capacityTrace struct {
	seconds int
	// demand and held contain the largest value of each step.
	demand, held []measure.Point
	maxDemand    capacity.Hosts
	maxHeld      capacity.Hosts
}

// add records one second.
func (t *capacityTrace) add(held, demand capacity.Hosts) {
	if t.seconds >= daySeconds {
		return
	}
	t.seconds++
	t.maxDemand, t.maxHeld = max(t.maxDemand, demand), max(t.maxHeld, held)
	if t.seconds%chartSeconds != 0 {
		return
	}
	hour := float64(t.seconds) / 3600
	t.demand = append(t.demand, measure.Point{X: hour, Y: float64(t.maxDemand)})
	t.held = append(t.held, measure.Point{X: hour, Y: float64(t.maxHeld)})
	t.maxDemand, t.maxHeld = 0, 0
}

// bufferChart compares the hosts held by the policy and by the oracle with the demand.
func bufferChart(policy, oracle capacityTrace) measure.Chart {
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

// waveTrace records how many hosts each wave had rebooted during its first pass.
type waveTrace map[inventory.WaveID][]measure.Point

// add records the progress of a wave.
func (t waveTrace) add(id inventory.WaveID, since time.Duration, rebooted int) {
	t[id] = append(t[id], measure.Point{X: since.Hours(), Y: float64(rebooted)})
}

// waveChart compares the progress of the longest wave with its lower bound.
func (r waveResult) waveChart() measure.Chart {
	points := r.progress[r.longestWave]
	c := measure.Chart{
		Name: "wave.progress", Title: "Progress of a wave against its lower bound: " + string(r.longestWave),
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
