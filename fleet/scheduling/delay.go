package scheduling

import (
	"cmp"
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/fleet/overload"
	"github.com/godwitcross/godwitcross/fleet/queue"
	"github.com/godwitcross/godwitcross/fleet/shedding"
)

const (
	// delayInterval is the shortest time between two computations of a pool's delays: heartbeats carry them twice
	// a second.
	delayInterval = 200 * time.Millisecond
	// maxDelayAge is how long a delay is published after its computation. A pool that is still overloaded has a newer
	// one by then.
	maxDelayAge = 500 * time.Millisecond
	// delayProbes bounds the jobs of a queue by which its delay is found.
	delayProbes = 16
	// placingFor is how long a leader has placed tasks before it publishes delays. Before that it may not know
	// all workers and runs.
	placingFor = time.Second
)

// queueDelay is the delay of a queue, as of a time.
type queueDelay struct {
	shedding.Delay
	at time.Time
}

// Delays returns the delays of overloaded queues. It has none until the leader has placed tasks for a second.
func (s *Scheduler) Delays(now time.Time) map[string]shedding.Delay {
	p := &s.pressure
	if p.placingSince.IsZero() || now.Sub(p.placingSince) < placingFor || !s.isUnderPressure() {
		return nil
	}
	var out map[string]shedding.Delay
	for name, d := range p.delays {
		age := now.Sub(d.at)
		if age > maxDelayAge {
			delete(p.delays, name)
			continue
		}
		if out == nil {
			out = make(map[string]shedding.Delay)
		}
		out[name] = d.Aged(age)
	}
	return out
}

// probe is what would be expected of a job like one that waits, if it were sent now.
type probe struct {
	estimate shedding.Estimate
	cost     float64
}

// updateDelays finds the delays of the pool's queues by its last plan. A queue that has no hopeless work has none.
func (s *Scheduler) updateDelays(now time.Time, poolName string, pool overload.Pool, unit poolUnit) {
	p := &s.pressure
	if now.Sub(p.delaysAt[poolName]) < delayInterval {
		return
	}
	p.delaysAt[poolName] = now
	probes := make(map[string][]probe)
	queues := make(map[string]queue.Queue)
	spread := p.planner.Spread()
	for _, w := range p.work {
		o := w.Key
		q, ok := s.queueOf(o.job)
		if !ok || o.job.Times != 0 {
			continue
		}
		e := shedding.NewEstimate(o.job.Steps, s.taskDurations[q.Name].Estimate(0))
		queues[q.Name] = q
		probes[q.Name] = append(probes[q.Name], probe{e, e.Cost(unit.resource, w.Draw, spread)})
	}
	backlogs := make(map[int]overload.Backlog)
	for name, q := range queues {
		b, ok := backlogs[q.Priority]
		if !ok {
			b = p.planner.Backlog(pool, q.Priority)
			backlogs[q.Priority] = b
		}
		delete(p.delays, name)
		all := probes[name]
		slices.SortFunc(all, func(a, b probe) int { return cmp.Compare(a.cost, b.cost) })
		// The delay must hold for all that costs more: of jobs with longer tasks, the objective is longer too.
		for i := min(len(all), delayProbes) - 1; i >= 0; i-- {
			k := all[i*len(all)/min(len(all), delayProbes)]
			latest := time.Duration(lateFactor*float64(k.estimate.Objective(q))) - k.estimate.Path
			d := shedding.Delay{
				After: b.End(k.cost/unit.capacity, seconds(k.estimate.Work[unit.resource]/unit.capacity), latest),
				Cost:  k.cost, Spread: spread, Resource: unit.resource, Mean: s.taskDurations[q.Name].Estimate(0),
			}
			if !shedding.DefaultConfig.IsHopeless(d, q, k.estimate, 0) {
				break
			}
			p.delays[name] = queueDelay{d, now}
		}
	}
}
