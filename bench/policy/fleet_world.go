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

// Times of the fleet's world.
const (
	// fleetTick is the time between two ticks of the keeper; the real one ticks
	// more often.
	fleetTick = 2 * time.Second
	// fleetAskEvery and fleetAskEveryHost pace the questions to the platform as
	// the real keeper does.
	fleetAskEvery     = 250 * time.Millisecond
	fleetAskEveryHost = 10 * time.Millisecond
)

// fleetHost is a machine in virtual time.
type fleetHost struct {
	down   bool
	state  pool.PlatformState
	until  time.Time
	reboot wave.RebootID
	// begun counts the reboots of each identity.
	begun map[wave.RebootID]int
	// drain and restart are how long this machine takes.
	drain, restart time.Duration
}

// advance ends a drain or a reboot whose time is over.
func (h *fleetHost) advance(now time.Time) {
	if now.Before(h.until) {
		return
	}
	if h.state == pool.PlatformDraining || h.state == pool.PlatformRebooting {
		h.state = pool.PlatformDrained
	}
}

func (h *fleetHost) command(c pool.Command, now time.Time) {
	h.advance(now)
	switch {
	case c.Verb == pool.Drain && h.state == pool.PlatformAdmitted:
		h.state, h.until = pool.PlatformDraining, now.Add(h.drain)
	case c.Verb == pool.RestartHost && h.state == pool.PlatformDrained && c.Reboot != h.reboot:
		h.state, h.until, h.reboot = pool.PlatformRebooting, now.Add(h.restart), c.Reboot
		h.begun[c.Reboot]++
	case c.Verb == pool.AdmitToSlots && h.state != pool.PlatformRebooting:
		h.state = pool.PlatformAdmitted
	}
}

// fleetWorld drives the real reducer and planner against fake machines.
type fleetWorld struct {
	now     time.Time
	offset  journal.Offset
	cfg     configuration.Configuration
	reducer *pool.Reducer
	planner *pool.Planner
	hosts   map[inventory.HostID]*fleetHost
	// busy holds the hosts that were commanded and may not be admitted.
	busy map[inventory.HostID]bool
	told *pool.PlatformCache
	// asked is when the platform was last asked, and drained the number of hosts
	// in its answer.
	asked   time.Time
	drained int
	list    inventory.HostList
	// relistDue is set when a host went or came back.
	relistDue bool
	// permit may drop requests for grants; the baselines are made of it.
	permit func(v *pool.View, g pool.Grant) pool.Grant
	// overruns counts views in which more hosts were disturbed than a limit allows.
	overruns  int
	transfers int
}

// Transferred counts changes of pools.
func (w *fleetWorld) Transferred(t pool.Transfer) {
	if t.From != "" && t.From != t.To {
		w.transfers++
	}
}

// fleetShape says how large a world is.
type fleetShape struct {
	hosts, pools int
	budget       configuration.Budget
	window       time.Duration
}

// owner of a pool by its number.
func fleetOwner(i int) inventory.OwnerID {
	return []inventory.OwnerID{"Corchos", "Campanella"}[i%2]
}

func fleetPoolID(i int) inventory.PoolID {
	return inventory.PoolID(fmt.Sprintf("Pool-%03d", i))
}

// objects returns the configuration: pools 0 and 1 are the spare pools.
func (s fleetShape) objects() (configuration.Objects, error) {
	o := configuration.Objects{
		Owners:      map[inventory.OwnerID]configuration.Owner{fleetOwner(0): {SparePool: fleetPoolID(0)}, fleetOwner(1): {SparePool: fleetPoolID(1)}},
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
		o.Pools[fleetPoolID(i)] = configuration.Pool{Owner: fleetOwner(i), Hosts: sel, Budget: s.budget}
		id := inventory.WaveID(fleetOwner(i))
		w := o.Waves[id]
		w.Owner, w.Start, w.Window = fleetOwner(i), configuration.Duration(22*time.Hour), configuration.Duration(s.window)
		w.Pools = append(w.Pools, fleetPoolID(i))
		o.Waves[id] = w
	}
	for i := range s.hosts {
		p, n := i%s.pools, i/s.pools
		o.Hosts[inventory.HostID(fmt.Sprintf("host-%04d", i))] = configuration.Host{
			Owner: fleetOwner(p), DataCentre: inventory.DataCentreID(fmt.Sprintf("DC-%d", n%dataCentres)),
			Rack:   inventory.RackID(fmt.Sprintf("rack-%03d-%d", p, n/dataCentres/perRack)),
			Labels: label.Set{"Pool": fmt.Sprintf("%03d", p)},
		}
	}
	return o, nil
}

