package scheduling

import (
	"maps"
	"slices"
	"time"
)

// Policy of pools and maintenance.
const (
	// balanceEvery is how often pools are compared with their demand.
	balanceEvery = 100 * time.Millisecond
	// idleToSpare is how long a worker is idle before its host leaves for the spare
	// pool. A move costs about as much as 1.1 s of a host in a pool, and queues'
	// peaks last seconds, so a shorter wait would pay for moves that are undone.
	idleToSpare = 700 * time.Millisecond
	// listFresh is how old the list of hosts may be for an order.
	listFresh = 3 * time.Second
	// describeEvery is how often the log tells how pools stand.
	describeEvery = time.Second
	// tokenStep leaves room for the orders of one epoch below the next epoch's tokens.
	tokenStep = 1_000_000
	// orderRetry is the pause before an order for a host is sent again.
	orderRetry = 500 * time.Millisecond
)

// host is a host of the fleet.
type host struct {
	Host
	// order is the duty that is out or was given and hasn't shown in the list yet.
	order hostOrder
	// wave is the open wave that the host is due for, or nil.
	wave *wave
	// refusedPools are pools to which the platform won't move the host.
	refusedPools map[string]bool
	retryAt      time.Time
}

type orderKind int

const (
	noOrder orderKind = iota
	moveOrder
	maintainOrder
)

// hostOrder is one duty.
type hostOrder struct {
	kind orderKind
	pool string
	wave int64
	// sent is when the order went out; doneBy when its effect is over.
	sent, doneBy time.Time
	// given orders were accepted, at givenAt.
	given   bool
	givenAt time.Time
	// former is the worker that ran on the host until a list tells what became of it.
	former Entry
	// resendAt is when an order without an answer is sent again, or zero.
	resendAt time.Time
}

// List takes the platform's list of hosts.
func (s *Scheduler) List(now time.Time, sentAt time.Time, hosts []Host) {
	s.listed = now
	seen := make(map[HostID]bool, len(hosts))
	for _, l := range hosts {
		seen[l.ID] = true
		h := s.hosts.get(l.ID)
		if h == nil {
			h = &host{refusedPools: make(map[string]bool)}
			s.hosts.put(l.ID, h)
		}
		h.Host = l
		if h.order.given && sentAt.After(h.order.givenAt) {
			s.check(now, h, l)
		}
		if w := s.workers.get(l.Worker); w != nil && w.Host == "" {
			w.Host = l.ID
		}
		if h.order.given && sentAt.After(h.order.doneBy) && l.State == HostUp {
			h.order = hostOrder{}
		}
		if h.order.given && l.State == HostUp && h.order.kind == moveOrder && l.Pool == h.order.pool && l.Worker != "" {
			h.order = hostOrder{}
		}
	}
	for id := range s.hosts.all() {
		if !seen[id] {
			s.hosts.drop(id)
		}
	}
	s.endReplaced()
}

// endReplaced ends workers whose host runs another worker by now.
func (s *Scheduler) endReplaced() {
	for _, h := range s.hosts.all() {
		if h.Worker == "" {
			continue
		}
		cur := s.workers.get(h.Worker)
		if cur == nil {
			continue
		}
		for _, w := range s.workers.all() {
			if w.Host == h.ID && w.ID != cur.ID && w.Born < cur.Born {
				s.endLife(s.listed, w, "its host runs a newer worker")
			}
		}
	}
}

// tickHosts keeps waves and pools going.
func (s *Scheduler) tickHosts(now time.Time) {
	if now.Before(s.nextBalance) || s.listed.IsZero() || now.Sub(s.listed) > listFresh {
		return
	}
	s.nextBalance = now.Add(balanceEvery)
	if now.Before(s.hostsFrom()) || !s.confirmedForHosts(now) {
		return
	}
	s.resend(now)
	s.tickWaves(now)
	s.balance(now)
}

// hostsFrom is when this owner may order hosts: the orders of the owner before must
// have ended for the time of a host's lease, unless it stopped as planned.
func (s *Scheduler) hostsFrom() time.Time {
	if s.cfg.Term == 0 || s.cfg.FormerSilent < 0 {
		return s.startedAt
	}
	return s.startedAt.Add(hostProof + s.cfg.HostLease - s.cfg.FormerSilent)
}

// workerOn returns the worker that runs on a host, or nil.
func (s *Scheduler) workerOn(h *host) *worker {
	if h.Worker == "" {
		return nil
	}
	return s.workers.get(h.Worker)
}

