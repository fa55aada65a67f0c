package scheduling

import "time"

const (
	// maxHostListAge is the maximum age of the host list on which host orders are based.
	maxHostListAge = 3 * time.Second
	// minAbsentLists lists in a row, requested over minAbsence, lack a host that has left the
	// fleet, or a worker that has ended. One list may lack a host that stays: its pages are no snapshot.
	minAbsentLists = 3
	minAbsence     = 2 * time.Second
)

// absence counts the lists in a row that lack a host or a worker. The first was requested at since,
// the last at until.
type absence struct {
	lists        int
	since, until time.Time
}

// extended returns the absence with one more list.
func (a absence) extended(sentAt time.Time) absence {
	if a.lists == 0 {
		a.since = sentAt
	}
	a.lists++
	a.until = sentAt
	return a
}

// isProven reports whether the lists suffice to tell that the host or worker is gone.
func (a absence) isProven() bool {
	return a.lists >= minAbsentLists && a.until.Sub(a.since) >= minAbsence
}

// hasLeft reports whether a host has left the fleet. A host that no list has had time to
// contain hasn't.
func (s *Scheduler) hasLeft(id HostID) bool {
	return s.absent[id].isProven()
}

// updateAbsent counts a list, in which the hosts in seen are, and drops the hosts that have
// left. Until then an absent host keeps its order and its reservation.
func (s *Scheduler) updateAbsent(sentAt time.Time, seen map[HostID]bool) {
	absent := make(map[HostID]absence)
	count := func(id HostID) {
		if seen[id] || absent[id].lists > 0 {
			return
		}
		absent[id] = s.absent[id].extended(sentAt)
	}
	for id := range s.hosts.all() {
		count(id)
	}
	for _, v := range s.waves {
		if v.Completed {
			continue
		}
		for _, id := range v.Hosts {
			count(id)
		}
	}
	s.absent = absent
	for id, h := range s.hosts.all() {
		if s.hasLeft(id) {
			s.dropReservation(h)
			s.hosts.drop(id)
		}
	}
}

// host is a host of the fleet.
type host struct {
	Host
	// order is sent, or accepted and not yet visible in the platform's host list.
	order hostOrder
	// refusedPools are the pools to which the platform refused to move the host.
	refusedPools map[string]bool
	retryAt      time.Time
	reservation  reservation
	// inherited hosts were reserved by an earlier leader.
	inherited bool
	// latestStart is the highest start time of the host's workers that were removed, in Unix milliseconds.
	latestStart int64
}

type orderKind int

const (
	noOrder orderKind = iota
	moveOrder
	maintainOrder
)

// hostOrder is a move or maintenance order for a host.
type hostOrder struct {
	kind orderKind
	pool string
	wave int64
	// doneBy is when the move or maintenance of an accepted order has ended.
	doneBy time.Time
	// accepted is set once the platform accepted the order, at acceptedAt.
	accepted   bool
	acceptedAt time.Time
	// previous is the worker that ran on the host. It is kept until a host list shows
	// whether that worker ended.
	previous Entry
	// resendAt is when an unanswered order is sent again; zero if it isn't.
	resendAt time.Time
}

// HostsListed updates the hosts from the platform's list, requested at sentAt.
func (s *Scheduler) HostsListed(now time.Time, sentAt time.Time, hosts []Host) {
	s.hostsListedAt, s.hostsRequestedAt = now, sentAt
	seen := make(map[HostID]bool, len(hosts))
	for _, l := range hosts {
		seen[l.ID] = true
		h := s.hosts.get(l.ID)
		if h == nil {
			h = &host{Host: l, refusedPools: make(map[string]bool)}
			s.hosts.put(l.ID, h)
			s.inheritReservation(h)
		}
		h.Host = l
		if h.order.accepted && sentAt.After(h.order.acceptedAt) {
			s.checkHostOrder(now, h, l)
		}
		s.registerListed(now, sentAt, h)
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
	s.updateAbsent(sentAt, seen)
	s.removeReplaced()
	s.removeMoved(now, sentAt)
	s.removeUnlisted(now, sentAt, hosts)
	s.updateHostClasses()
}

// removeReplaced removes workers whose host now runs a newer worker.
func (s *Scheduler) removeReplaced() {
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
				s.replaceCrashed(s.hostsListedAt, w, s.endedBefore(s.hostsListedAt, cur.StartedAt), "its host runs a newer worker")
			}
		}
	}
}

