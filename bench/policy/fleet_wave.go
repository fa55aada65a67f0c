package policy

import (
	"math/rand/v2"
	"time"

	"github.com/godwitcross/godwitcross/bench/measure"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/pool"
	"github.com/godwitcross/godwitcross/fleet/wave"
)

// The target size and daily rates, from the requirements.
const (
	targetHosts     = 8_600
	targetPools     = 111
	failuresPerDay  = 95
	restartsPerDay  = 520
	maintenanceDays = 28
)

var targetShape = fleetShape{
	hosts: targetHosts, pools: targetPools, window: 6 * time.Hour,
	budget: configuration.Budget{MaxUnavailable: 100_000, MaxPerRack: 2, MaxPerDataCentre: 300_000},
}

// baselineShape is a quarter of the target size, with pools of the same size.
var baselineShape = fleetShape{
	hosts: targetHosts / 4, pools: targetPools / 4, window: targetShape.window, budget: targetShape.budget,
}

// waveResult is the outcome of the waves of both owners.
type waveResult struct {
	// ratio is the roll-out time divided by its lower bound, the larger of both waves.
	ratio   float64
	rollOut time.Duration
	// notMaintained counts hosts that were not rebooted within the period.
	notMaintained   int
	repeatedReboots int
	overruns        int
	// progress, longestWave and lowerBound are for the chart.
	progress    waveTrace
	longestWave inventory.WaveID
	lowerBound  time.Duration
}

var waves = measure.Measurement{
	Name: "wave", Usage: "4 weeks of maintenance at the target size, against a baseline in rounds", Run: measureWave,
}

// measureWave runs the waves of 4 weeks, and their first pass under the baseline.
func measureWave(o measure.Options) ([]measure.Figure, error) {
	product, err := runWaves(targetShape, o.Seed, maintenanceDays, nil)
	if err != nil {
		return nil, err
	}
	o.Plot(product.waveChart())
	o.Progress("baseline in rounds")
	rounds, err := runWaves(baselineShape, o.Seed, 1, filterInRounds)
	if err != nil {
		return nil, err
	}
	f := func(name string, v float64, u measure.Unit) measure.Figure {
		return measure.Figure{Name: "wave." + name, Value: v, Unit: u, Deterministic: true}
	}
	return []measure.Figure{
		f("rollOutToLowerBound", product.ratio, measure.Ratio),
		f("rollOutToLowerBoundInRounds", rounds.ratio, measure.Ratio),
		f("rollOut", product.rollOut.Seconds()*1000, measure.Milliseconds),
		f("hostsNotMaintainedIn4Weeks", float64(product.notMaintained), measure.Count),
		f("rebootsRepeated", float64(product.repeatedReboots), measure.Count),
		f("budgetOverruns", float64(product.overruns), measure.Count),
	}, nil
}

// filterInRounds lets a pool start a batch of hosts only after all hosts of the last
// batch are back.
func filterInRounds(v *pool.View, g pool.Grant) pool.Grant {
	busy := make(map[inventory.PoolID]bool)
	for id := range v.Active {
		busy[v.Hosts[id].Pool] = true
	}
	return filterRequests(g, func(q pool.Request) bool { return !busy[v.Hosts[q.Host].Pool] })
}

func filterRequests(g pool.Grant, keep func(q pool.Request) bool) pool.Grant {
	var out pool.Grant
	for _, q := range g.Requests {
		if keep(q) {
			out.Requests = append(out.Requests, q)
		}
	}
	return out
}

