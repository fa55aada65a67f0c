package policy

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/godwitcross/godwitcross/bench/measure"
	"github.com/godwitcross/godwitcross/fleet/budget"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/label"
)

// movesShape is a tenth of the target size, with pools of the same size.
var movesShape = fleetShape{hosts: targetHosts / 10, pools: targetPools / 10, window: time.Hour, budget: targetShape.budget}

const (
	// permanentChanges hosts are assigned to another pool permanently, flappingChanges
	// only for a few seconds.
	permanentChanges = 300
	flappingChanges  = 150
	maxFlapSeconds   = 15
	movesTick        = 250 * time.Millisecond
	reevaluationRuns = 20
)

var moves = measure.Measurement{
	Name: "moves", Usage: "host moves after label changes, some of which are reverted, and the cost of one change", Run: measureMoves,
}

// labelChange assigns a host to another pool by its label.
type labelChange struct {
	at   time.Duration
	host int
	pool int
}

// generateLabelChanges draws changes between pools of the same owner.
func generateLabelChanges(r *rand.Rand) []labelChange {
	siblings := [2][]int{}
	for i := range movesShape.pools {
		siblings[i%2] = append(siblings[i%2], i)
	}
	hosts := r.Perm(movesShape.hosts)[:permanentChanges+flappingChanges]
	var out []labelChange
	for i, h := range hosts {
		current := h % movesShape.pools
		to := siblings[current%2][r.IntN(len(siblings[current%2]))]
		if to == current {
			to = siblings[current%2][(current/2+1)%len(siblings[current%2])]
		}
		out = append(out, labelChange{0, h, to})
		if i >= permanentChanges {
			out = append(out, labelChange{time.Duration(1+r.IntN(maxFlapSeconds)) * time.Second, h, current})
		}
	}
	return out
}

func measureMoves(o measure.Options) ([]measure.Figure, error) {
	sim, err := newFleetSimulation(movesShape, o.Seed)
	if err != nil {
		return nil, err
	}
	if err := sim.pauseWaves(); err != nil {
		return nil, err
	}
	changes := generateLabelChanges(rand.New(rand.NewPCG(o.Seed, 9)))
	begin, settled := sim.now, time.Duration(0)
	bound := movesLowerBound(sim, changes)
	for elapsed := time.Duration(0); elapsed < time.Hour; elapsed += movesTick {
		sim.now = begin.Add(elapsed)
		sim.refreshHostList()
		if err := sim.publishLabelChanges(changes, elapsed); err != nil {
			return nil, err
		}
		if err := sim.tick(); err != nil {
			return nil, err
		}
		if elapsed > maxFlapSeconds*time.Second && len(sim.reducer.View().Active) == 0 {
			settled = elapsed
			break
		}
	}
	if err := sim.verify(); err != nil {
		return nil, err
	}
	cost, err := reevaluationCost(o.Seed)
	if err != nil {
		return nil, err
	}
	f := func(name string, v float64, u measure.Unit) measure.Figure {
		return measure.Figure{Name: "moves." + name, Value: v, Unit: u, Deterministic: true}
	}
	return []measure.Figure{
		f("toFewest", float64(sim.transfers)/permanentChanges, measure.Ratio),
		f("toFewestFollowingEachChange", float64(len(changes))/permanentChanges, measure.Ratio),
		f("rollOutToLowerBound", settled.Seconds()/bound.Seconds(), measure.Ratio),
		f("budgetOverruns", float64(sim.overruns), measure.Count),
		{Name: "moves.reevaluation", Value: float64(cost.Microseconds()) / 1000, Unit: measure.Milliseconds},
	}, nil
}

func (sim *fleetSimulation) pauseWaves() error {
	o := configuration.Objects{Waves: map[inventory.WaveID]configuration.Wave{}}
	for id, v := range sim.cfg.Waves {
		v.Paused = true
		o.Waves[id] = v
	}
	return sim.publish(o)
}

// publishLabelChanges publishes the changes that are due at this tick.
func (sim *fleetSimulation) publishLabelChanges(changes []labelChange, elapsed time.Duration) error {
	o := configuration.Objects{Hosts: map[inventory.HostID]configuration.Host{}}
	for _, c := range changes {
		if c.at != elapsed {
			continue
		}
		id := inventory.HostID(fmt.Sprintf("host-%04d", c.host))
		h := sim.cfg.Hosts[id]
		h.Labels = label.Set{"Pool": fmt.Sprintf("%03d", c.pool)}
		o.Hosts[id] = h
	}
	if len(o.Hosts) == 0 {
		return nil
	}
	return sim.publish(o)
}

// movesLowerBound returns the shortest time in which the budgets of the source pools
// allow the drains.
func movesLowerBound(sim *fleetSimulation, changes []labelChange) time.Duration {
	v := sim.reducer.View()
	work := make(map[budget.Domain]time.Duration)
	bound := time.Duration(0)
	for _, c := range changes[:permanentChanges] {
		id := inventory.HostID(fmt.Sprintf("host-%04d", c.host))
		drain := sim.hosts[id].drain
		bound = max(bound, drain)
		for _, d := range v.Hosts[id].Place().Domains() {
			work[d] += drain
		}
	}
	for d, need := range work {
		bound = max(bound, need/time.Duration(v.Limit(d)))
	}
	return bound
}

// reevaluationCost returns the shortest of several times to apply one changed selector
// at the target size: validation, ownership and a new read view.
func reevaluationCost(seed uint64) (time.Duration, error) {
	sim, err := newFleetSimulation(targetShape, seed)
	if err != nil {
		return 0, err
	}
	shortest := time.Hour
	for i := range reevaluationRuns {
		s, err := label.Parse(fmt.Sprintf("Pool in (%03d,x%d)", 7, i))
		if err != nil {
			return 0, err
		}
		p := sim.cfg.Pools[poolID(7)]
		p.Hosts = s
		began := time.Now()
		if err := sim.publish(configuration.Objects{Pools: map[inventory.PoolID]configuration.Pool{poolID(7): p}}); err != nil {
			return 0, err
		}
		sim.reducer.View()
		shortest = min(shortest, time.Since(began))
	}
	return shortest, nil
}