// removeMoved removes workers that don't answer and whose host is being moved or maintained, or was
// moved to a spare pool. That ends all runs on the host, and an earlier leader may have ordered it. A
// list that was requested before the worker ceased to answer may be older than the worker, but
// those of an earlier leader that haven't answered yet are older than this leader.
func (s *Scheduler) removeMoved(now, sentAt time.Time) {
	for _, w := range s.workers.all() {
		h := s.hosts.get(w.Host)
		if h == nil || !s.isSilentBefore(w, sentAt) || h.order.kind != noOrder {
			continue
		}
		isAway := h.State == HostMoving || h.State == HostMaintenance
		if isAway || h.Pool != w.Pool && s.isSpare(h.Pool) {
			s.removeWorker(now, w, "a host list shows its host away")
		}
	}
}

// isSilentBefore reports whether a worker has not answered since before a list was requested.
func (s *Scheduler) isSilentBefore(w *worker, sentAt time.Time) bool {
	silentSince := w.unreachableSince
	if s.isUnaccounted(w.ID) && !w.contacted {
		silentSince = w.registeredAt
	}
	return !silentSince.IsZero() && sentAt.After(silentSince)
}

// removeUnlisted removes workers that don't answer and that the lists don't show on any host. They
// have ended, whichever leader has extended their leases. Lists do show a worker that is only cut off.
func (s *Scheduler) removeUnlisted(now, sentAt time.Time, hosts []Host) {
	listed := make(map[WorkerID]bool, len(hosts))
	for _, h := range hosts {
		listed[h.Worker] = true
	}
	for _, w := range s.workers.all() {
		if listed[w.ID] && s.isSilentBefore(w, sentAt.Add(-clearingSilence)) {
			w.clearRuns(sentAt)
			if w.shownAt.IsZero() {
				w.shownAt = sentAt
			}
		}
		if w.Host == "" || listed[w.ID] || !s.isSilentBefore(w, sentAt) {
			w.unlisted = absence{}
			continue
		}
		if w.unlisted = w.unlisted.extended(sentAt); w.unlisted.isProven() {
			s.replaceCrashed(now, w, w.unlisted.since, "host lists no longer show it")
		}
	}
}

// tickHosts advances waves and balances pools.
func (s *Scheduler) tickHosts(now time.Time) {
	if now.Before(s.nextBalance) || s.hostsListedAt.IsZero() || now.Sub(s.hostsListedAt) > maxHostListAge {
		return
	}
	s.nextBalance = now.Add(balanceInterval)
	if !s.isConfirmedForHosts(now) {
		return
	}
	s.dropEndedReservations(now)
	s.resendHostOrders(now)
	if !now.Before(s.inheritedHostsFrom()) {
		s.tickWaves(now)
	}
	s.balance(now)
}

// inheritedHostsFrom returns when this leader may order hosts that the previous leader
// reserved. The previous leader's last order for them must be a host lease in the past,
// unless that leader has certainly ended. Its heartbeats don't tell when that was: stored
// commits and heartbeats behind this leader's claim confirm a leadership too, until the
// fence, which is in force before startedAt. Waves wait until then as a whole, because
// they count the hosts that are down.
func (s *Scheduler) inheritedHostsFrom() time.Time {
	if s.cfg.Term == 0 || s.cfg.PreviousHeartbeatAge < 0 {
		return s.startedAt
	}
	return s.startedAt.Add(maxHostProofAge + s.cfg.HostLease)
}

// workerOn returns the known worker on a host, or nil.
func (s *Scheduler) workerOn(h *host) *worker {
	if h.Worker == "" {
		return nil
	}
	return s.workers.get(h.Worker)
}

// isFree reports whether a host can take an order now.
func (s *Scheduler) isFree(now time.Time, h *host) bool {
	_, isAbsent := s.absent[h.ID]
	return h.State == HostUp && !isAbsent && h.order.kind == noOrder && !now.Before(h.retryAt) && s.mayOrderHost(now, h)
}

// isSpare reports whether a pool holds spare hosts, which are switched off.
func (s *Scheduler) isSpare(pool string) bool {
	p, ok := s.configuration.Pool(pool)
	return ok && p.Spare
}
