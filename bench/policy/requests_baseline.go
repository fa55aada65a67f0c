package policy

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/fleet/admission"
	"github.com/godwitcross/godwitcross/fleet/dispatch"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/retry"
	"github.com/godwitcross/godwitcross/fleet/routing"
)

// maxBaselineAttempts bounds the attempts of a request by a baseline.
const maxBaselineAttempts = 3

// baseline is shared by both baselines: the host list, retries without a budget, and
// the production rules for outcomes.
type baseline struct {
	random  *rand.Rand
	servers map[inventory.ServiceID][]inventory.InstanceID
	load    map[inventory.InstanceID]int
	calls   map[admission.RequestID]*baselineCall
	actions []dispatch.Action
	// enqueue queues a new request or one to be retried, or sends it at once.
	enqueue func(c *baselineCall, now time.Time)
	// onRelease is called after a request released its slot.
	onRelease func(v inventory.ServiceID, now time.Time)
}

type baselineCall struct {
	dispatch.Request
	attempts retry.Attempts
	server   inventory.InstanceID
}

func newBaseline(p hostConfig) *baseline {
	return &baseline{
		random: p.random, servers: make(map[inventory.ServiceID][]inventory.InstanceID),
		load: make(map[inventory.InstanceID]int), calls: make(map[admission.RequestID]*baselineCall),
		onRelease: func(inventory.ServiceID, time.Time) {},
	}
}

// SetHosts sets the live servers of each service.
func (b *baseline) SetHosts(l inventory.HostList, _ time.Time) {
	clear(b.servers)
	for _, h := range l.Hosts {
		if h.Role == inventory.RoleBackend && h.State == inventory.HostLive {
			b.servers[h.Service] = append(b.servers[h.Service], inventory.InstanceID(h.ID))
		}
	}
}

// Tick does nothing; the baselines have no timers.
func (b *baseline) Tick(time.Time) {}

// TakeActions returns the pending actions and clears them.
func (b *baseline) TakeActions() []dispatch.Action {
	out := b.actions
	b.actions = nil
	return out
}

// Submit sends or queues a request.
func (b *baseline) Submit(r dispatch.Request, now time.Time) {
	c := &baselineCall{Request: r, attempts: retry.Attempts{Idempotent: r.Idempotent}}
	b.calls[r.ID] = c
	b.enqueue(c, now)
}

func (b *baseline) send(c *baselineCall, id inventory.InstanceID) {
	c.server = id
	b.load[id]++
	b.actions = append(b.actions, dispatch.Action{Kind: dispatch.ActionSend, Request: c.ID, Instance: routing.Instance{ID: id}, Deadline: c.Deadline})
}

// HandleResult retries a failed request if a retry is safe and attempts are left.
func (b *baseline) HandleResult(id admission.RequestID, r dispatch.AttemptResult, now time.Time) {
	c := b.calls[id]
	b.load[c.server]--
	if r.Result == retry.ResultAnswered {
		b.finish(c, retry.Answered)
	} else if c.attempts.Record(r.Result); c.attempts.CanRetry() && c.attempts.Count < maxBaselineAttempts {
		b.enqueue(c, now)
	} else {
		b.finish(c, c.attempts.Outcome())
	}
	b.onRelease(c.Service, now)
}

func (b *baseline) finish(c *baselineCall, o retry.Outcome) {
	delete(b.calls, c.ID)
	b.actions = append(b.actions, dispatch.Action{Kind: dispatch.ActionFinish, Request: c.ID, End: dispatch.Completion{Outcome: o}})
}

// newRandomHost returns the baseline without admission control: each request is sent to
// a random server immediately.
func newRandomHost(p hostConfig) entryPolicy {
	b := newBaseline(p)
	b.enqueue = func(c *baselineCall, _ time.Time) {
		servers := b.servers[c.Service]
		b.send(c, servers[b.random.IntN(len(servers))])
	}
	return b
}

// newLeastLoadedHost returns the baseline that sends to the server with the lowest load
// in the host's local view and has a first-in, first-out queue.
func newLeastLoadedHost(p hostConfig) entryPolicy {
	b := newBaseline(p)
	waiting := make(map[inventory.ServiceID][]*baselineCall)
	next := func(v inventory.ServiceID) {
		for len(waiting[v]) > 0 {
			servers := b.servers[v]
			offset := b.random.IntN(len(servers))
			rotated := append(slices.Clone(servers[offset:]), servers[:offset]...)
			id := slices.MinFunc(rotated, func(a, c inventory.InstanceID) int { return b.load[a] - b.load[c] })
			if b.load[id] >= slotsPerServer {
				return
			}
			b.send(waiting[v][0], id)
			waiting[v] = waiting[v][1:]
		}
	}
	b.enqueue = func(c *baselineCall, _ time.Time) {
		waiting[c.Service] = append(waiting[c.Service], c)
		next(c.Service)
	}
	b.onRelease = func(v inventory.ServiceID, _ time.Time) { next(v) }
	return b
}
