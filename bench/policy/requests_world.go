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

// Sizes and times of the world, from the brief.
const (
	dataCentres    = 3
	entryHosts     = 9
	servicesCount  = 5
	serversEach    = 10
	slotsEach      = 8
	meanWork       = 40 * time.Millisecond
	localLatency   = 100 * time.Microsecond
	remoteLatency  = 500 * time.Microsecond
	burstFactor    = 5.0
	quietFactor    = 0.05
	burstLength    = 3 * time.Second
	meanOfCapacity = 0.4
	cycles         = 2
	tickEvery      = 20 * time.Millisecond
	listDelay      = time.Second
	leavingGrace   = 2 * time.Second
	urgentShare    = 0.3
	// leastPatience is the shortest deadline of a caller as a share of the class's.
	leastPatience   = 0.25
	idempotentShare = 0.8
)

// quietLength makes the mean over a cycle come out.
const quietLength = burstLength * 400 / 95

// cycle is one burst and the quiet time behind it.
const cycle = burstLength + quietLength

// class is a class of requests.
type class = inventory.ClassID

const (
	classUrgent   class = "Urgent"
	classStandard class = "Standard"
)

var deadlines = map[class]time.Duration{classUrgent: 2 * time.Second, classStandard: 10 * time.Second}

// policyHost is the part of an entry host that decides.
type policyHost interface {
	Submit(r dispatch.Request, now time.Time)
	HandleResult(id admission.RequestID, r dispatch.AttemptResult, now time.Time)
	SetHosts(l inventory.HostList, now time.Time)
	Tick(now time.Time)
	TakeActions() []dispatch.Action
}

// place is where a policy host stands.
type place struct {
	name       inventory.EntryID
	dataCentre inventory.DataCentreID
	objects    configuration.Objects
	retries    retry.BudgetConfig
	random     *rand.Rand
	now        time.Time
}

// event is something that happens at a moment of virtual time.
type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// world is entry hosts and servers in virtual time.
type world struct {
	scene   scene
	random  *rand.Rand
	now     time.Time
	began   time.Time
	queue   events
	seq     int
	hosts   []*fakeHost
	servers map[inventory.InstanceID]*fakeServer
	// list is the host list as the platform knows it now.
	list  []inventory.ListedHost
	calls map[admission.RequestID]*fakeCall
	next  admission.RequestID
	tally tally
	// apart is set while no data centre reaches another.
	apart bool
}

// fakeHost is an entry host around a policy.
type fakeHost struct {
	policyHost
	dataCentre inventory.DataCentreID
}

// fakeCall is a caller's request.
type fakeCall struct {
	dispatch.Request
	work      time.Duration
	sendings  int
	executed  int
	firstSent time.Time
	// bursting requests came in while their service's burst was on.
	bursting bool
}

func newWorld(c contender, s scene, seed uint64) *world {
	w := &world{
		scene: s, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(0, 0),
		servers: make(map[inventory.InstanceID]*fakeServer), calls: make(map[admission.RequestID]*fakeCall),
		tally: newTally(),
	}
	w.began = w.now
	objects := w.objects()
	for i := range entryHosts {
		dc := dataCentre(i)
		name := inventory.EntryID(fmt.Sprintf("entry-%d", i))
		w.list = append(w.list, inventory.ListedHost{ID: inventory.HostID(name), Role: inventory.RoleEntry, State: inventory.HostLive, DataCentre: dc})
		p := place{name: name, dataCentre: dc, objects: objects, retries: retry.DefaultBudget, random: rand.New(rand.NewPCG(seed, uint64(i)+2)), now: w.now}
		w.hosts = append(w.hosts, &fakeHost{policyHost: c.make(p), dataCentre: dc})
	}
	for v := range servicesCount {
		for i := range serversEach {
			w.addServer(service(v), i)
		}
	}
	return w
}

func service(v int) inventory.ServiceID {
	return inventory.ServiceID(fmt.Sprintf("service-%d", v))
}

