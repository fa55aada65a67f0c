package scheduling

import (
	"maps"
	"slices"
	"time"
)

const (
	// balanceInterval is the interval between two rounds of balancing.
	balanceInterval = 100 * time.Millisecond
	// idleReleaseDelay is how long a worker must be idle before its host moves to the
	// spare pool. A move costs about as much as 1.1 s of a host in a pool, and the peaks
	// of queues last seconds, so a shorter delay would cause moves that are soon undone.
	idleReleaseDelay = 700 * time.Millisecond
	// poolLogInterval is the interval between two log lines of a pool.
	poolLogInterval = time.Second
)

// balance moves spare hosts and idle hosts of pools with a surplus to the pools with
// waiting tasks, and idle hosts back to the spare pool.
func (s *Scheduler) balance(now time.Time) {
	s.demand.Advance(now)
	pools := s.poolDemands(now)
	s.logPools(now, pools)
	for _, p := range pools {
		for _, label := range slices.Sorted(maps.Keys(p.labeled)) {
			if !s.moveHostsTo(now, p, label, p.labelShortage(label), pools) {
				return
			}
		}
	}
	for {
		p := neediest(pools)
		if p == nil {
			break
		}
		need := p.need
		if !s.moveHostsTo(now, p, "", 1, pools) {
			return
		}
		if p.need == need {
			p.need = 0 // no host can move to the pool
		}
	}
	s.releaseIdle(now, pools)
}

// moveHostsTo moves up to n hosts to a pool; they must have the label unless it is empty.
// It reports false if no more host orders may be sent now.
func (s *Scheduler) moveHostsTo(now time.Time, p *poolDemand, label string, n int, pools []*poolDemand) bool {
	for range max(n, 0) {
		h := s.hostToMove(now, p.name, label, pools)
		if h == nil {
			return true
		}
		from := h.Pool
		if !s.moveHost(now, h, p.name, "tasks wait") {
			return false
		}
		p.need--
		p.shortOfLoad--
		p.arrivingHosts++
		takeSurplus(pools, from)
	}
	return true
}

// hostToMove returns a host that can move to a pool: an idle one of a pool with a surplus that would
// leave for the spare pool, as one move is then enough, else a spare one, else another idle one of
// a pool with a surplus, or nil. It must have the label unless the label is empty.
func (s *Scheduler) hostToMove(now time.Time, pool, label string, pools []*poolDemand) *host {
	var best *host
	bestRank := 0
	for _, h := range s.hosts.all() {
		if !s.isFree(now, h) || h.reservation.state == reserving || h.Pool == pool || h.refusedPools[pool] || s.isCordoned(h) {
			continue
		}
		if label != "" && !slices.Contains(h.Labels, label) {
			continue
		}
		rank := 0
		switch w := s.workerOn(h); {
		case s.isSpare(h.Pool):
			rank = 2
		case w == nil || w.runs.len() > 0 || !w.contacted || !w.unreachableSince.IsZero() || w.Draining || !hasSurplus(pools, h.Pool):
		case s.mayRelease(now, w):
			rank = 3
		default:
			rank = 1
		}
		if rank > bestRank || (rank == bestRank && best != nil && rank > 0 && h.ID < best.ID) {
			best, bestRank = h, rank
		}
	}
	return best
}

// hasSurplus reports whether a pool has more hosts than it needs.
func hasSurplus(pools []*poolDemand, pool string) bool {
	return slices.ContainsFunc(pools, func(p *poolDemand) bool { return p.name == pool && p.need < 0 })
}

// takeSurplus counts a host that leaves a pool.
func takeSurplus(pools []*poolDemand, pool string) {
	for _, p := range pools {
		if p.name == pool {
			p.need++
		}
	}
}

// isCordoned reports whether a host's worker gets no new runs.
func (s *Scheduler) isCordoned(h *host) bool {
	w := s.workerOn(h)
	return w != nil && w.cordoned
}

// releaseIdle moves idle hosts of pools with a surplus to the spare pool.
func (s *Scheduler) releaseIdle(now time.Time, pools []*poolDemand) {
	spare := ""
	for _, p := range s.configuration.Pools {
		if p.Spare {
			spare = p.Name
		}
	}
	if spare == "" {
		return
	}
	for _, h := range s.hosts.all() {
		w := s.workerOn(h)
		if w == nil || !s.isFree(now, h) || s.isSpare(h.Pool) || w.cordoned || h.refusedPools[spare] || !hasSurplus(pools, h.Pool) {
			continue
		}
		if w.runs.len() > 0 || !w.contacted || w.Draining || !s.mayRelease(now, w) {
			continue
		}
		if !s.moveHost(now, h, spare, "idle") {
			return
		}
		takeSurplus(pools, h.Pool)
	}
}

// mayRelease reports whether an idle worker's host may leave a pool with a surplus.
func (s *Scheduler) mayRelease(now time.Time, w *worker) bool {
	delay := idleReleaseDelay
	if s.hasTurnEnded(now, w.Pool) {
		delay = 0
	}
	return !w.idleSince.IsZero() && now.Sub(w.idleSince) >= delay
}

// hasTurnEnded reports whether a turn of a pool's queue has just ended, so that its hosts won't be
// needed for some time.
func (s *Scheduler) hasTurnEnded(now time.Time, pool string) bool {
	for _, name := range s.demand.Queues() {
		if q, ok := s.knownQueue(name); ok && q.Pool == pool && s.demand.EndedWithin(now, name, turnEndTime) {
			return true
		}
	}
	return false
}

// turnEndTime is how long after the end of a turn hosts leave without delay.
const turnEndTime = 3 * time.Second