// isFree reports whether a host can be given an order.
func (h *host) isFree(now time.Time) bool {
	return h.State == HostUp && h.order.kind == noOrder && !now.Before(h.retryAt)
}

// isSpare reports whether a pool's hosts are off.
func (s *Scheduler) isSpare(pool string) bool {
	p, ok := s.conf.Pool(pool)
	return ok && p.Spare
}

// duty counts an order against the platform's rate and returns its token.
func (s *Scheduler) duty(now time.Time) (int64, bool) {
	if s.cfg.DutiesPerSecond > 0 {
		// A second's worth may go at once: that is how the platform counts them.
		s.duties = min(s.duties+now.Sub(s.lastDuty).Seconds()*s.cfg.DutiesPerSecond, s.cfg.DutiesPerSecond)
		s.lastDuty = now
		if s.duties < 1 {
			return 0, false
		}
		s.duties--
	}
	s.dutySeq++
	return s.cfg.Epoch*tokenStep + s.dutySeq, true
}

// balance moves hosts to the pools whose tasks wait, from the spare pool and from
// pools whose hosts idle, and idle hosts back to the spare pool.
func (s *Scheduler) balance(now time.Time) {
	wants := s.poolDemands(now)
	s.describe(now, wants)
	for _, p := range wants {
		for _, label := range slices.Sorted(maps.Keys(p.labeled)) {
			if !s.fetch(now, p, label, p.lacks(label), wants) {
				return
			}
		}
		if !s.fetch(now, p, "", p.need, wants) {
			return
		}
	}
	s.releaseIdle(now, wants)
}

// fetch moves up to n hosts with a label to a pool, or any hosts if there is none. It
// reports false once no order may be given now.
func (s *Scheduler) fetch(now time.Time, p *poolDemand, label string, n int, wants []*poolDemand) bool {
	for range max(n, 0) {
		h := s.donor(now, p.name, label, wants)
		if h == nil {
			return true
		}
		from := h.Pool
		if !s.moveHost(now, h, p.name, "tasks wait") {
			return false
		}
		p.need--
		takeSurplus(wants, from)
	}
	return true
}

// donor finds a host with a label, if there is one, for a pool: a spare one, else an idle one of a pool without
// waiting tasks.
func (s *Scheduler) donor(now time.Time, pool, label string, wants []*poolDemand) *host {
	var best *host
	bestRank := 0
	for _, h := range s.hosts.all() {
		if !h.isFree(now) || h.Pool == pool || h.refusedPools[pool] || s.isCordoned(h) {
			continue
		}
		if label != "" && !slices.Contains(h.Labels, label) {
			continue
		}
		rank := 0
		switch w := s.workerOn(h); {
		case s.isSpare(h.Pool):
			rank = 2
		case w != nil && w.runs.len() == 0 && w.greeted && w.failing.IsZero() && !w.Draining && hasSurplus(wants, h.Pool):
			rank = 1
		}
		if rank > bestRank || (rank == bestRank && best != nil && rank > 0 && h.ID < best.ID) {
			best, bestRank = h, rank
		}
	}
	return best
}

// hasSurplus reports whether a pool can give a host away.
func hasSurplus(wants []*poolDemand, pool string) bool {
	return slices.ContainsFunc(wants, func(p *poolDemand) bool { return p.name == pool && p.need < 0 })
}

// takeSurplus counts a host that a pool gives away.
func takeSurplus(wants []*poolDemand, pool string) {
	for _, p := range wants {
		if p.name == pool {
			p.need++
		}
	}
}

// isCordoned reports whether a host is being emptied for its maintenance.
func (s *Scheduler) isCordoned(h *host) bool {
	w := s.workerOn(h)
	return w != nil && w.cordoned
}

// releaseIdle sends hosts that idle to the spare pool.
func (s *Scheduler) releaseIdle(now time.Time, wants []*poolDemand) {
	spare := ""
	for _, p := range s.conf.Pools {
		if p.Spare {
			spare = p.Name
		}
	}
	if spare == "" {
		return
	}
	for _, h := range s.hosts.all() {
		w := s.workerOn(h)
		if w == nil || !h.isFree(now) || s.isSpare(h.Pool) || w.cordoned || h.refusedPools[spare] || !hasSurplus(wants, h.Pool) {
			continue
		}
		if w.runs.len() > 0 || !w.greeted || w.Draining || w.idleSince.IsZero() || now.Sub(w.idleSince) < idleToSpare {
			continue
		}
		if !s.moveHost(now, h, spare, "idle") {
			return
		}
		takeSurplus(wants, h.Pool)
	}
}

