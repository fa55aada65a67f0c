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
	// maxUnrefusedAttempts limits the attempts of one request that end without any
	// response, maxRefusals those that a backend server refuses.
	maxUnrefusedAttempts = 3
	maxRefusals          = 10
	// maxRetryAfter limits the delay returned to callers while no backend server is
	// available.
	maxRetryAfter = time.Minute
	// reviewInterval is the time between two latency checks of a service's backend
	// servers.
	reviewInterval = time.Second
	// An attempt of an idempotent request may take the remaining time divided by
	// attemptTimeDivisor, but at least attemptTimeFactor times the mean server time, so
	// that an unresponsive connection leaves time for another attempt.
	attemptTimeDivisor = 3
	attemptTimeFactor  = 10
)

// Config configures a Dispatcher.
type Config struct {
	Name       inventory.EntryID
	DataCentre inventory.DataCentreID
	Order      admission.Order
	Retries    retry.BudgetConfig
	Random     *rand.Rand
}

// Dispatcher tracks the unfinished requests of one entry host, queues them per service
// and decides when and where to send them. It is not safe for concurrent use.
type Dispatcher struct {
	cfg      Config
	services map[inventory.ServiceID]*service
	// serviceIDs holds the keys of services in sorted order.
	serviceIDs []inventory.ServiceID
	// calls holds the unfinished requests.
	calls map[admission.RequestID]*call
	// tenantRequests counts the unfinished requests by tenant.
	tenantRequests map[inventory.TenantID]int
	objects        configuration.Objects
	hosts          inventory.HostList
	// pending holds the actions that TakeActions has not returned yet, in order.
	pending []Action
}

// service is the state of one service: its queue, backend servers and estimates.
type service struct {
	spec       configuration.Service
	queue      *admission.Queue
	controller *admission.Controller
	table      *routing.Table
	retries    *retry.Budget
	reviewedAt time.Time
}

// call is one unfinished request.
type call struct {
	Request
	service  *service
	item     *admission.Item
	attempts retry.Attempts
	// keyClaimed is true once the claim of the request's key has been granted.
	keyClaimed bool
	// tried lists the backend servers of earlier attempts.
	tried []inventory.InstanceID
	// server is the backend server of the current attempt, which began at sentAt. It is
	// empty between attempts.
	server inventory.InstanceID
	sentAt time.Time
	// queuedAt is when the request last joined the queue.
	queuedAt              time.Time
	queueTime, serverTime time.Duration
}

// New returns a dispatcher without services.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{
		cfg:            cfg,
		services:       make(map[inventory.ServiceID]*service),
		calls:          make(map[admission.RequestID]*call),
		tenantRequests: make(map[inventory.TenantID]int),
	}
}

// TakeActions returns and clears the pending actions. The slice is valid until the next
// event.
func (d *Dispatcher) TakeActions() []Action {
	out := d.pending
	d.pending = d.pending[:0]
	return out
}

// Unfinished returns the number of unfinished requests.
func (d *Dispatcher) Unfinished() int {
	return len(d.calls)
}

// Submit handles a new request. It refuses the request at once if it can't be answered
// before its deadline.
func (d *Dispatcher) Submit(r Request, now time.Time) {
	c := &call{Request: r, attempts: retry.Attempts{Idempotent: r.Idempotent}, queuedAt: now}
	s, ok := d.services[r.Service]
	if !ok {
		d.refuse(c, admission.Refusal{Reason: ReasonNotReady, RetryAfter: admission.MinRetryAfter})
		return
	}
	c.service = s
	d.expireRequests(s, now)
	if refusal := d.checkAdmission(c, now); refusal.Reason != "" {
		d.refuse(c, refusal)
		return
	}
	d.calls[r.ID] = c
	d.tenantRequests[r.Tenant]++
	if r.Keyed && !r.Idempotent {
		d.pending = append(d.pending, Action{Kind: ActionClaim, Request: r.ID, Deadline: s.controller.LatestSendTime(r.Request)})
		return
	}
	d.enqueue(c)
	d.sendQueued(s, now)
}

