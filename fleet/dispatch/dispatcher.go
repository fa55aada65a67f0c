package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/godwitcross/godwitcross/fleet/admission"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/retry"
	"github.com/godwitcross/godwitcross/fleet/routing"
)

const (
	// maxTries bounds how often one request is sent without any word of a server,
	// maxRefusals how often servers may refuse it.
	maxTries    = 3
	maxRefusals = 10
	// maxReturn is the longest pause that a caller is told to make while servers
	// are away.
	maxReturn = time.Minute
	// reviewEvery is the time between two reviews of the servers' latencies.
	reviewEvery = time.Second
	// trialShare of the time that remains is given to one sending of an
	// idempotent request, and trialFactor times the usual time at least, so that
	// a silent connection leaves time for another.
	trialShare  = 3
	trialFactor = 10
)

// Config is what a dispatcher is built from.
type Config struct {
	Name       inventory.EntryID
	DataCentre inventory.DataCentreID
	Order      admission.Order
	Retries    retry.BudgetConfig
	Random     *rand.Rand
}

// Dispatcher owns the requests of one entry host that are not finished. It is
// not safe for concurrent use.
type Dispatcher struct {
	cfg      Config
	services map[inventory.ServiceID]*service
	// order has the names of all services in order.
	order []inventory.ServiceID
	// calls has every request that is not finished.
	calls map[admission.RequestID]*call
	// tenants counts the unfinished requests of each tenant.
	tenants map[inventory.TenantID]int
	objects configuration.Objects
	hosts   inventory.HostList
	// out holds the actions that were not taken yet, in order.
	out []Action
}

// service is one service's queue, servers and estimates.
type service struct {
	spec     configuration.Service
	queue    *admission.Queue
	gate     *admission.Gate
	table    *routing.Table
	retries  *retry.Budget
	reviewed time.Time
}

// call is one unfinished request.
type call struct {
	Request
	service  *service
	item     *admission.Item
	attempts retry.Attempts
	// claimed is true while the request holds the claim of its key.
	claimed bool
	// tried has the servers that the request was sent to.
	tried []inventory.InstanceID
	// at is the server that has the request now, since sent.
	at   inventory.InstanceID
	sent time.Time
	// queued is when the request last began to wait.
	queued         time.Time
	waited, served time.Duration
}

// New returns a dispatcher without services.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{
		cfg:      cfg,
		services: make(map[inventory.ServiceID]*service),
		calls:    make(map[admission.RequestID]*call),
		tenants:  make(map[inventory.TenantID]int),
	}
}

// Actions returns what is to be done and forgets it. The slice is valid until
// the next event.
func (d *Dispatcher) Actions() []Action {
	out := d.out
	d.out = d.out[:0]
	return out
}

// Unfinished returns the number of requests that are not finished.
func (d *Dispatcher) Unfinished() int {
	return len(d.calls)
}

// Arrive takes in a new request. It is refused at once if it can't be answered
// in time.
func (d *Dispatcher) Arrive(r Request, now time.Time) {
	c := &call{Request: r, attempts: retry.Attempts{Idempotent: r.Idempotent}, queued: now}
	s, ok := d.services[r.Service]
	if !ok {
		d.refuse(c, admission.Refusal{Reason: ReasonNotReady, After: admission.MinReturn})
		return
	}
	c.service = s
	d.expire(s, now)
	if refusal := d.check(c, now); refusal.Reason != "" {
		d.refuse(c, refusal)
		return
	}
	d.calls[r.ID] = c
	d.tenants[r.Tenant]++
	if r.Keyed && !r.Idempotent {
		d.out = append(d.out, Action{Kind: ActionClaim, Request: r.ID, Until: s.gate.LatestStart(r.Request)})
		return
	}
	d.enqueue(c)
	d.send(s, now)
}

func (d *Dispatcher) check(c *call, now time.Time) admission.Refusal {
	s := c.service
	if d.tenants[c.Tenant] >= d.objects.Tenants[c.Tenant].MaxInFlight {
		return admission.Refusal{Reason: admission.ReasonQuota, After: admission.MinReturn}
	}
	if s.table.Len() == 0 {
		wake := s.table.NextWake()
		if wake.IsZero() || wake.After(c.Deadline) {
			return admission.Refusal{Reason: ReasonNoServer, After: max(min(wake.Sub(now), maxReturn), admission.MinReturn)}
		}
	}
	return s.gate.Check(s.queue, c.Request.Request, s.table.Slots(), now)
}

// Claimed takes in the answer to ActionClaim.
func (d *Dispatcher) Claimed(id admission.RequestID, answer Claim, now time.Time) {
	c, ok := d.calls[id]
	if !ok {
		return
	}
	switch answer {
	case ClaimGranted:
		c.claimed = true
		d.enqueue(c)
		d.expire(c.service, now)
		d.send(c.service, now)
	case ClaimUsed:
		d.finish(c, retry.Unknown, ReasonKeyUsed, 0)
	default:
		d.finish(c, retry.NotRun, ReasonNoClaim, d.spread(admission.MinReturn))
	}
}

