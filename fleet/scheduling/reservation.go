package scheduling

import "time"

// An owner reserves a host in the store before its first order for it, so that the next
// owner knows which hosts an order may still be under way for. It leaves those alone
// until the order has ended, and may order all others at once.

// HostPrefix precedes the ID of a host that an owner may order.
const HostPrefix = "h/"

// reservedValue is the value of a reservation; the key says all.
const reservedValue = "1"

// reservationState is how far the record of a reservation is.
type reservationState int

const (
	unreserved reservationState = iota
	// reserving records are not stored yet.
	reserving
	reserved
)

// reservation is the owner's right to order a host.
type reservation struct {
	state reservationState
	// pool is where the host is to go once the reservation is stored.
	pool string
	// keptUntil is when all orders under it have ended for a host's lease.
	keptUntil time.Time
}

// reserve reports whether a host may be ordered now. If not, it has its reservation
// stored.
func (s *Scheduler) reserve(now time.Time, h *host, pool string) bool {
	if h.reservation.state == unreserved {
		h.reservation = reservation{state: reserving}
		s.records = append(s.records, Record{Key: HostPrefix + string(h.ID), Value: []byte(reservedValue)})
		s.reserving = append(s.reserving, h.ID)
	}
	h.reservation.pool = pool
	s.keepReserved(now, h, s.cfg.HostLease)
	return h.reservation.state == reserved
}

// keepReserved lets a reservation stand for a time after an order that goes out now.
func (s *Scheduler) keepReserved(now time.Time, h *host, d time.Duration) {
	if until := now.Add(maxHostProofAge + d); until.After(h.reservation.keptUntil) {
		h.reservation.keptUntil = until
	}
}

// reservationsStored tells that the reservations of some hosts are in the store.
func (s *Scheduler) reservationsStored(ids []HostID) {
	for _, id := range ids {
		if h := s.hosts.get(id); h != nil && h.reservation.state == reserving {
			h.reservation.state = reserved
			s.nextBalance = time.Time{}
		}
	}
}

// endReservations drops those whose orders have all ended.
func (s *Scheduler) endReservations(now time.Time) {
	for _, h := range s.hosts.all() {
		if h.reservation.state == reserved && h.order.kind == noOrder && !now.Before(h.reservation.keptUntil) {
			s.dropReservation(h)
		}
	}
}

func (s *Scheduler) dropReservation(h *host) {
	if h.reservation.state == unreserved {
		return
	}
	h.reservation = reservation{}
	s.records = append(s.records, Record{Key: HostPrefix + string(h.ID)})
}

// inherit takes up the reservations of earlier owners. Orders under them may be under
// way until inheritedHostsFrom, and be carried out late after it.
func (s *Scheduler) inherit(h *host) {
	if !s.inheritedHosts[h.ID] {
		return
	}
	delete(s.inheritedHosts, h.ID)
	h.inherited = true
	h.reservation = reservation{state: reserved, keptUntil: s.startedAt.Add(lateOrders)}
}

// mayOrder reports whether no order of an earlier owner is under way for a host.
func (s *Scheduler) mayOrder(now time.Time, h *host) bool {
	return !h.inherited || !now.Before(s.inheritedHostsFrom())
}