func (d *Dispatcher) checkAdmission(c *call, now time.Time) admission.Refusal {
	s := c.service
	if d.tenantRequests[c.Tenant] >= d.objects.Tenants[c.Tenant].MaxInFlight {
		return admission.Refusal{Reason: admission.ReasonTenantQuota, RetryAfter: admission.MinRetryAfter}
	}
	if s.table.Len() == 0 {
		next := s.table.NextReinstatement()
		if next.IsZero() || next.After(c.Deadline) {
			return admission.Refusal{Reason: ReasonNoServer, RetryAfter: max(min(next.Sub(now), maxRetryAfter), admission.MinRetryAfter)}
		}
	}
	return s.controller.Check(s.queue, c.Request.Request, s.table.Slots(), now)
}

// HandleClaim handles the result of an ActionClaim.
func (d *Dispatcher) HandleClaim(id admission.RequestID, answer ClaimResult, now time.Time) {
	c, ok := d.calls[id]
	if !ok {
		return
	}
	switch answer {
	case ClaimGranted:
		c.keyClaimed = true
		d.enqueue(c)
		d.expireRequests(c.service, now)
		d.sendQueued(c.service, now)
	case ClaimUsed:
		d.finish(c, retry.Unknown, ReasonKeyUsed, 0)
	default:
		d.finish(c, retry.NotRun, ReasonKeyUnproven, d.addJitter(admission.MinRetryAfter))
	}
}

// HandleResult handles the end of an attempt that an ActionSend started.
func (d *Dispatcher) HandleResult(id admission.RequestID, r AttemptResult, now time.Time) {
	c, ok := d.calls[id]
	if !ok || c.server == "" {
		return
	}
	s, server, took := c.service, c.server, now.Sub(c.sentAt)
	c.server = ""
	c.serverTime += took
	s.table.RecordResult(server, r.Result, took, now)
	s.table.ObserveLeavingSign(server, r.LeavingSign, now)
	if r.Result == retry.ResultAnswered {
		s.controller.ObserveServerTime(c.Class, took)
		d.finish(c, retry.Answered, "", 0)
	} else {
		c.attempts.Record(r.Result)
		c.tried = append(c.tried, server)
		d.retryOrFinish(c, r.Result, now)
	}
	d.sendQueued(s, now)
}

// retryOrFinish queues an unanswered request for another attempt if its deadline, its
// attempts and the retry budget allow it. Otherwise it finishes the request.
func (d *Dispatcher) retryOrFinish(c *call, r retry.Result, now time.Time) {
	s := c.service
	inTime := now.Before(s.controller.LatestSendTime(c.Request.Request))
	if inTime && c.attempts.CanRetry() && c.hasAttemptsLeft() && s.retries.TryWithdraw() {
		c.queuedAt = now
		s.queue.Requeue(c.item)
		d.expireRequests(s, now)
		return
	}
	reason := ReasonNoAnswer
	switch {
	case c.attempts.Outcome() == retry.Unknown:
	case r == retry.ResultRefused:
		reason = ReasonServersRefused
	default:
		reason = ReasonServersUnreachable
	}
	wait := s.controller.EstimateWait(s.queue, c.Request.Request, s.table.Slots())
	d.finish(c, c.attempts.Outcome(), reason, d.addJitter(max(wait, admission.MinRetryAfter)))
}

// Tick finishes expired requests, ejects slow servers and sends queued requests. The
// caller runs it periodically.
func (d *Dispatcher) Tick(now time.Time) {
	for _, id := range d.serviceIDs {
		s := d.services[id]
		if now.Sub(s.reviewedAt) >= reviewInterval {
			s.reviewedAt = now
			s.table.EjectSlow(now)
		}
		d.expireRequests(s, now)
		d.sendQueued(s, now)
	}
}

// hasAttemptsLeft reports whether the limits on attempts allow another one.
func (c *call) hasAttemptsLeft() bool {
	return c.attempts.Count-c.attempts.Refusals < maxUnrefusedAttempts && c.attempts.Refusals < maxRefusals
}

