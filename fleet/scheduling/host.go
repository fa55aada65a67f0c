package scheduling

import "time"

// listFresh is how old the list of hosts may be for an order.
const listFresh = 3 * time.Second

// host is a host of the fleet.
type host struct {
	Host
	// order is the order that is out or was accepted and hasn't shown in the list yet.
	order hostOrder
	// refusedPools are pools to which the platform won't move the host.
	refusedPools map[string]bool
	retryAt      time.Time
	reservation  reservation
	// inherited hosts were reserved by an earlier owner.
	inherited bool
}

type orderKind int

const (
	noOrder orderKind = iota
	moveOrder
	maintainOrder
)

// hostOrder is one order for a host.
type hostOrder struct {
	kind orderKind
	pool string
	wave int64
	// doneBy is when the effect of an accepted order is over.
	doneBy time.Time
	// accepted is set once the order was accepted, at acceptedAt.
	accepted   bool
	acceptedAt time.Time
	// previous is the worker that ran on the host until a list tells what became of it.
	previous Entry
	// resendAt is when an order without an answer is sent again, or zero.
	resendAt time.Time
}

// HostsListed takes the platform's list of hosts.
func (s *Scheduler) HostsListed(now time.Time, sentAt time.Time, hosts []Host) {
	s.hostsListedAt = now
	seen := make(map[HostID]bool, len(hosts))
	for _, l := range hosts {
		seen[l.ID] = true
		h := s.hosts.get(l.ID)
		if h == nil {
			h = &host{Host: l, refusedPools: make(map[string]bool)}
			s.hosts.put(l.ID, h)
			s.inherit(h)
		}
		h.Host = l
		if h.order.accepted && sentAt.After(h.order.acceptedAt) {
			s.checkOrder(now, h, l)
		}
		if w := s.workers.get(l.Worker); w != nil && w.Host == "" {
			w.Host = l.ID
		}
		if h.order.accepted && sentAt.After(h.order.doneBy) && l.State == HostUp {
			h.order = hostOrder{}
		}
		if h.order.accepted && l.State == HostUp && h.order.kind == moveOrder && l.Pool == h.order.pool && l.Worker != "" {
			h.order = hostOrder{}
		}
	}
	for id, h := range s.hosts.all() {
		if !seen[id] {
			s.dropReservation(h)
			s.hosts.drop(id)
		}
	}
	s.endReplaced()
	s.classify()
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
			if w.Host == h.ID && w.ID != cur.ID && w.StartedAt < cur.StartedAt {
				s.removeWorker(s.hostsListedAt, w, "its host runs a newer worker")
			}
		}
	}
}

// tickHosts keeps waves and pools going.
func (s *Scheduler) tickHosts(now time.Time) {
	if now.Before(s.nextBalance) || s.hostsListedAt.IsZero() || now.Sub(s.hostsListedAt) > listFresh {
		return
	}
	s.nextBalance = now.Add(balanceEvery)
	if !s.isConfirmedForHosts(now) {
		return
	}
	s.endReservations(now)
	s.resend(now)
	if !now.Before(s.inheritedHostsFrom()) {
		s.tickWaves(now)
	}
	s.balance(now)
}

// inheritedHostsFrom is when this owner may order the hosts that the owner before had reserved:
// the orders for them must have ended for the time of a host's lease, unless it has
// ended for certain. Waves wait for it as a whole, as they count hosts that are down.
func (s *Scheduler) inheritedHostsFrom() time.Time {
	if s.cfg.Term == 0 || s.cfg.PreviousLeaderSilence < 0 {
		return s.startedAt
	}
	return s.startedAt.Add(maxHostProofAge + s.cfg.HostLease - s.cfg.PreviousLeaderSilence)
}

// workerOn returns the worker that runs on a host, or nil.
func (s *Scheduler) workerOn(h *host) *worker {
	if h.Worker == "" {
		return nil
	}
	return s.workers.get(h.Worker)
}

// isFree reports whether a host can be given an order.
func (s *Scheduler) isFree(now time.Time, h *host) bool {
	return h.State == HostUp && h.order.kind == noOrder && !now.Before(h.retryAt) && s.mayOrder(now, h)
}

// isSpare reports whether a pool's hosts are off.
func (s *Scheduler) isSpare(pool string) bool {
	p, ok := s.conf.Pool(pool)
	return ok && p.Spare
}