// moveHost orders a move. It reports false if no order may be given now.
func (s *Scheduler) moveHost(now time.Time, h *host, pool, reason string) bool {
	if !s.confirmedForHosts(now) {
		return false
	}
	token, ok := s.duty(now)
	if !ok {
		return false
	}
	s.note("host move ordered", "", "Host", string(h.ID), "From", h.Pool, "To", pool, "Reason", reason, "Token", token, "ListAgeMs", now.Sub(s.listed).Milliseconds())
	if w := s.workerOn(h); w != nil {
		w.cordoned, w.ordered = true, true
	}
	h.order = hostOrder{kind: moveOrder, pool: pool, sent: now}
	s.emit(Move{Host: h.ID, Pool: pool, Token: token})
	return true
}

// confirmedForHosts reports whether this owner was proved to be the owner a short
// time ago. Orders for hosts have no lease that would end on its own.
func (s *Scheduler) confirmedForHosts(now time.Time) bool {
	return now.Sub(s.confirmed) < hostProof
}

// Ordered takes the platform's answer to an order for a host.
func (s *Scheduler) Ordered(now time.Time, id HostID, token int64, o Outcome) {
	h := s.hosts.get(id)
	if h == nil || h.order.kind == noOrder || h.order.given {
		return
	}
	if o != Accepted {
		s.note("host order not accepted", "", "Host", string(id), "Token", token, "Outcome", o.String())
	}
	switch o {
	case Accepted:
		s.orderGiven(now, h)
	case Unknown:
		// It may be carried out late, so it stays in force and is sent again.
		h.order.resendAt = now.Add(orderRetry)
	case Fenced:
		s.fenced = true
		s.note("fenced by the platform", "", "Host", string(id), "Token", token)
	case Refused:
		if h.order.kind == moveOrder {
			h.refusedPools[h.order.pool] = true
		}
		s.cancelOrder(now, h)
	default:
		s.cancelOrder(now, h)
	}
}

// orderGiven notes that a host has gone: all that ran there has ended.
func (s *Scheduler) orderGiven(now time.Time, h *host) {
	away := s.cfg.MoveTime
	if h.order.kind == maintainOrder {
		away = s.cfg.MaintenanceTime
		if v := s.waves[h.order.wave]; v != nil {
			s.begun(now, v, h.ID)
		}
	}
	h.order.given = true
	h.order.givenAt = now
	h.order.doneBy = now.Add(away + leaseMargin)
	h.State = HostMoving
	w := s.workerOn(h)
	h.Worker = ""
	if w == nil {
		return
	}
	h.order.former = w.Entry
	if w.runs.len() > 0 {
		// The platform also accepts an order that was carried out before: then nothing
		// ended. The next list tells.
		s.emit(ListHosts{})
		return
	}
	s.endLife(now, w, "its host was ordered away")
}

// check compares an accepted order with a list that was asked for after it.
func (s *Scheduler) check(now time.Time, h *host, l Host) {
	former := h.order.former
	if former.ID == "" {
		return
	}
	h.order.former = Entry{}
	w := s.workers.get(former.ID)
	switch isThere := l.State == HostUp && l.Worker == former.ID; {
	case isThere && w == nil:
		s.Enlist(now, former)
	case isThere:
		s.note("host order had been carried out before", "", "Host", string(h.ID), "Worker", string(w.ID), "Runs", w.runs.len())
		w.ordered, w.cordoned = false, false
		s.dirty = true
	case w != nil && w.Life == former.Life:
		s.endLife(now, w, "its host was ordered away")
	}
}

func (s *Scheduler) cancelOrder(now time.Time, h *host) {
	if w := s.workerOn(h); w != nil {
		w.ordered = false
		w.cordoned = w.cordoned && h.order.kind != moveOrder
		s.dirty = true
	}
	h.order = hostOrder{}
	h.retryAt = now.Add(orderRetry)
}

// resend sends orders without an answer again, with a higher token.
func (s *Scheduler) resend(now time.Time) {
	for _, h := range s.hosts.all() {
		if h.order.resendAt.IsZero() || now.Before(h.order.resendAt) {
			continue
		}
		token, ok := s.duty(now)
		if !ok {
			return
		}
		h.order.resendAt = time.Time{}
		s.sendAgain(h, token)
	}
}

func (s *Scheduler) sendAgain(h *host, token int64) {
	s.note("host order sent again", "", "Host", string(h.ID), "Token", token)
	if h.order.kind == moveOrder {
		s.emit(Move{Host: h.ID, Pool: h.order.pool, Token: token})
		return
	}
	s.emit(Maintain{Host: h.ID, Wave: h.order.wave, Token: token})
}
