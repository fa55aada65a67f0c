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

// baselineTries bounds how often a baseline sends a request.
const baselineTries = 3

// baseline is what both baselines share: the host list, retries without a
// budget, and the same truth about outcomes.
type baseline struct {
	random  *rand.Rand
	servers map[inventory.ServiceID][]inventory.InstanceID
	load    map[inventory.InstanceID]int
	calls   map[admission.RequestID]*baselineCall
	out     []dispatch.Action
	// again sends a request that is to be tried once more.
	again func(c *baselineCall, now time.Time)
	// freed is told that a request left its server.
	freed func(v inventory.ServiceID, now time.Time)
}

type baselineCall struct {
	dispatch.Request
	attempts retry.Attempts
	at       inventory.InstanceID
}

func newBaseline(p place) *baseline {
	return &baseline{
		random: p.random, servers: make(map[inventory.ServiceID][]inventory.InstanceID),
		load: make(map[inventory.InstanceID]int), calls: make(map[admission.RequestID]*baselineCall),
		freed: func(inventory.ServiceID, time.Time) {},
	}
}

// SetHosts takes the live servers of the list.
func (b *baseline) SetHosts(l inventory.HostList, _ time.Time) {
	clear(b.servers)
	for _, h := range l.Hosts {
		if h.Role == inventory.RoleBackend && h.State == inventory.HostLive {
			b.servers[h.Service] = append(b.servers[h.Service], inventory.InstanceID(h.ID))
		}
	}
}

// Tick does nothing.
func (b *baseline) Tick(time.Time) {}

// TakeActions returns what is to be done.
func (b *baseline) TakeActions() []dispatch.Action {
	out := b.out
	b.out = nil
	return out
}

// Submit sends a request or lets it wait.
func (b *baseline) Submit(r dispatch.Request, now time.Time) {
	c := &baselineCall{Request: r, attempts: retry.Attempts{Idempotent: r.Idempotent}}
	b.calls[r.ID] = c
	b.again(c, now)
}

func (b *baseline) send(c *baselineCall, id inventory.InstanceID) {
	c.at = id
	b.load[id]++
	b.out = append(b.out, dispatch.Action{Kind: dispatch.ActionSend, Request: c.ID, Instance: routing.Instance{ID: id}, Deadline: c.Deadline})
}

// HandleResult sends again while that breaks no promise and tries are left.
func (b *baseline) HandleResult(id admission.RequestID, r dispatch.AttemptResult, now time.Time) {
	c := b.calls[id]
	b.load[c.at]--
	if r.Result == retry.ResultAnswered {
		b.finish(c, retry.Answered)
	} else if c.attempts.Record(r.Result); c.attempts.CanRetry() && c.attempts.Count < baselineTries {
		b.again(c, now)
	} else {
		b.finish(c, c.attempts.Outcome())
	}
	b.freed(c.Service, now)
}

func (b *baseline) finish(c *baselineCall, o retry.Outcome) {
	delete(b.calls, c.ID)
	b.out = append(b.out, dispatch.Action{Kind: dispatch.ActionFinish, Request: c.ID, End: dispatch.Completion{Outcome: o}})
}

// newRandomHost returns the baseline without admission: each request goes to a
// random server at once.
func newRandomHost(p place) policyHost {
	b := newBaseline(p)
	b.again = func(c *baselineCall, _ time.Time) {
		servers := b.servers[c.Service]
		b.send(c, servers[b.random.IntN(len(servers))])
	}
	return b
}

// newLeastLoadedHost returns the baseline with the least loaded server by the
// local view and a plain queue, first in, first out.
func newLeastLoadedHost(p place) policyHost {
	b := newBaseline(p)
	waiting := make(map[inventory.ServiceID][]*baselineCall)
	next := func(v inventory.ServiceID) {
		for len(waiting[v]) > 0 {
			servers := b.servers[v]
			offset := b.random.IntN(len(servers))
			rotated := append(slices.Clone(servers[offset:]), servers[:offset]...)
			id := slices.MinFunc(rotated, func(a, c inventory.InstanceID) int { return b.load[a] - b.load[c] })
			if b.load[id] >= slotsEach {
				return
			}
			b.send(waiting[v][0], id)
			waiting[v] = waiting[v][1:]
		}
	}
	b.again = func(c *baselineCall, _ time.Time) {
		waiting[c.Service] = append(waiting[c.Service], c)
		next(c.Service)
	}
	b.freed = func(v inventory.ServiceID, _ time.Time) { next(v) }
	return b
}
