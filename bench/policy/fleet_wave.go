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

// The size of the letter.
const (
	letterHosts    = 8_600
	letterPools    = 111
	letterFailures = 95
	letterRestarts = 520
	letterDays     = 28
)

var letterShape = fleetShape{
	hosts: letterHosts, pools: letterPools, window: 6 * time.Hour,
	budget: configuration.Budget{MaxUnavailable: 100_000, MaxPerRack: 2, MaxPerDataCentre: 300_000},
}

// baselineShape is a quarter of the letter's size, with pools as large.
var baselineShape = fleetShape{
	hosts: letterHosts / 4, pools: letterPools / 4, window: letterShape.window, budget: letterShape.budget,
}

// waveResult is what a run of both owners' waves showed.
type waveResult struct {
	// ratio is the roll-out time against the lower bound, the worse of both waves.
	ratio   float64
	rollOut time.Duration
	// late counts hosts that were not rebooted within the period.
	late     int
	repeated int
	overruns int
	// progress, longest and lowerBound are for the chart.
	progress   waveTrace
	longest    inventory.WaveID
	lowerBound time.Duration
}

var waves = measure.Measurement{
	Name: "wave", Usage: "4 weeks of maintenance at the letter's size, against a baseline in rounds", Run: measureWave,
}

// measureWave runs the waves of 4 weeks, and their first pass under a baseline.
func measureWave(o measure.Options) ([]measure.Figure, error) {
	ours, err := runWaves(letterShape, o.Seed, letterDays, nil)
	if err != nil {
		return nil, err
	}
	o.Plot(ours.waveChart())
	o.Progress("rounds as a baseline")
	rounds, err := runWaves(baselineShape, o.Seed, 1, permitRounds)
	if err != nil {
		return nil, err
	}
	f := func(name string, v float64, u measure.Unit) measure.Figure {
		return measure.Figure{Name: "wave." + name, Value: v, Unit: u, Deterministic: true}
	}
	return []measure.Figure{
		f("rollOutToLowerBound", ours.ratio, measure.Ratio),
		f("rollOutToLowerBoundInRounds", rounds.ratio, measure.Ratio),
		f("rollOut", ours.rollOut.Seconds()*1000, measure.Milliseconds),
		f("hostsNotMaintainedIn4Weeks", float64(ours.late), measure.Count),
		f("rebootsRepeated", float64(ours.repeated), measure.Count),
		f("budgetOverruns", float64(ours.overruns), measure.Count),
	}, nil
}

// permitRounds lets a pool start hosts only once all of its last ones are back.
func permitRounds(v *pool.View, g pool.Grant) pool.Grant {
	busy := make(map[inventory.PoolID]bool)
	for id := range v.Active {
		busy[v.Hosts[id].Pool] = true
	}
	return keepRequests(g, func(q pool.Request) bool { return !busy[v.Hosts[q.Host].Pool] })
}

func keepRequests(g pool.Grant, keep func(q pool.Request) bool) pool.Grant {
	var out pool.Grant
	for _, q := range g.Requests {
		if keep(q) {
			out.Requests = append(out.Requests, q)
		}
	}
	return out
}

// runWaves runs virtual days. Between the windows only the hosts' health moves on.
func runWaves(shape fleetShape, seed uint64, days int, permit func(*pool.View, pool.Grant) pool.Grant) (waveResult, error) {
	w, err := newFleetWorld(shape, seed)
	if err != nil {
		return waveResult{}, err
	}
	w.permit = permit
	begin := w.now
	outages := outagesOf(rand.New(rand.NewPCG(seed, 3)), begin, days, shape.hosts, letterFailures*shape.hosts/letterHosts, letterRestarts*shape.hosts/letterHosts)
	changes := changesOf(outages)
	result := waveResult{progress: make(waveTrace)}
	measured := make(map[inventory.WaveID]bool)
	for w.now.Before(begin.Add(time.Duration(days) * 24 * time.Hour)) {
		for len(changes) > 0 && !changes[0].at.After(w.now) {
			w.setDown(changes[0].host, changes[0].down)
			changes = changes[1:]
		}
		if w.list.At.Add(5 * time.Second).Before(w.now) {
			w.relist()
		}
		if err := w.tick(); err != nil {
			return result, err
		}
		v := w.reducer.View()
		for id, p := range v.Waves {
			if !p.Started.IsZero() && !measured[id] {
				result.progress.add(id, w.now.Sub(p.Started), len(p.Rebooted))
			}
			if p.Finished.IsZero() || measured[id] {
				continue
			}
			measured[id] = true
			took := p.Finished.Sub(p.Started)
			bound := lowerBound(w, v, p.Rebooted, p.Started, outages)
			result.ratio = max(result.ratio, took.Seconds()/bound.Seconds())
			if took > result.rollOut {
				result.rollOut, result.longest, result.lowerBound = took, id, bound
			}
		}
		w.now = w.now.Add(fleetTick)
		if w.isQuiet(v) {
			if changes, err = w.skip(changes); err != nil {
				return result, err
			}
		}
	}
	for id, h := range w.hosts {
		if len(h.begun) == 0 && !w.reducer.View().Hosts[id].Failed {
			result.late++
		}
		for _, n := range h.begun {
			result.repeated += n - 1
		}
	}
	result.overruns = w.overruns
	return result, w.verify()
}

// setDown makes a host fail, or brings it back as it was admitted last.
func (w *fleetWorld) setDown(id inventory.HostID, down bool) {
	h := w.hosts[id]
	h.down, w.relistDue = down, true
	if down {
		h.state = pool.PlatformAdmitted
	}
}

// isQuiet reports whether nothing is disturbed and no host waits for a wave.
func (w *fleetWorld) isQuiet(v *pool.View) bool {
	if len(v.Active) > 0 {
		return false
	}
	for id := range w.cfg.Waves {
		s := pool.NewWaveStatus(w.now, w.cfg, v, id)
		if s.State != pool.WaveWaiting && (s.State != pool.WaveDone || s.Finished.IsZero()) {
			return false
		}
	}
	return true
}

// skip goes on to the next start of the windows, or to the return of a host that
// a wave has still to reboot. Health goes into the fold without a tick.
func (w *fleetWorld) skip(changes []change) ([]change, error) {
	window := wave.NewWindow(w.cfg.Waves[inventory.WaveID(fleetOwner(0))])
	end := w.now.Truncate(24 * time.Hour).Add(window.Start)
	if !end.After(w.now) {
		end = end.Add(24 * time.Hour)
	}
	for len(changes) > 0 && changes[0].at.Before(end) {
		c := changes[0]
		changes = changes[1:]
		w.now = c.at
		w.setDown(c.host, c.down)
		b := pool.Health{Returned: []inventory.HostID{c.host}}
		if c.down {
			b = pool.Health{Failed: []inventory.HostID{c.host}}
		}
		if err := w.record(pool.Decision{Kind: pool.KindHealth, Body: b}); err != nil {
			return changes, err
		}
		if _, open := window.Open(w.now); open && !c.down && len(w.hosts[c.host].begun) == 0 {
			w.relist()
			return changes, nil
		}
	}
	w.now = end
	w.relist()
	return changes, nil
}
