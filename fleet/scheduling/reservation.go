package scheduling

import "time"

// A leader stores a reservation of a host before its first order for it. The next leader
// thus knows for which hosts an order may still be in progress: it waits with those until
// the order has ended, and may order all other hosts at once.

// HostPrefix is the key prefix of host reservations; the host's ID follows.
const HostPrefix = "h/"

// reservedValue is the value of a reservation's record. The key holds all information.
const reservedValue = "1"

// reservationState is the state of a reservation's record.
type reservationState int

const (
	unreserved reservationState = iota
	// reserving records aren't stored yet.
	reserving
	reserved
)

// reservation allows the leader to order a host.
type reservation struct {
	state reservationState
	// pool is where the host moves once the reservation is stored.
	pool string
	// keptUntil is when no order under the reservation can be in effect any more.
	keptUntil time.Time
}

// reserve reports whether the host's reservation is stored, so that the host may be
// ordered now. It adds a missing reservation to the next commit.
func (s *Scheduler) reserve(now time.Time, h *host, pool string) bool {
	if h.reservation.state == unreserved {
		h.reservation = reservation{state: reserving}
		s.records = append(s.records, Record{Key: HostPrefix + string(h.ID), Value: []byte(reservedValue)})
		s.reserving = append(s.reserving, h.ID)
	}
	h.reservation.pool = pool
	s.extendReservation(now, h, s.cfg.HostLease)
	return h.reservation.state == reserved
}

// extendReservation keeps a reservation for at least d after the latest time at which an
// order that is decided now can be sent, which is maxHostProofAge from now.
func (s *Scheduler) extendReservation(now time.Time, h *host, d time.Duration) {
	if until := now.Add(maxHostProofAge + d); until.After(h.reservation.keptUntil) {
		h.reservation.keptUntil = until
	}
}

// reservationsStored records that the reservations of the hosts are stored.
func (s *Scheduler) reservationsStored(ids []HostID) {
	for _, id := range ids {
		if h := s.hosts.get(id); h != nil && h.reservation.state == reserving {
			h.reservation.state = reserved
			s.nextBalance = time.Time{}
		}
	}
}

// dropEndedReservations drops the reservations whose orders have all ended.
func (s *Scheduler) dropEndedReservations(now time.Time) {
	for _, h := range s.hosts.all() {
		if h.reservation.state == reserved && h.order.kind == noOrder && !now.Before(h.reservation.keptUntil) {
			s.dropReservation(h)
		}
	}
}

// dropReservation removes a host's reservation and its record.
func (s *Scheduler) dropReservation(h *host) {
	if h.reservation.state == unreserved {
		return
	}
	h.reservation = reservation{}
	s.records = append(s.records, Record{Key: HostPrefix + string(h.ID)})
}

// inheritReservation takes over a host's reservation by an earlier leader. Orders under
// it may be in progress until inheritedHostsFrom, and the platform may execute unanswered
// ones later, within maxOrderDelay.
func (s *Scheduler) inheritReservation(h *host) {
	if !s.inheritedHosts[h.ID] {
		return
	}
	delete(s.inheritedHosts, h.ID)
	h.inherited = true
	h.reservation = reservation{state: reserved, keptUntil: s.startedAt.Add(maxOrderDelay)}
}

// mayBeOrderedByEarlierLeader reports whether an unanswered order of an earlier leader may still
// be executed for a host. An order of this leader fences it.
func (h *host) mayBeOrderedByEarlierLeader(now time.Time) bool {
	return h.inherited && h.reservation.state == reserved && h.order.kind == noOrder && now.Before(h.reservation.keptUntil)
}

// mayOrderHost reports whether no order of an earlier leader can be in progress for a
// host.
func (s *Scheduler) mayOrderHost(now time.Time, h *host) bool {
	return !h.inherited || !now.Before(s.inheritedHostsFrom())
}
