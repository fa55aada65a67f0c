package policy

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/label"
	"github.com/godwitcross/godwitcross/fleet/pool"
	"github.com/godwitcross/godwitcross/fleet/wave"
)

// Intervals of the simulation.
const (
	// fleetTick is the time between two ticks of the pool duty; it ticks more often in
	// production.
	fleetTick = 2 * time.Second
	// platformPollInterval and platformPollIntervalPerHost limit the rate of platform
	// queries as in production.
	platformPollInterval        = 250 * time.Millisecond
	platformPollIntervalPerHost = 10 * time.Millisecond
)

// simulatedHost is a host in virtual time.
type simulatedHost struct {
	down       bool
	state      pool.PlatformState
	stateUntil time.Time
	reboot     wave.RebootID
	// rebootCounts counts the reboots by reboot ID.
	rebootCounts map[wave.RebootID]int
	// drain and restart are the durations on this host.
	drain, restart time.Duration
}

// advance completes a drain or a reboot whose time has passed.
func (h *simulatedHost) advance(now time.Time) {
	if now.Before(h.stateUntil) {
		return
	}
	if h.state == pool.PlatformDraining || h.state == pool.PlatformRebooting {
		h.state = pool.PlatformDrained
	}
}

func (h *simulatedHost) execute(c pool.Command, now time.Time) {
	h.advance(now)
	switch {
	case c.Verb == pool.Drain && h.state == pool.PlatformAdmitted:
		h.state, h.stateUntil = pool.PlatformDraining, now.Add(h.drain)
	case c.Verb == pool.RestartHost && h.state == pool.PlatformDrained && c.Reboot != h.reboot:
		h.state, h.stateUntil, h.reboot = pool.PlatformRebooting, now.Add(h.restart), c.Reboot
		h.rebootCounts[c.Reboot]++
	case c.Verb == pool.AdmitToSlots && h.state != pool.PlatformRebooting:
		h.state = pool.PlatformAdmitted
	}
}

// fleetSimulation runs the production reducer and planner against simulated hosts.
type fleetSimulation struct {
	now     time.Time
	offset  journal.Offset
	cfg     configuration.Configuration
	reducer *pool.Reducer
	planner *pool.Planner
	hosts   map[inventory.HostID]*simulatedHost
	// commanded contains the hosts that received a command and may be in a state other
	// than admitted.
	commanded     map[inventory.HostID]bool
	platformCache *pool.PlatformCache
	// lastPoll is the time of the last platform query, drained the number of hosts in
	// its response.
	lastPoll time.Time
	drained  int
	hostList inventory.HostList
	// hostListStale is set after a host failed or returned.
	hostListStale bool
	// filterGrant may drop requests from grants; it implements the baselines.
	filterGrant func(v *pool.View, g pool.Grant) pool.Grant
	// overruns counts views in which more hosts were unavailable than a limit allows.
	overruns  int
	transfers int
}

// Transferred counts transfers between pools.
func (sim *fleetSimulation) Transferred(t pool.Transfer) {
	if t.From != "" && t.From != t.To {
		sim.transfers++
	}
}

// fleetShape is the size of a simulated fleet, its budgets and its maintenance window.
type fleetShape struct {
	hosts, pools int
	budget       configuration.Budget
	window       time.Duration
}

// poolOwner returns the owner of the i-th pool.
func poolOwner(i int) inventory.OwnerID {
	return []inventory.OwnerID{"Corchos", "Campanella"}[i%2]
}

func poolID(i int) inventory.PoolID {
	return inventory.PoolID(fmt.Sprintf("Pool-%03d", i))
}

// objects returns the configuration, in which pools 0 and 1 are the spare pools.
func (s fleetShape) objects() (configuration.Objects, error) {
	o := configuration.Objects{
		Owners:      map[inventory.OwnerID]configuration.Owner{poolOwner(0): {SparePool: poolID(0)}, poolOwner(1): {SparePool: poolID(1)}},
		DataCentres: map[inventory.DataCentreID]configuration.DataCentre{},
		Hosts:       map[inventory.HostID]configuration.Host{},
		Pools:       map[inventory.PoolID]configuration.Pool{},
		Waves:       map[inventory.WaveID]configuration.Wave{},
	}
	const dataCentres, perRack = 8, 4
	for i := range dataCentres {
		o.DataCentres[inventory.DataCentreID(fmt.Sprintf("DC-%d", i))] = configuration.DataCentre{Region: inventory.RegionID(fmt.Sprintf("R-%d", i/2))}
	}
	for i := range s.pools {
		sel, err := label.Parse(fmt.Sprintf("Pool=%03d", i))
		if err != nil {
			return o, err
		}
		o.Pools[poolID(i)] = configuration.Pool{Owner: poolOwner(i), Hosts: sel, Budget: s.budget}
		id := inventory.WaveID(poolOwner(i))
		w := o.Waves[id]
		w.Owner, w.Start, w.Window = poolOwner(i), configuration.Duration(22*time.Hour), configuration.Duration(s.window)
		w.Pools = append(w.Pools, poolID(i))
		o.Waves[id] = w
	}
	for i := range s.hosts {
		p, n := i%s.pools, i/s.pools
		o.Hosts[inventory.HostID(fmt.Sprintf("host-%04d", i))] = configuration.Host{
			Owner: poolOwner(p), DataCentre: inventory.DataCentreID(fmt.Sprintf("DC-%d", n%dataCentres)),
			Rack:   inventory.RackID(fmt.Sprintf("rack-%03d-%d", p, n/dataCentres/perRack)),
			Labels: label.Set{"Pool": fmt.Sprintf("%03d", p)},
		}
	}
	return o, nil
}