// runWaves runs the given number of virtual days. Outside the maintenance windows it
// applies only changes of host health.
func runWaves(shape fleetShape, seed uint64, days int, filterGrant func(*pool.View, pool.Grant) pool.Grant) (waveResult, error) {
	sim, err := newFleetSimulation(shape, seed)
	if err != nil {
		return waveResult{}, err
	}
	sim.filterGrant = filterGrant
	begin := sim.now
	outages := generateOutages(rand.New(rand.NewPCG(seed, 3)), begin, days, shape.hosts, failuresPerDay*shape.hosts/targetHosts, restartsPerDay*shape.hosts/targetHosts)
	changes := availabilityChanges(outages)
	result := waveResult{progress: make(waveTrace)}
	measured := make(map[inventory.WaveID]bool)
	for sim.now.Before(begin.Add(time.Duration(days) * 24 * time.Hour)) {
		for len(changes) > 0 && !changes[0].at.After(sim.now) {
			sim.setDown(changes[0].host, changes[0].down)
			changes = changes[1:]
		}
		if sim.hostList.At.Add(5 * time.Second).Before(sim.now) {
			sim.refreshHostList()
		}
		if err := sim.tick(); err != nil {
			return result, err
		}
		v := sim.reducer.View()
		for id, p := range v.Waves {
			if !p.Started.IsZero() && !measured[id] {
				result.progress.add(id, sim.now.Sub(p.Started), len(p.Rebooted))
			}
			if p.Finished.IsZero() || measured[id] {
				continue
			}
			measured[id] = true
			took := p.Finished.Sub(p.Started)
			bound := lowerBound(sim, v, p.Rebooted, p.Started, outages)
			result.ratio = max(result.ratio, took.Seconds()/bound.Seconds())
			if took > result.rollOut {
				result.rollOut, result.longestWave, result.lowerBound = took, id, bound
			}
		}
		sim.now = sim.now.Add(fleetTick)
		if sim.isIdle(v) {
			if changes, err = sim.skipIdleTime(changes); err != nil {
				return result, err
			}
		}
	}
	for id, h := range sim.hosts {
		if len(h.rebootCounts) == 0 && !sim.reducer.View().Hosts[id].Failed {
			result.notMaintained++
		}
		for _, n := range h.rebootCounts {
			result.repeatedReboots += n - 1
		}
	}
	result.overruns = sim.overruns
	return result, sim.verify()
}

// setDown makes a host fail, or brings it back in the admitted state.
func (sim *fleetSimulation) setDown(id inventory.HostID, down bool) {
	h := sim.hosts[id]
	h.down, sim.hostListStale = down, true
	if down {
		h.state = pool.PlatformAdmitted
	}
}

// isIdle reports whether no host is being drained or rebooted and no wave is in
// progress.
func (sim *fleetSimulation) isIdle(v *pool.View) bool {
	if len(v.Active) > 0 {
		return false
	}
	for id := range sim.cfg.Waves {
		s := pool.NewWaveStatus(sim.now, sim.cfg, v, id)
		if s.State != pool.WaveWaiting && (s.State != pool.WaveDone || s.Finished.IsZero()) {
			return false
		}
	}
	return true
}

// skipIdleTime advances to the start of the next maintenance window, or to the return
// of a host that a wave still has to reboot. It applies health changes without a tick.
func (sim *fleetSimulation) skipIdleTime(changes []availabilityChange) ([]availabilityChange, error) {
	window := wave.NewWindow(sim.cfg.Waves[inventory.WaveID(poolOwner(0))])
	end := sim.now.Truncate(24 * time.Hour).Add(window.Start)
	if !end.After(sim.now) {
		end = end.Add(24 * time.Hour)
	}
	for len(changes) > 0 && changes[0].at.Before(end) {
		c := changes[0]
		changes = changes[1:]
		sim.now = c.at
		sim.setDown(c.host, c.down)
		b := pool.Health{Returned: []inventory.HostID{c.host}}
		if c.down {
			b = pool.Health{Failed: []inventory.HostID{c.host}}
		}
		if err := sim.record(pool.Decision{Kind: pool.KindHealth, Body: b}); err != nil {
			return changes, err
		}
		if _, open := window.Open(sim.now); open && !c.down && len(sim.hosts[c.host].rebootCounts) == 0 {
			sim.refreshHostList()
			return changes, nil
		}
	}
	sim.now = end
	sim.refreshHostList()
	return changes, nil
}
