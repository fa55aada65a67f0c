package scheduling

import "time"

const (
	// tokensPerEpoch is the number of host order tokens reserved for each epoch, so that
	// those of the next epoch are higher.
	tokensPerEpoch = 1_000_000
	// orderRetryDelay is the delay before a host order is retried.
	orderRetryDelay = 500 * time.Millisecond
	// hostOrderShare is the share of the allowed rate of orders that is used. Orders may arrive closer
	// together than they were sent.
	hostOrderShare = 0.9
)

// nextHostToken takes one host order from the rate limit and returns its token. It
// reports false if the limit is reached.
func (s *Scheduler) nextHostToken(now time.Time) (int64, bool) {
	if s.cfg.HostOrdersPerSecond > 0 {
		begun := now.Add(-time.Second)
		for len(s.hostOrdersAt) > 0 && !s.hostOrdersAt[0].After(begun) {
			s.hostOrdersAt = s.hostOrdersAt[1:]
		}
		if float64(len(s.hostOrdersAt)+1) > s.maxHostOrders(now) {
			return 0, false
		}
		s.hostOrdersAt = append(s.hostOrdersAt, now)
	}
	s.hostOrderSeq++
	return s.cfg.Epoch*tokensPerEpoch + s.hostOrderSeq, true
}

// maxHostOrders returns how many orders for hosts may be sent within a second. In the first second
// those of the previous leader count too.
func (s *Scheduler) maxHostOrders(now time.Time) float64 {
	if now.Sub(s.startedAt) < time.Second {
		return max(s.cfg.HostOrdersPerSecond/2, 1)
	}
	return max(hostOrderShare*s.cfg.HostOrdersPerSecond, 1)
}

// moveHost orders the move of a host to a pool, or reserves the host for it first. It
// reports false if no host order may be sent now.
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
	s.logDecision("host move ordered", "", "Host", string(h.ID), "From", h.Pool, "To", pool, "Reason", reason, "Token", token, "ListAgeMs", now.Sub(s.hostsListedAt).Milliseconds())
	if w := s.workerOn(h); w != nil {
		w.cordoned, w.hostOrdered = true, true
	}
	h.order = hostOrder{kind: moveOrder, pool: pool}
	delete(s.lapsedRuns, h.ID)
	s.emit(Move{Host: h.ID, Pool: pool, Token: token})
	return true
}

// destination returns the pool to which a host is moving, or will move once its
// reservation is stored. It is empty if there is none.
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

// isConfirmedForHosts reports whether leadership was confirmed recently enough for host
// orders, which unlike runs have no lease that expires, and whether the view of waiting jobs
// on which moves rest is current.
func (s *Scheduler) isConfirmedForHosts(now time.Time) bool {
	return now.Sub(s.leaderConfirmedAt) < maxHostProofAge && s.isViewCurrent()
}

// Ordered handles the platform's answer to a host order.
func (s *Scheduler) Ordered(now time.Time, id HostID, token int64, o Outcome) {
	h := s.hosts.get(id)
	if h == nil || h.order.kind == noOrder || h.order.accepted {
		return
	}
	if o != Accepted {
		s.logDecision("host order not accepted", "", "Host", string(id), "Token", token, "Outcome", o.String())
	}
	switch o {
	case Accepted:
		s.hostOrderAccepted(now, h)
	case Unknown:
		s.extendReservation(now, h, maxOrderDelay)
		// The platform may still execute it, so the order stays and is sent again.
		h.order.resendAt = now.Add(orderRetryDelay)
	case Fenced:
		s.fenced = true
		s.logDecision("fenced by the platform", "", "Host", string(id), "Token", token)
	case Refused:
		if h.order.kind == moveOrder {
			h.refusedPools[h.order.pool] = true
		}
		s.cancelHostOrder(now, h)
	default:
		s.cancelHostOrder(now, h)
	}
}

// hostOrderAccepted records that the platform accepted a host's order, which ends all
// runs on the host.
func (s *Scheduler) hostOrderAccepted(now time.Time, h *host) {
	downtime := s.cfg.MoveTime
	if h.order.kind == maintainOrder {
		downtime = s.cfg.MaintenanceTime
		if v := s.waves[h.order.wave]; v != nil {
			s.markMaintenanceBegun(now, v, h.ID)
		}
	}
	h.order.accepted = true
	h.order.acceptedAt = now
	h.order.doneBy = now.Add(downtime + leaseMargin)
	h.State = HostMoving
	w := s.workerOn(h)
	h.Worker = ""
	if w == nil {
		return
	}
	h.order.previous = w.Entry
	if w.runs.len() > 0 {
		// The platform also accepts an order that it has executed before, which ends no
		// runs. The next host list shows which case it is.
		s.emit(ListHosts{})
		return
	}
	s.removeWorker(now, w, "its host is being moved or maintained")
}

// checkHostOrder compares an accepted order with a host list that was requested after it.
func (s *Scheduler) checkHostOrder(now time.Time, h *host, l Host) {
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
		s.logDecision("host order had been carried out before", "", "Host", string(h.ID), "Worker", string(w.ID), "Runs", w.runs.len())
		w.hostOrdered, w.cordoned = false, false
		s.dirty = true
	case w != nil && w.Incarnation == previous.Incarnation:
		s.removeWorker(now, w, "its host is being moved or maintained")
	}
}

// cancelHostOrder drops a host's order and lets the host be ordered again after
// orderRetryDelay.
func (s *Scheduler) cancelHostOrder(now time.Time, h *host) {
	if w := s.workerOn(h); w != nil {
		w.hostOrdered = false
		w.cordoned = w.cordoned && h.order.kind != moveOrder
		s.dirty = true
	}
	h.order = hostOrder{}
	h.retryAt = now.Add(orderRetryDelay)
}

// resendHostOrders sends unanswered host orders again, each with a higher token.
func (s *Scheduler) resendHostOrders(now time.Time) {
	for _, h := range s.hosts.all() {
		if h.order.resendAt.IsZero() || now.Before(h.order.resendAt) {
			continue
		}
		token, ok := s.nextHostToken(now)
		if !ok {
			return
		}
		h.order.resendAt = time.Time{}
		s.resendHostOrder(h, token)
	}
}

func (s *Scheduler) resendHostOrder(h *host, token int64) {
	s.logDecision("host order sent again", "", "Host", string(h.ID), "Token", token)
	if h.order.kind == moveOrder {
		s.emit(Move{Host: h.ID, Pool: h.order.pool, Token: token})
		return
	}
	s.emit(Maintain{Host: h.ID, Wave: h.order.wave, Token: token})
}