func newFleetWorld(s fleetShape, seed uint64) (*fleetWorld, error) {
	w := &fleetWorld{
		now: time.Date(2026, 3, 2, 21, 59, 0, 0, time.UTC), planner: pool.NewPlanner(), told: pool.NewPlatformCache(),
		hosts: make(map[inventory.HostID]*fleetHost), busy: make(map[inventory.HostID]bool),
	}
	w.reducer = pool.NewReducer(w)
	o, err := s.objects()
	if err != nil {
		return nil, err
	}
	if err := w.publish(o); err != nil {
		return nil, err
	}
	r := rand.New(rand.NewPCG(seed, 17))
	for i := range s.hosts {
		id := inventory.HostID(fmt.Sprintf("host-%04d", i))
		w.hosts[id] = &fleetHost{
			state: pool.PlatformAdmitted, begun: make(map[wave.RebootID]int),
			drain:   20*time.Second + time.Duration(r.IntN(100))*time.Second,
			restart: 3*time.Minute + time.Duration(r.IntN(180))*time.Second,
		}
	}
	w.relistDue = true
	w.relist()
	return w, nil
}

// publish applies objects and hands them to the pools.
func (w *fleetWorld) publish(o configuration.Objects) error {
	w.offset++
	cfg, err := w.cfg.Apply(configuration.Change{Base: w.cfg.Version, Set: o}, configuration.Version(w.offset))
	if err != nil {
		return err
	}
	w.cfg = cfg
	w.reducer.Configure(cfg, cfg.Touched(), journal.Entry{Offset: w.offset, Record: journal.Record{At: w.now}})
	return nil
}

// relist makes a new host list. The hosts on it are kept while none changed.
func (w *fleetWorld) relist() {
	w.list.At = w.now
	if !w.relistDue {
		return
	}
	w.relistDue = false
	w.list = inventory.HostList{At: w.now}
	for id, h := range w.hosts {
		if !h.down {
			w.list.Hosts = append(w.list.Hosts, inventory.ListedHost{ID: id, Role: inventory.RoleWorker, State: inventory.HostLive})
		}
	}
}

// ask asks the platform for its drained hosts.
func (w *fleetWorld) ask() {
	if w.now.Sub(w.asked) < fleetAskEvery+time.Duration(w.drained)*fleetAskEveryHost {
		return
	}
	w.asked = w.now
	var list []pool.PlatformHost
	for id := range w.busy {
		h := w.hosts[id]
		if h.advance(w.now); h.state == pool.PlatformAdmitted {
			delete(w.busy, id)
		}
		if h.state == pool.PlatformDrained {
			list = append(list, pool.PlatformHost{ID: id, State: h.state, Reboot: h.reboot})
		}
	}
	w.drained = len(list)
	w.told.SetDrained(w.now, list)
}

// tick is one tick of the keeper.
func (w *fleetWorld) tick() error {
	w.ask()
	in := pool.Input{Now: w.now, Configuration: w.cfg, View: w.reducer.View(), List: w.list, Platform: w.told.Hosts()}
	for _, c := range w.planner.Commands(in) {
		h := w.hosts[c.Host]
		if h.down {
			continue
		}
		h.command(c, w.now)
		w.busy[c.Host] = true
		w.told.SetHost(w.now, pool.PlatformHost{ID: c.Host, State: h.state, Reboot: h.reboot})
	}
	for _, d := range w.planner.Decisions(in) {
		if g, ok := d.Body.(pool.Grant); ok && w.permit != nil {
			d.Body = w.permit(in.View, g)
		}
		if err := w.record(d); err != nil {
			return err
		}
	}
	for _, b := range w.reducer.View().Breaches {
		if b.Count.Unavailable()-b.Count.Failed > b.Limit || b.Count.Failed == 0 {
			w.overruns++
		}
	}
	return nil
}

// record folds one decision. A rejected record is no error of the measurement.
func (w *fleetWorld) record(d pool.Decision) error {
	w.offset++
	r, err := journal.NewRecord(journal.RecordID(fmt.Sprint(w.offset)), d.Kind, w.now, "bench", d.Body)
	if err != nil {
		return err
	}
	r.Duty = string(pool.DutyKeeper)
	_ = w.reducer.Reduce(journal.Entry{Offset: w.offset, Record: r})
	return nil
}

// verify returns an error if an invariant of the pools is broken.
func (w *fleetWorld) verify() error {
	return eris.Wrap(w.reducer.Verify(w.cfg), "after the run")
}
