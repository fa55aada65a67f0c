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

// growth measures how the time of one decision grows with the servers.
var growth = measure.Measurement{
	Name:  "growth",
	Usage: "time of one routing and one admission decision at 10 to 8,600 servers",
	Run:   runGrowth,
}

const (
	// decisions are made in one round; the fastest of the rounds counts.
	decisions = 20_000
	rounds    = 7
	// waitingPerServer requests wait for each server.
	waitingPerServer = 1
)

// serverCounts are the sizes that are measured.
var serverCounts = []int{10, 100, 1000, 8600}

func runGrowth(o measure.Options) ([]measure.Figure, error) {
	var figures []measure.Figure
	for _, d := range []struct {
		name string
		make func(n int) func()
	}{{"routing", routeDecision}, {"admission", admitDecision}} {
		var times []float64
		for _, n := range serverCounts {
			o.Progress(fmt.Sprint(d.name, " with ", n, " servers"))
			times = append(times, fastest(d.make(n)))
			figures = append(figures, measure.Figure{Name: fmt.Sprintf("growth.%s_%d", d.name, n), Value: times[len(times)-1], Unit: measure.Nanoseconds})
		}
		figures = append(figures, measure.Figure{Name: "growth." + d.name + "_ratio", Value: times[len(times)-1] / times[0], Unit: measure.Ratio})
	}
	return figures, nil
}

// fastest returns the time of one call in nanoseconds.
func fastest(f func()) float64 {
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

func routeDecision(n int) func() {
	now := time.Unix(0, 0)
	t := routing.NewTable(routing.Config{DataCentre: "a", Slots: 8, Random: rand.New(rand.NewPCG(1, 1))})
	list := make([]routing.Instance, n)
	for i := range list {
		list[i] = routing.Instance{ID: inventory.InstanceID(fmt.Sprintf("%04d", i)), DataCentre: "a"}
	}
	t.Update(list, nil, now)
	return func() {
		if i, err := t.Choose(nil, true, now); err == nil {
			t.RecordResult(i.ID, retry.ResultAnswered, time.Millisecond, now)
		}
	}
}

func admitDecision(n int) func() {
	now := time.Unix(0, 0)
	q := admission.NewQueue(admission.Config{Classes: map[inventory.ClassID]configuration.Class{"c": {Weight: 1}}, Order: admission.EarliestDeadlineFirst})
	g := admission.NewController()
	waiting := min(n*waitingPerServer, admission.MaxWaiting-1)
	for i := range waiting {
		deadline := now.Add(time.Duration(i) * time.Hour)
		q.Push(admission.Request{ID: admission.RequestID(i), Class: "c", Tenant: "t", Arrived: now, Deadline: deadline}, 1, deadline)
	}
	r := admission.Request{Class: "c", Tenant: "t", Arrived: now, Deadline: now.Add(time.Hour)}
	return func() {
		if g.Check(q, r, n, now).Reason != "" {
			return
		}
		q.Push(r, 1, r.Deadline)
		_, _ = q.Pop()
	}
}
