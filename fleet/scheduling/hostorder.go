package scheduling

import "time"

const (
	// tokenStep leaves room for the orders of one epoch below the next epoch's tokens.
	tokenStep = 1_000_000
	// orderRetry is the pause before an order for a host is sent again.
	orderRetry = 500 * time.Millisecond
)

// nextHostToken counts an order against the platform's rate and returns its token.
func (s *Scheduler) nextHostToken(now time.Time) (int64, bool) {
	if s.cfg.HostOrdersPerSecond > 0 {
		// A second's worth may go at once: that is how the platform counts them.
		s.hostOrderBudget = min(s.hostOrderBudget+now.Sub(s.hostOrderBudgetAt).Seconds()*s.cfg.HostOrdersPerSecond, s.cfg.HostOrdersPerSecond)
		s.hostOrderBudgetAt = now
		if s.hostOrderBudget < 1 {
			return 0, false
		}
		s.hostOrderBudget--
	}
	s.hostOrderSeq++
	return s.cfg.Epoch*tokenStep + s.hostOrderSeq, true
}

// moveHost orders a move, or reserves the host for it first. It reports false if no
// order may be given now.
func (s *Scheduler) moveHost(now time.Time, h *host, pool, reason string) bool {
	if !s.isConfirmedForHosts(now) {
		return false
	}
	if !s.reserve(now, h, pool) {
		return true
	}
	token, ok := s.nextHostToken(now)
	if !ok {
		return false
	}
	s.note("host move ordered", "", "Host", string(h.ID), "From", h.Pool, "To", pool, "Reason", reason, "Token", token, "ListAgeMs", now.Sub(s.hostsListedAt).Milliseconds())
	if w := s.workerOn(h); w != nil {
		w.cordoned, w.hostOrdered = true, true
	}
	h.order = hostOrder{kind: moveOrder, pool: pool}
	s.emit(Move{Host: h.ID, Pool: pool, Token: token})
	return true
}

// destination is the pool to which a host is on its way, or is about to be ordered.
func (h *host) destination() string {
	switch {
	case h.order.kind == moveOrder:
		return h.order.pool
	case h.reservation.state == reserving:
		return h.reservation.pool
	default:
		return ""
	}
}

// isConfirmedForHosts reports whether this owner was proved to be the owner a short
// time ago. Orders for hosts have no lease that would end on its own.
func (s *Scheduler) isConfirmedForHosts(now time.Time) bool {
	return now.Sub(s.leaderConfirmedAt) < maxHostProofAge
}

// Ordered takes the platform's answer to an order for a host.
func (s *Scheduler) Ordered(now time.Time, id HostID, token int64, o Outcome) {
	h := s.hosts.get(id)
	if h == nil || h.order.kind == noOrder || h.order.accepted {
		return
	}
	if o != Accepted {
		s.note("host order not accepted", "", "Host", string(id), "Token", token, "Outcome", o.String())
	}
	switch o {
	case Accepted:
		s.orderAccepted(now, h)
	case Unknown:
		s.keepReserved(now, h, lateOrders)
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

// orderAccepted notes that a host has gone: all that ran there has ended.
func (s *Scheduler) orderAccepted(now time.Time, h *host) {
	away := s.cfg.MoveTime
	if h.order.kind == maintainOrder {
		away = s.cfg.MaintenanceTime
		if v := s.waves[h.order.wave]; v != nil {
			s.begun(now, v, h.ID)
		}
	}
	h.order.accepted = true
	h.order.acceptedAt = now
	h.order.doneBy = now.Add(away + leaseMargin)
	h.State = HostMoving
	w := s.workerOn(h)
	h.Worker = ""
	if w == nil {
		return
	}
	h.order.previous = w.Entry
	if w.runs.len() > 0 {
		// The platform also accepts an order that was carried out before: then nothing
		// ended. The next list tells.
		s.emit(ListHosts{})
		return
	}
	s.removeWorker(now, w, "its host was ordered away")
}

// checkOrder compares an accepted order with a list that was asked for after it.
func (s *Scheduler) checkOrder(now time.Time, h *host, l Host) {
	previous := h.order.previous
	if previous.ID == "" {
		return
	}
	h.order.previous = Entry{}
	w := s.workers.get(previous.ID)
	switch isThere := l.State == HostUp && l.Worker == previous.ID; {
	case isThere && w == nil:
		s.Register(now, previous)
	case isThere:
		s.note("host order had been carried out before", "", "Host", string(h.ID), "Worker", string(w.ID), "Runs", w.runs.len())
		w.hostOrdered, w.cordoned = false, false
		s.dirty = true
	case w != nil && w.Incarnation == previous.Incarnation:
		s.removeWorker(now, w, "its host was ordered away")
	}
}

func (s *Scheduler) cancelOrder(now time.Time, h *host) {
	if w := s.workerOn(h); w != nil {
		w.hostOrdered = false
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
		token, ok := s.nextHostToken(now)
		if !ok {
			return
		}
		h.order.resendAt = time.Time{}
		s.resendOrder(h, token)
	}
}

func (s *Scheduler) resendOrder(h *host, token int64) {
	s.note("host order sent again", "", "Host", string(h.ID), "Token", token)
	if h.order.kind == moveOrder {
		s.emit(Move{Host: h.ID, Pool: h.order.pool, Token: token})
		return
	}
	s.emit(Maintain{Host: h.ID, Wave: h.order.wave, Token: token})
}
