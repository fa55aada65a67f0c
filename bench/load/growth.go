package load

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/bench/measure"
	"github.com/godwitcross/godwitcross/fleet/admission"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/retry"
	"github.com/godwitcross/godwitcross/fleet/routing"
)

// growth measures how the time per decision grows with the number of servers.
var growth = measure.Measurement{
	Name:  "growth",
	Usage: "time of one routing and one admission decision at 10 to 8,600 servers",
	Run:   runGrowth,
}

const (
	// decisions is the number of decisions per round. The fastest of the rounds counts.
	decisions = 20_000
	rounds    = 7
	// waitingPerServer is the number of queued requests per server.
	waitingPerServer = 1
)

// serverCounts are the measured numbers of servers.
var serverCounts = []int{10, 100, 1000, 8600}

func runGrowth(o measure.Options) ([]measure.Figure, error) {
	var figures []measure.Figure
	for _, d := range []struct {
		name string
		make func(n int) func()
	}{{"routing", newRoutingDecision}, {"admission", newAdmissionDecision}} {
		var times []float64
		for _, n := range serverCounts {
			o.Progress(fmt.Sprint(d.name, " with ", n, " servers"))
			times = append(times, fastestCall(d.make(n)))
			figures = append(figures, measure.Figure{Name: fmt.Sprintf("growth.%s_%d", d.name, n), Value: times[len(times)-1], Unit: measure.Nanoseconds})
		}
		figures = append(figures, measure.Figure{Name: "growth." + d.name + "_ratio", Value: times[len(times)-1] / times[0], Unit: measure.Ratio})
	}
	return figures, nil
}

// fastestCall returns the mean time per call of the fastest round, in nanoseconds.
func fastestCall(f func()) float64 {
	var times []float64
	for range rounds {
		began := time.Now()
		for range decisions {
			f()
		}
		times = append(times, float64(time.Since(began).Nanoseconds())/decisions)
	}
	return slices.Min(times)
}

func newRoutingDecision(n int) func() {
	now := time.Unix(0, 0)
	table := routing.NewTable(routing.Config{DataCentre: "a", Slots: 8, Random: rand.New(rand.NewPCG(1, 1))})
	list := make([]routing.Instance, n)
	for i := range list {
		list[i] = routing.Instance{ID: inventory.InstanceID(fmt.Sprintf("%04d", i)), DataCentre: "a"}
	}
	table.Update(list, nil, now)
	return func() {
		if i, err := table.Choose(nil, true, now); err == nil {
			table.RecordResult(i.ID, retry.ResultAnswered, time.Millisecond, now)
		}
	}
}

func newAdmissionDecision(n int) func() {
	now := time.Unix(0, 0)
	queue := admission.NewQueue(admission.Config{Classes: map[inventory.ClassID]configuration.Class{"c": {Weight: 1}}, Order: admission.EarliestDeadlineFirst})
	controller := admission.NewController()
	waiting := min(n*waitingPerServer, admission.MaxWaiting-1)
	for i := range waiting {
		deadline := now.Add(time.Duration(i) * time.Hour)
		queue.Push(admission.Request{ID: admission.RequestID(i), Class: "c", Tenant: "t", Arrived: now, Deadline: deadline}, 1, deadline)
	}
	r := admission.Request{Class: "c", Tenant: "t", Arrived: now, Deadline: now.Add(time.Hour)}
	return func() {
		if controller.Check(queue, r, n, now).Reason != "" {
			return
		}
		queue.Push(r, 1, r.Deadline)
		_, _ = queue.Pop()
	}
}