func newFleetSimulation(s fleetShape, seed uint64) (*fleetSimulation, error) {
	sim := &fleetSimulation{
		now: time.Date(2026, 3, 2, 21, 59, 0, 0, time.UTC), planner: pool.NewPlanner(), platformCache: pool.NewPlatformCache(),
		hosts: make(map[inventory.HostID]*simulatedHost), commanded: make(map[inventory.HostID]bool),
	}
	sim.reducer = pool.NewReducer(sim)
	o, err := s.objects()
	if err != nil {
		return nil, err
	}
	if err := sim.publish(o); err != nil {
		return nil, err
	}
	r := rand.New(rand.NewPCG(seed, 17))
	for i := range s.hosts {
		id := inventory.HostID(fmt.Sprintf("host-%04d", i))
		sim.hosts[id] = &simulatedHost{
			state: pool.PlatformAdmitted, rebootCounts: make(map[wave.RebootID]int),
			drain:   20*time.Second + time.Duration(r.IntN(100))*time.Second,
			restart: 3*time.Minute + time.Duration(r.IntN(180))*time.Second,
		}
	}
	sim.hostListStale = true
	sim.refreshHostList()
	return sim, nil
}

// publish applies the objects and passes the configuration to the reducer.
func (sim *fleetSimulation) publish(o configuration.Objects) error {
	sim.offset++
	cfg, err := sim.cfg.Apply(configuration.Change{Base: sim.cfg.Version, Set: o}, configuration.Version(sim.offset))
	if err != nil {
		return err
	}
	sim.cfg = cfg
	sim.reducer.Configure(cfg, cfg.Touched(), journal.Entry{Offset: sim.offset, Record: journal.Record{At: sim.now}})
	return nil
}

// refreshHostList rebuilds the host list if a host failed or returned and otherwise
// updates only its time.
func (sim *fleetSimulation) refreshHostList() {
	sim.hostList.At = sim.now
	if !sim.hostListStale {
		return
	}
	sim.hostListStale = false
	sim.hostList = inventory.HostList{At: sim.now}
	for id, h := range sim.hosts {
		if !h.down {
			sim.hostList.Hosts = append(sim.hostList.Hosts, inventory.ListedHost{ID: id, Role: inventory.RoleWorker, State: inventory.HostLive})
		}
	}
}

// pollPlatform queries the platform for drained hosts.
func (sim *fleetSimulation) pollPlatform() {
	if sim.now.Sub(sim.lastPoll) < platformPollInterval+time.Duration(sim.drained)*platformPollIntervalPerHost {
		return
	}
	sim.lastPoll = sim.now
	var list []pool.PlatformHost
	for id := range sim.commanded {
		h := sim.hosts[id]
		if h.advance(sim.now); h.state == pool.PlatformAdmitted {
			delete(sim.commanded, id)
		}
		if h.state == pool.PlatformDrained {
			list = append(list, pool.PlatformHost{ID: id, State: h.state, Reboot: h.reboot})
		}
	}
	sim.drained = len(list)
	sim.platformCache.SetDrained(sim.now, list)
}

// tick runs one tick of the pool duty.
func (sim *fleetSimulation) tick() error {
	sim.pollPlatform()
	in := pool.Input{Now: sim.now, Configuration: sim.cfg, View: sim.reducer.View(), List: sim.hostList, Platform: sim.platformCache.Hosts()}
	for _, c := range sim.planner.Commands(in) {
		h := sim.hosts[c.Host]
		if h.down {
			continue
		}
		h.execute(c, sim.now)
		sim.commanded[c.Host] = true
		sim.platformCache.SetHost(sim.now, pool.PlatformHost{ID: c.Host, State: h.state, Reboot: h.reboot})
	}
	for _, d := range sim.planner.Decisions(in) {
		if g, ok := d.Body.(pool.Grant); ok && sim.filterGrant != nil {
			d.Body = sim.filterGrant(in.View, g)
		}
		if err := sim.record(d); err != nil {
			return err
		}
	}
	for _, b := range sim.reducer.View().Breaches {
		if b.Count.Unavailable()-b.Count.Failed > b.Limit || b.Count.Failed == 0 {
			sim.overruns++
		}
	}
	return nil
}

// record applies one decision. A rejected record is not an error.
func (sim *fleetSimulation) record(d pool.Decision) error {
	sim.offset++
	r, err := journal.NewRecord(journal.RecordID(fmt.Sprint(sim.offset)), d.Kind, sim.now, "bench", d.Body)
	if err != nil {
		return err
	}
	r.Duty = string(pool.DutyKeeper)
	_ = sim.reducer.Reduce(journal.Entry{Offset: sim.offset, Record: r})
	return nil
}

// verify returns an error if an invariant of the pools is violated.
func (sim *fleetSimulation) verify() error {
	return eris.Wrap(sim.reducer.Verify(sim.cfg), "verifying the pools after the run")
}