func (d *Dispatcher) enqueue(c *call) {
	s := c.service
	c.item = s.queue.Push(c.Request.Request, d.objects.Tenants[c.Tenant].Weight, s.controller.LatestSendTime(c.Request.Request))
}

// sendQueued sends queued requests, in queue order, while a backend server has a free
// slot.
func (d *Dispatcher) sendQueued(s *service, now time.Time) {
	for s.queue.Len() > 0 && s.table.HasSlot(s.retries.CanWithdraw(1), now) {
		it, _ := s.queue.Pop()
		c := d.calls[it.ID]
		i, err := s.table.Choose(c.tried, s.retries.CanWithdraw(1), now)
		if err != nil {
			s.queue.Requeue(it)
			return
		}
		if c.attempts.Count == 0 {
			s.retries.Deposit()
			s.controller.ObserveSent(s.spec.Classes[c.Class].Urgent)
		}
		c.queueTime += now.Sub(c.queuedAt)
		c.server, c.sentAt = i.ID, now
		d.pending = append(d.pending, Action{
			Kind: ActionSend, Request: it.ID, Instance: i,
			Deadline: c.attemptDeadline(now), NewConnection: !c.Idempotent || c.attempts.Count > 0,
			Connections: max(s.spec.Connections/inventory.Connections(s.table.Hosts()), 1),
		})
	}
}

// attemptDeadline returns when an attempt that begins now times out.
func (c *call) attemptDeadline(now time.Time) time.Time {
	if !c.Idempotent {
		return c.Deadline
	}
	limit := max(c.Deadline.Sub(now)/attemptTimeDivisor, attemptTimeFactor*c.service.controller.MeanServerTime(c.Class))
	if end := now.Add(limit); end.Before(c.Deadline) {
		return end
	}
	return c.Deadline
}

// expireRequests finishes queued requests that can no longer be answered in time: their
// latest send time has passed, or no backend server becomes available before it.
func (d *Dispatcher) expireRequests(s *service, now time.Time) {
	horizon, reason := now, admission.ReasonExpired
	if s.table.Len() == 0 {
		reason = ReasonNoServer
		horizon = s.table.NextReinstatement()
		if horizon.IsZero() {
			horizon = now.Add(configuration.MaxDeadline.AsDuration())
		}
	}
	for {
		it, ok := s.queue.PopExpired(horizon)
		if !ok {
			return
		}
		c := d.calls[it.ID]
		c.queueTime += now.Sub(c.queuedAt)
		after := max(s.controller.EstimateWait(s.queue, it.Request, s.table.Slots()), min(horizon.Sub(now), maxRetryAfter), admission.MinRetryAfter)
		d.finish(c, c.attempts.Outcome(), reason, d.addJitter(after))
	}
}

// refuse finishes a request that was not admitted.
func (d *Dispatcher) refuse(c *call, r admission.Refusal) {
	d.pending = append(d.pending, Action{Kind: ActionFinish, Request: c.ID, End: Completion{
		Outcome: retry.NotRun, Reason: r.Reason, RetryAfter: d.addJitter(r.RetryAfter),
	}})
}

// finish finishes an admitted request.
func (d *Dispatcher) finish(c *call, o retry.Outcome, reason admission.Reason, after time.Duration) {
	delete(d.calls, c.ID)
	d.tenantRequests[c.Tenant]--
	if d.tenantRequests[c.Tenant] == 0 {
		delete(d.tenantRequests, c.Tenant)
	}
	d.pending = append(d.pending, Action{Kind: ActionFinish, Request: c.ID, End: Completion{
		Outcome: o, Reason: reason, RetryAfter: after, QueueTime: c.queueTime, ServerTime: c.serverTime,
		ReleaseClaim: c.keyClaimed && o == retry.NotRun,
	}})
}

// addJitter lengthens a delay by up to a half, so that refused callers do not all retry
// at the same time.
func (d *Dispatcher) addJitter(after time.Duration) time.Duration {
	return after + time.Duration(d.cfg.Random.Int64N(int64(after/2)+1))
}