func dataCentre(i int) inventory.DataCentreID {
	return inventory.DataCentreID(fmt.Sprintf("data-centre-%d", i%dataCentres))
}

func (w *world) objects() configuration.Objects {
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
	for v := range servicesCount {
		o.Services[service(v)] = configuration.Service{
			Slots: slotsEach, Connections: configuration.DefaultConnections,
			Classes: map[class]configuration.Class{
				classUrgent:   {Weight: 4, Deadline: configuration.Duration(deadlines[classUrgent]), Urgent: true},
				classStandard: {Weight: 2, Deadline: configuration.Duration(deadlines[classStandard])},
			},
		}
	}
	return o
}

// after runs something later in virtual time.
func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now.Add(d), seq: w.seq, do: do})
}

// run plays the scene to its end.
func (w *world) run() {
	w.publish()
	for i, h := range w.hosts {
		w.after(time.Duration(i)*tickEvery/entryHosts, func() { w.tick(h) })
	}
	for v := range servicesCount {
		w.after(w.untilArrival(v), func() { w.arrive(v) })
	}
	w.scene.play(w)
	end := w.began.Add(cycles*cycle + 2*deadlines[classStandard])
	for len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(event)
		if e.at.After(end) {
			return
		}
		w.now = e.at
		e.do()
	}
}

func (w *world) tick(h *fakeHost) {
	h.Tick(w.now)
	w.act(h)
	w.after(tickEvery, func() { w.tick(h) })
}

// publish shows the host list to all hosts after its delay.
func (w *world) publish() {
	l := inventory.HostList{At: w.now.Add(time.Nanosecond), Hosts: append([]inventory.ListedHost(nil), w.list...)}
	delay := listDelay
	if w.now.Equal(w.began) {
		delay = 0
	}
	w.after(delay, func() {
		for _, h := range w.hosts {
			h.SetHosts(l, w.now)
			w.act(h)
		}
	})
}

// phase returns the moment within the service's own cycle; bursts come in turns.
func (w *world) phase(v int) time.Duration {
	return (w.now.Sub(w.began) + time.Duration(v)*cycle/servicesCount) % cycle
}

func (w *world) untilArrival(v int) time.Duration {
	factor := quietFactor
	if w.phase(v) < burstLength {
		factor = burstFactor
	}
	capacity := float64(serversEach*slotsEach) / meanWork.Seconds()
	gap := w.random.ExpFloat64() / (capacity * meanOfCapacity * factor)
	return time.Duration(gap * float64(time.Second))
}

func (w *world) arrive(v int) {
	if w.now.Sub(w.began) >= cycles*cycle {
		return
	}
	w.after(w.untilArrival(v), func() { w.arrive(v) })
	w.next++
	r := admission.Request{ID: w.next, Tenant: "plant", Class: classStandard, Arrived: w.now}
	if w.random.Float64() < urgentShare {
		r.Tenant, r.Class = "clerks", classUrgent
	}
	r.Deadline = w.now.Add(time.Duration(float64(deadlines[r.Class]) * (leastPatience + (1-leastPatience)*w.random.Float64())))
	c := &fakeCall{
		Request:  dispatch.Request{Request: r, Service: service(v), Idempotent: w.random.Float64() < idempotentShare},
		work:     time.Duration(w.random.ExpFloat64() * float64(meanWork)),
		bursting: w.phase(v) < burstLength,
	}
	w.calls[r.ID] = c
	w.tally.classes[r.Class].arrived++
	h := w.hosts[w.random.IntN(len(w.hosts))]
	h.Submit(c.Request, w.now)
	w.act(h)
}

// act does what a policy asks for.
func (w *world) act(h *fakeHost) {
	for _, a := range append([]dispatch.Action(nil), h.TakeActions()...) {
		c := w.calls[a.Request]
		switch a.Kind {
		case dispatch.ActionSend:
			w.send(h, c, a)
		case dispatch.ActionFinish:
			w.tally.finish(c, a.End, w.now)
			delete(w.calls, a.Request)
		}
	}
}
