package caller

import (
	"context"
	"time"

	"github.com/godwitcross/godwitcross/entry/backend"
	"github.com/godwitcross/godwitcross/entry/follower"
	"github.com/godwitcross/godwitcross/entry/view"
	"github.com/godwitcross/godwitcross/fleet/admission"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/dispatch"
	"github.com/godwitcross/godwitcross/fleet/inventory"
)

const (
	// queueLength is how many messages wait for the dispatcher. A new request
	// that finds the queue full is refused; other messages wait for room.
	queueLength = 4096
	// tickEvery is the time between two looks at what has expired.
	tickEvery = 10 * time.Millisecond
	// idleTickEvery is the same while no request is on its way.
	idleTickEvery = 200 * time.Millisecond
	// sweepEvery is the time between two sweeps of idle connections.
	sweepEvery = time.Second
)

// message is what a handler tells the dispatcher.
type message interface {
	apply(d *Dispatcher, now time.Time)
}

// arrival is a new request; its actions go to reply.
type arrival struct {
	request dispatch.Request
	reply   chan dispatch.Action
}

// claimed is the answer to a claim.
type claimed struct {
	id     admission.RequestID
	answer dispatch.ClaimResult
}

// ended is the end of a sending.
type ended struct {
	id     admission.RequestID
	result dispatch.AttemptResult
}

// Dispatcher is the task that owns the decisions on all requests of the host.
type Dispatcher struct {
	core  *dispatch.Dispatcher
	state *view.Box[follower.State]
	hosts *view.Box[inventory.HostList]
	pool  *backend.Pool
	in    chan message
	// done is closed when the task has ended.
	done chan struct{}
	// waiting has the channel of each unfinished request. At most one action of
	// a request is outstanding, so that a channel with one place never blocks.
	waiting map[admission.RequestID]chan<- dispatch.Action
	version configuration.Version
	// swept is when idle connections were last swept.
	swept time.Time
}

// NewDispatcher returns a task around the decisions.
func NewDispatcher(core *dispatch.Dispatcher, state *view.Box[follower.State], hosts *view.Box[inventory.HostList], pool *backend.Pool) *Dispatcher {
	return &Dispatcher{
		core: core, state: state, hosts: hosts, pool: pool,
		in: make(chan message, queueLength), done: make(chan struct{}),
		waiting: make(map[admission.RequestID]chan<- dispatch.Action),
	}
}

// Name returns the task's name.
func (d *Dispatcher) Name() string {
	return "dispatcher of requests"
}

// Run decides until the context ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	defer close(d.done)
	pace := idleTickEvery
	t := time.NewTicker(pace)
	defer t.Stop()
	for {
		_, stateChanged := d.state.Watch()
		_, hostsChanged := d.hosts.Watch()
		d.follow(time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-stateChanged:
		case <-hostsChanged:
		case m := <-d.in:
			m.apply(d, time.Now())
			d.drain()
		case <-t.C:
			d.tick(time.Now())
		}
		d.act()
		if p := d.pace(); p != pace {
			pace = p
			t.Reset(p)
		}
	}
}

// pace returns the time between two ticks: only requests on their way need quick
// ones.
func (d *Dispatcher) pace() time.Duration {
	if d.core.Unfinished() == 0 {
		return idleTickEvery
	}
	return tickEvery
}

// drain takes in the messages that are waiting already.
func (d *Dispatcher) drain() {
	for range queueLength {
		select {
		case m := <-d.in:
			m.apply(d, time.Now())
		default:
			return
		}
	}
}

// follow takes in a new configuration and a new host list.
func (d *Dispatcher) follow(now time.Time) {
	if c := d.state.Latest().Configuration; c.Version != d.version {
		d.version = c.Version
		d.core.Configure(c.Objects, now)
	}
	d.core.SetHosts(d.hosts.Latest(), now)
	d.act()
}

func (d *Dispatcher) tick(now time.Time) {
	d.core.Tick(now)
	if now.Sub(d.swept) >= sweepEvery {
		d.swept = now
		d.pool.Sweep(now)
	}
}

// act hands the actions to the handlers of their requests.
func (d *Dispatcher) act() {
	for _, a := range d.core.TakeActions() {
		d.waiting[a.Request] <- a
		if a.Kind == dispatch.ActionFinish {
			delete(d.waiting, a.Request)
		}
	}
}

// arrive hands a new request in and reports whether there was room for it.
func (d *Dispatcher) arrive(a arrival) bool {
	select {
	case d.in <- a:
		return true
	default:
		return false
	}
}

// tell hands a message about a request in, which waits for room.
func (d *Dispatcher) tell(m message) {
	select {
	case d.in <- m:
	case <-d.done:
	}
}

func (a arrival) apply(d *Dispatcher, now time.Time) {
	d.waiting[a.request.ID] = a.reply
	d.core.Submit(a.request, now)
}

func (c claimed) apply(d *Dispatcher, now time.Time) {
	d.core.HandleClaim(c.id, c.answer, now)
}

func (e ended) apply(d *Dispatcher, now time.Time) {
	d.core.HandleResult(e.id, e.result, now)
}
