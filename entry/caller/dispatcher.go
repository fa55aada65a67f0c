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
	// maxQueuedEvents bounds the dispatcher's event queue. A new request that finds the
	// queue full is refused; other events block until there is space.
	maxQueuedEvents = 4096
	// tickInterval is the time between two checks for expired requests.
	tickInterval = 10 * time.Millisecond
	// idleTickInterval replaces tickInterval while no request is unfinished.
	idleTickInterval = 200 * time.Millisecond
	// sweepInterval is the time between two sweeps of idle connections.
	sweepInterval = time.Second
)

// event is an input from a request handler to the dispatcher.
type event interface {
	apply(d *Dispatcher, now time.Time)
}

// arrival is a new request. The dispatcher sends its actions to reply.
type arrival struct {
	request dispatch.Request
	reply   chan dispatch.Action
}

// claimCompleted has the result of a claim.
type claimCompleted struct {
	id     admission.RequestID
	result dispatch.ClaimResult
}

// attemptCompleted has the result of an attempt.
type attemptCompleted struct {
	id     admission.RequestID
	result dispatch.AttemptResult
}

// Dispatcher is the task that runs the dispatch state machine for all requests of the
// host. Only its goroutine accesses the state machine.
type Dispatcher struct {
	core   *dispatch.Dispatcher
	state  *view.Value[follower.State]
	hosts  *view.Value[inventory.HostList]
	pool   *backend.Pool
	events chan event
	// done is closed when Run returns.
	done chan struct{}
	// replies has the reply channel of each unfinished request. A request has at most one
	// outstanding action, so sending to a channel with a buffer of one never blocks.
	replies map[admission.RequestID]chan<- dispatch.Action
	version configuration.Version
	// lastSweep is when idle connections were last swept.
	lastSweep time.Time
}

// NewDispatcher returns a dispatcher that runs core.
func NewDispatcher(core *dispatch.Dispatcher, state *view.Value[follower.State], hosts *view.Value[inventory.HostList], pool *backend.Pool) *Dispatcher {
	return &Dispatcher{
		core: core, state: state, hosts: hosts, pool: pool,
		events: make(chan event, maxQueuedEvents), done: make(chan struct{}),
		replies: make(map[admission.RequestID]chan<- dispatch.Action),
	}
}

// Name returns the task's name.
func (d *Dispatcher) Name() string {
	return "dispatcher of requests"
}

// Run handles events until the context ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	defer close(d.done)
	interval := idleTickInterval
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		_, stateChanged := d.state.Watch()
		_, hostsChanged := d.hosts.Watch()
		d.refresh(time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-stateChanged:
		case <-hostsChanged:
		case e := <-d.events:
			e.apply(d, time.Now())
			d.drain()
		case <-t.C:
			d.tick(time.Now())
		}
		d.deliverActions()
		if next := d.interval(); next != interval {
			interval = next
			t.Reset(next)
		}
	}
}

// interval returns the time to the next tick. Only unfinished requests need the short
// interval.
func (d *Dispatcher) interval() time.Duration {
	if d.core.Unfinished() == 0 {
		return idleTickInterval
	}
	return tickInterval
}

// drain applies the events that are already queued.
func (d *Dispatcher) drain() {
	for range maxQueuedEvents {
		select {
		case e := <-d.events:
			e.apply(d, time.Now())
		default:
			return
		}
	}
}

// refresh applies the latest configuration and host list.
func (d *Dispatcher) refresh(now time.Time) {
	if c := d.state.Latest().Configuration; c.Version != d.version {
		d.version = c.Version
		d.core.Configure(c.Objects, now)
	}
	d.core.SetHosts(d.hosts.Latest(), now)
	d.deliverActions()
}

func (d *Dispatcher) tick(now time.Time) {
	d.core.Tick(now)
	if now.Sub(d.lastSweep) >= sweepInterval {
		d.lastSweep = now
		d.pool.Sweep(now)
	}
}

// deliverActions sends pending actions to the handlers of their requests.
func (d *Dispatcher) deliverActions() {
	for _, a := range d.core.TakeActions() {
		d.replies[a.Request] <- a
		if a.Kind == dispatch.ActionFinish {
			delete(d.replies, a.Request)
		}
	}
}

// submit queues a new request and reports whether the queue had space for it.
func (d *Dispatcher) submit(a arrival) bool {
	select {
	case d.events <- a:
		return true
	default:
		return false
	}
}

// enqueue queues an event of an accepted request. It blocks while the queue is full, until
// the dispatcher ends.
func (d *Dispatcher) enqueue(e event) {
	select {
	case d.events <- e:
	case <-d.done:
	}
}

func (a arrival) apply(d *Dispatcher, now time.Time) {
	d.replies[a.request.ID] = a.reply
	d.core.Submit(a.request, now)
}

func (c claimCompleted) apply(d *Dispatcher, now time.Time) {
	d.core.HandleClaim(c.id, c.result, now)
}

func (a attemptCompleted) apply(d *Dispatcher, now time.Time) {
	d.core.HandleResult(a.id, a.result, now)
}
