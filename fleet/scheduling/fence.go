package scheduling

import "time"

// Workers carry out no order with a lower fencing token than the highest that they have seen. An order without an
// answer may be carried out some seconds later, also by the worker's next incarnation. So the token of a worker's
// orders also rises while one leader lasts: after each start or hold without an answer, before a start if the last
// hold may be delayed, and with each incarnation. An incarnation that has answered an order with the present token
// carries out no earlier order any more. Late stops and paces raise no token: they name a run, and run numbers
// don't repeat.

const (
	// tokensPerTerm is the number of tokens for orders to workers in a term, so that those of the next
	// leader are higher. They rise with the milliseconds since the takeover: it lasts for three years.
	tokensPerTerm = 100_000_000_000
	// maxTransferTime is how long an order takes to reach its worker, unless it is delayed. A later order
	// with a higher token doesn't overtake one that was sent so long before.
	maxTransferTime = 100 * time.Millisecond
)

// nextToken returns a token that is higher than all that this leader has used for its orders to workers.
func (s *Scheduler) nextToken(now time.Time) int64 {
	s.lastToken = max(s.lastToken+1, now.Sub(s.startedAt).Milliseconds())
	return (s.cfg.Term+1)*tokensPerTerm + s.lastToken
}

// fenceEarlierOrders raises the token of the worker's orders, so that it carries out no earlier order once it has
// carried out the next one.
func (s *Scheduler) fenceEarlierOrders(now time.Time, w *worker) {
	w.token = s.nextToken(now)
}

// fenceDelayedHold raises the token before a start if the last hold may be delayed. The incarnation that accepts
// the start then no longer takes a lease or an acknowledgement from that hold.
func (s *Scheduler) fenceDelayedHold(now time.Time, w *worker) {
	if w.holdPending && w.holdToken == w.token && now.Sub(w.holdSentAt) > maxTransferTime {
		s.fenceEarlierOrders(now, w)
	}
}

// isOvertaken reports whether an order was rejected since a later order of this leader overtook it. It
// wasn't carried out.
func (s *Scheduler) isOvertaken(id WorkerID, a Answer) bool {
	if a.Outcome != Fenced || a.Token == 0 {
		return false
	}
	w := s.workers.get(id)
	return w == nil || a.Token < w.token
}