// Ended takes in how the sending of a request ended.
func (d *Dispatcher) Ended(id admission.RequestID, r Result, now time.Time) {
	c, ok := d.calls[id]
	if !ok || c.at == "" {
		return
	}
	s, at, took := c.service, c.at, now.Sub(c.sent)
	c.at = ""
	c.served += took
	s.table.Ended(at, r.Result, took, now)
	s.table.SignLeaving(at, r.Sign, now)
	if r.Result == retry.ResultAnswered {
		s.gate.Observe(c.Class, took)
		d.finish(c, retry.Answered, "", 0)
	} else {
		c.attempts.Add(r.Result)
		c.tried = append(c.tried, at)
		d.again(c, r.Result, now)
	}
	d.send(s, now)
}

// again lets a request without an answer wait for another sending, or ends it.
func (d *Dispatcher) again(c *call, r retry.Result, now time.Time) {
	s := c.service
	inTime := now.Before(s.gate.LatestStart(c.Request.Request))
	if inTime && c.attempts.MaySendAgain() && c.hasTries() && s.retries.Take() {
		c.queued = now
		s.queue.Return(c.item)
		d.expire(s, now)
		return
	}
	reason := ReasonNoAnswer
	switch {
	case c.attempts.Outcome() == retry.Unknown:
	case r == retry.ResultRefused:
		reason = ReasonRefused
	default:
		reason = ReasonUnreached
	}
	wait := s.gate.Wait(s.queue, c.Request.Request, s.table.Slots())
	d.finish(c, c.attempts.Outcome(), reason, d.spread(max(wait, admission.MinReturn)))
}

// Tick drops expired requests, reviews servers and sends what may be sent now.
func (d *Dispatcher) Tick(now time.Time) {
	for _, id := range d.order {
		s := d.services[id]
		if now.Sub(s.reviewed) >= reviewEvery {
			s.reviewed = now
			s.table.Review(now)
		}
		d.expire(s, now)
		d.send(s, now)
	}
}

// hasTries reports whether the request may be sent once more.
func (c *call) hasTries() bool {
	return c.attempts.Count-c.attempts.Refusals < maxTries && c.attempts.Refusals < maxRefusals
}

func (d *Dispatcher) enqueue(c *call) {
	s := c.service
	c.item = s.queue.Push(c.Request.Request, d.objects.Tenants[c.Tenant].Weight, s.gate.LatestStart(c.Request.Request))
}

// send gives free slots to the requests that go next.
func (d *Dispatcher) send(s *service, now time.Time) {
	for s.queue.Len() > 0 && s.table.HasSlot(s.retries.Has(1), now) {
		it, _ := s.queue.Pop()
		c := d.calls[it.ID]
		i, err := s.table.Choose(c.tried, s.retries.Has(1), now)
		if err != nil {
			s.queue.Return(it)
			return
		}
		if c.attempts.Count == 0 {
			s.retries.Earn()
			s.gate.Sent(s.spec.Classes[c.Class].Urgent)
		}
		c.waited += now.Sub(c.queued)
		c.at, c.sent = i.ID, now
		d.out = append(d.out, Action{
			Kind: ActionSend, Request: it.ID, Instance: i,
			Until: c.until(now), Fresh: !c.Idempotent || c.attempts.Count > 0,
			Connections: max(s.spec.Connections/inventory.Connections(s.table.Hosts()), 1),
		})
	}
}

// until returns when a sending that begins now is given up.
func (c *call) until(now time.Time) time.Time {
	if !c.Idempotent {
		return c.Deadline
	}
	trial := max(c.Deadline.Sub(now)/trialShare, trialFactor*c.service.gate.ServerTime(c.Class))
	if end := now.Add(trial); end.Before(c.Deadline) {
		return end
	}
	return c.Deadline
}

// expire ends requests that can't be answered in time any more: their time has
// come, or no server comes back before it does.
func (d *Dispatcher) expire(s *service, now time.Time) {
	horizon, reason := now, admission.ReasonExpired
	if s.table.Len() == 0 {
		reason = ReasonNoServer
		horizon = s.table.NextWake()
		if horizon.IsZero() {
			horizon = now.Add(configuration.MaxDeadline.Std())
		}
	}
	for {
		it, ok := s.queue.Expired(horizon)
		if !ok {
			return
		}
		c := d.calls[it.ID]
		c.waited += now.Sub(c.queued)
		after := max(s.gate.Wait(s.queue, it.Request, s.table.Slots()), min(horizon.Sub(now), maxReturn), admission.MinReturn)
		d.finish(c, c.attempts.Outcome(), reason, d.spread(after))
	}
}

// refuse ends a request that was never taken in.
func (d *Dispatcher) refuse(c *call, r admission.Refusal) {
	d.out = append(d.out, Action{Kind: ActionFinish, Request: c.ID, End: End{
		Outcome: retry.NotRun, Reason: r.Reason, After: d.spread(r.After),
	}})
}

// finish ends a request that was taken in.
func (d *Dispatcher) finish(c *call, o retry.Outcome, reason admission.Reason, after time.Duration) {
	delete(d.calls, c.ID)
	d.tenants[c.Tenant]--
	if d.tenants[c.Tenant] == 0 {
		delete(d.tenants, c.Tenant)
	}
	d.out = append(d.out, Action{Kind: ActionFinish, Request: c.ID, End: End{
		Outcome: o, Reason: reason, After: after, Waited: c.waited, Served: c.served,
		Release: c.claimed && o == retry.NotRun,
	}})
}

// spread lengthens a pause by up to a half, so that refused callers do not come
// back together.
func (d *Dispatcher) spread(after time.Duration) time.Duration {
	return after + time.Duration(d.cfg.Random.Int64N(int64(after/2)+1))
}
