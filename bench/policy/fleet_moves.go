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

// movesShape is a tenth of the letter's size, with pools as large.
var movesShape = fleetShape{hosts: letterHosts / 10, pools: letterPools / 10, window: time.Hour, budget: letterShape.budget}

const (
	// lastingChanges hosts are wanted elsewhere for good, and flappingChanges for
	// a few seconds only.
	lastingChanges  = 300
	flappingChanges = 150
	maxFlapSeconds  = 15
	movesTick       = 250 * time.Millisecond
	reevaluations   = 20
)

var moves = measure.Measurement{
	Name: "moves", Usage: "moves after changed labels, some of which change back, and the cost of one change", Run: measureMoves,
}

// relabelling is one change of a host's label.
type relabelling struct {
	at   time.Duration
	host int
	pool int
}

// relabellings draws changes between pools of one owner.
func relabellings(r *rand.Rand) []relabelling {
	siblings := [2][]int{}
	for i := range movesShape.pools {
		siblings[i%2] = append(siblings[i%2], i)
	}
	hosts := r.Perm(movesShape.hosts)[:lastingChanges+flappingChanges]
	var out []relabelling
	for i, h := range hosts {
		home := h % movesShape.pools
		to := siblings[home%2][r.IntN(len(siblings[home%2]))]
		if to == home {
			to = siblings[home%2][(home/2+1)%len(siblings[home%2])]
		}
		out = append(out, relabelling{0, h, to})
		if i >= lastingChanges {
			out = append(out, relabelling{time.Duration(1+r.IntN(maxFlapSeconds)) * time.Second, h, home})
		}
	}
	return out
}

func measureMoves(o measure.Options) ([]measure.Figure, error) {
	w, err := newFleetWorld(movesShape, o.Seed)
	if err != nil {
		return nil, err
	}
	if err := w.pauseWaves(); err != nil {
		return nil, err
	}
	changes := relabellings(rand.New(rand.NewPCG(o.Seed, 9)))
	begin, settled := w.now, time.Duration(0)
	bound := movesLowerBound(w, changes)
	for elapsed := time.Duration(0); elapsed < time.Hour; elapsed += movesTick {
		w.now = begin.Add(elapsed)
		w.relist()
		if err := w.relabel(changes, elapsed); err != nil {
			return nil, err
		}
		if err := w.tick(); err != nil {
			return nil, err
		}
		if elapsed > maxFlapSeconds*time.Second && len(w.reducer.View().Active) == 0 {
			settled = elapsed
			break
		}
	}
	if err := w.verify(); err != nil {
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
		f("toFewest", float64(w.transfers)/lastingChanges, measure.Ratio),
		f("toFewestFollowingEachChange", float64(len(changes))/lastingChanges, measure.Ratio),
		f("rollOutToLowerBound", settled.Seconds()/bound.Seconds(), measure.Ratio),
		f("budgetOverruns", float64(w.overruns), measure.Count),
		{Name: "moves.reevaluation", Value: float64(cost.Microseconds()) / 1000, Unit: measure.Milliseconds},
	}, nil
}

func (w *fleetWorld) pauseWaves() error {
	o := configuration.Objects{Waves: map[inventory.WaveID]configuration.Wave{}}
	for id, v := range w.cfg.Waves {
		v.Paused = true
		o.Waves[id] = v
	}
	return w.publish(o)
}

// relabel publishes the changes that are due at this very tick.
func (w *fleetWorld) relabel(changes []relabelling, elapsed time.Duration) error {
	o := configuration.Objects{Hosts: map[inventory.HostID]configuration.Host{}}
	for _, c := range changes {
		if c.at != elapsed {
			continue
		}
		id := inventory.HostID(fmt.Sprintf("host-%04d", c.host))
		h := w.cfg.Hosts[id]
		h.Labels = label.Set{"Pool": fmt.Sprintf("%03d", c.pool)}
		o.Hosts[id] = h
	}
	if len(o.Hosts) == 0 {
		return nil
	}
	return w.publish(o)
}

// movesLowerBound returns the least time in which the budgets of the pools that
// hosts leave allow their drains.
func movesLowerBound(w *fleetWorld, changes []relabelling) time.Duration {
	v := w.reducer.View()
	work := make(map[budget.Domain]time.Duration)
	most := time.Duration(0)
	for _, c := range changes[:lastingChanges] {
		id := inventory.HostID(fmt.Sprintf("host-%04d", c.host))
		drain := w.hosts[id].drain
		most = max(most, drain)
		for _, d := range v.Hosts[id].Place().Domains() {
			work[d] += drain
		}
	}
	for d, need := range work {
		most = max(most, need/time.Duration(v.Limit(d)))
	}
	return most
}

// reevaluationCost returns the least of several times that one changed selector
// takes at the letter's size: validation, ownership, and the view for readers.
func reevaluationCost(seed uint64) (time.Duration, error) {
	w, err := newFleetWorld(letterShape, seed)
	if err != nil {
		return 0, err
	}
	least := time.Hour
	for i := range reevaluations {
		s, err := label.Parse(fmt.Sprintf("Pool in (%03d,x%d)", 7, i))
		if err != nil {
			return 0, err
		}
		p := w.cfg.Pools[fleetPoolID(7)]
		p.Hosts = s
		began := time.Now()
		if err := w.publish(configuration.Objects{Pools: map[inventory.PoolID]configuration.Pool{fleetPoolID(7): p}}); err != nil {
			return 0, err
		}
		w.reducer.View()
		least = min(least, time.Since(began))
	}
	return least, nil
}
