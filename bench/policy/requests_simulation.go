package policy

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/godwitcross/godwitcross/fleet/admission"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/dispatch"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/retry"
)

// Sizes and times of the simulation, from the requirements.
const (
	dataCentres       = 3
	entryHosts        = 9
	serviceCount      = 5
	serversPerService = 10
	slotsPerServer    = 8
	meanWork          = 40 * time.Millisecond
	localLatency      = 100 * time.Microsecond
	remoteLatency     = 500 * time.Microsecond
	burstFactor       = 5.0
	quietFactor       = 0.05
	burstDuration     = 3 * time.Second
	meanLoad          = 0.4
	cycles            = 2
	tickInterval      = 20 * time.Millisecond
	hostListDelay     = time.Second
	leavingGrace      = 2 * time.Second
	urgentShare       = 0.3
	// minDeadlineShare is the shortest deadline of a request as a share of its class's
	// deadline.
	minDeadlineShare = 0.25
	idempotentShare  = 0.8
)

// quietDuration is chosen so that the mean load over a cycle is meanLoad.
const quietDuration = burstDuration * 400 / 95

// cycle is the duration of one burst and the quiet time after it.
const cycle = burstDuration + quietDuration

// class is a request class.
type class = inventory.ClassID

const (
	classUrgent   class = "Urgent"
	classStandard class = "Standard"
)

var deadlines = map[class]time.Duration{classUrgent: 2 * time.Second, classStandard: 10 * time.Second}

// entryPolicy is the decision logic of an entry host.
type entryPolicy interface {
	Submit(r dispatch.Request, now time.Time)
	HandleResult(id admission.RequestID, r dispatch.AttemptResult, now time.Time)
	SetHosts(l inventory.HostList, now time.Time)
	Tick(now time.Time)
	TakeActions() []dispatch.Action
}

// hostConfig configures the policy of an entry host.
type hostConfig struct {
	name       inventory.EntryID
	dataCentre inventory.DataCentreID
	objects    configuration.Objects
	retries    retry.BudgetConfig
	random     *rand.Rand
	now        time.Time
}

// event is a callback at a point in virtual time.
type event struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }

func (e eventQueue) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}

func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }

func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// requestSimulation simulates entry hosts and backend servers in virtual time.
type requestSimulation struct {
	scenario scenario
	random   *rand.Rand
	now      time.Time
	began    time.Time
	queue    eventQueue
	seq      int
	hosts    []*fakeHost
	servers  map[inventory.InstanceID]*fakeServer
	// hostList is the platform's current host list.
	hostList    []inventory.ListedHost
	calls       map[admission.RequestID]*fakeCall
	lastRequest admission.RequestID
	stats       requestStats
	// partitioned is set while the data centres cannot reach each other.
	partitioned bool
}

// fakeHost is a simulated entry host.
type fakeHost struct {
	entryPolicy
	dataCentre inventory.DataCentreID
}

// fakeCall is a simulated request.
type fakeCall struct {
	dispatch.Request
	work       time.Duration
	attempts   int
	executions int
	firstSent  time.Time
	// arrivedInBurst is set if the request arrived during its service's burst.
	arrivedInBurst bool
}

func newRequestSimulation(c candidate, s scenario, seed uint64) *requestSimulation {
	sim := &requestSimulation{
		scenario: s, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(0, 0),
		servers: make(map[inventory.InstanceID]*fakeServer), calls: make(map[admission.RequestID]*fakeCall),
		stats: newRequestStats(),
	}
	sim.began = sim.now
	objects := sim.objects()
	for i := range entryHosts {
		dc := dataCentre(i)
		name := inventory.EntryID(fmt.Sprintf("entry-%d", i))
		sim.hostList = append(sim.hostList, inventory.ListedHost{ID: inventory.HostID(name), Role: inventory.RoleEntry, State: inventory.HostLive, DataCentre: dc})
		p := hostConfig{name: name, dataCentre: dc, objects: objects, retries: retry.DefaultBudget, random: rand.New(rand.NewPCG(seed, uint64(i)+2)), now: sim.now}
		sim.hosts = append(sim.hosts, &fakeHost{entryPolicy: c.newHost(p), dataCentre: dc})
	}
	for v := range serviceCount {
		for i := range serversPerService {
			sim.addServer(service(v), i)
		}
	}
	return sim
}

func service(v int) inventory.ServiceID {
	return inventory.ServiceID(fmt.Sprintf("service-%d", v))
}

func dataCentre(i int) inventory.DataCentreID {
	return inventory.DataCentreID(fmt.Sprintf("data-centre-%d", i%dataCentres))
}

func (sim *requestSimulation) objects() configuration.Objects {
	o := configuration.Objects{
		DataCentres: make(map[inventory.DataCentreID]configuration.DataCentre),
		Services:    make(map[inventory.ServiceID]configuration.Service),
		Tenants: map[inventory.TenantID]configuration.Tenant{
			"clerks": {MaxInFlight: configuration.MaxInFlight, Weight: 1},
			"plant":  {MaxInFlight: configuration.MaxInFlight, Weight: 1},
		},
	}
	for i := range dataCentres {
		o.DataCentres[dataCentre(i)] = configuration.DataCentre{Region: "region"}
	}
	for v := range serviceCount {
		o.Services[service(v)] = configuration.Service{
			Slots: slotsPerServer, Connections: configuration.DefaultConnections,
			Classes: map[class]configuration.Class{
				classUrgent:   {Weight: 4, Deadline: configuration.Duration(deadlines[classUrgent]), Urgent: true},
				classStandard: {Weight: 2, Deadline: configuration.Duration(deadlines[classStandard])},
			},
		}
	}
	return o
}

// after schedules a callback in virtual time.
func (sim *requestSimulation) after(d time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.queue, event{at: sim.now.Add(d), seq: sim.seq, run: do})
}

// run runs the scenario to its end.
func (sim *requestSimulation) run() {
	sim.publish()
	for i, h := range sim.hosts {
		sim.after(time.Duration(i)*tickInterval/entryHosts, func() { sim.tick(h) })
	}
	for v := range serviceCount {
		sim.after(sim.untilArrival(v), func() { sim.arrive(v) })
	}
	sim.scenario.injectFaults(sim)
	end := sim.began.Add(cycles*cycle + 2*deadlines[classStandard])
	for len(sim.queue) > 0 {
		e := heap.Pop(&sim.queue).(event)
		if e.at.After(end) {
			return
		}
		sim.now = e.at
		e.run()
	}
}

func (sim *requestSimulation) tick(h *fakeHost) {
	h.Tick(sim.now)
	sim.perform(h)
	sim.after(tickInterval, func() { sim.tick(h) })
}

// publish delivers the host list to all hosts after hostListDelay.
func (sim *requestSimulation) publish() {
	l := inventory.HostList{At: sim.now.Add(time.Nanosecond), Hosts: append([]inventory.ListedHost(nil), sim.hostList...)}
	delay := hostListDelay
	if sim.now.Equal(sim.began) {
		delay = 0
	}
	sim.after(delay, func() {
		for _, h := range sim.hosts {
			h.SetHosts(l, sim.now)
			sim.perform(h)
		}
	})
}

// phase returns the time since the start of the service's cycle; the bursts of the
// services are staggered.
func (sim *requestSimulation) phase(v int) time.Duration {
	return (sim.now.Sub(sim.began) + time.Duration(v)*cycle/serviceCount) % cycle
}

func (sim *requestSimulation) untilArrival(v int) time.Duration {
	factor := quietFactor
	if sim.phase(v) < burstDuration {
		factor = burstFactor
	}
	capacity := float64(serversPerService*slotsPerServer) / meanWork.Seconds()
	gap := sim.random.ExpFloat64() / (capacity * meanLoad * factor)
	return time.Duration(gap * float64(time.Second))
}

func (sim *requestSimulation) arrive(v int) {
	if sim.now.Sub(sim.began) >= cycles*cycle {
		return
	}
	sim.after(sim.untilArrival(v), func() { sim.arrive(v) })
	sim.lastRequest++
	r := admission.Request{ID: sim.lastRequest, Tenant: "plant", Class: classStandard, Arrived: sim.now}
	if sim.random.Float64() < urgentShare {
		r.Tenant, r.Class = "clerks", classUrgent
	}
	r.Deadline = sim.now.Add(time.Duration(float64(deadlines[r.Class]) * (minDeadlineShare + (1-minDeadlineShare)*sim.random.Float64())))
	c := &fakeCall{
		Request:        dispatch.Request{Request: r, Service: service(v), Idempotent: sim.random.Float64() < idempotentShare},
		work:           time.Duration(sim.random.ExpFloat64() * float64(meanWork)),
		arrivedInBurst: sim.phase(v) < burstDuration,
	}
	sim.calls[r.ID] = c
	sim.stats.classes[r.Class].arrived++
	h := sim.hosts[sim.random.IntN(len(sim.hosts))]
	h.Submit(c.Request, sim.now)
	sim.perform(h)
}

// perform executes the actions requested by the host's policy.
func (sim *requestSimulation) perform(h *fakeHost) {
	for _, a := range append([]dispatch.Action(nil), h.TakeActions()...) {
		c := sim.calls[a.Request]
		switch a.Kind {
		case dispatch.ActionSend:
			sim.send(h, c, a)
		case dispatch.ActionFinish:
			sim.stats.addCompletion(c, a.End, sim.now)
			delete(sim.calls, a.Request)
		}
	}
}
