package scheduling

import (
	"slices"
	"time"
)

// A worker may start again under its ID, and the leader learns of that only with the next report or
// entry. Until then the next incarnation takes orders that were meant for the one before: orders name the
// ID alone. It knows nothing of that one, and its clock and the numbers of its ends begin anew. So
//   - it carries out starts that the leader counts as runs of the former incarnation;
//   - a deadline on the former clock lies far ahead on its own, so that it grants itself the longest lease;
//   - an acknowledgement of the former ends makes it drop its own ends with these numbers.

const (
	// maxCallTime bounds how long after it was sent an order may still reach a worker. Connecting
	// and answering have shorter timeouts.
	maxCallTime = 500 * time.Millisecond
	// maxAckAge is how long after a worker's last report its ends may be acknowledged. It is shorter
	// than a restart takes.
	maxAckAge = 200 * time.Millisecond
	// clockTolerance is by how much the clock of an answer may be behind that of an earlier one. It
	// covers answers that are handled late or out of order.
	clockTolerance = time.Second
)

// showsRestart reports whether the clock in an answer is behind where the worker's clock must be, so that a later
// incarnation has answered.
func (w *worker) showsRestart(now time.Time, clockMs int64) bool {
	if w.clockAt.IsZero() || clockMs <= 0 {
		return false
	}
	return clockMs < w.earliestClock(now)-clockTolerance.Milliseconds()
}

// suspectRestart handles an answer that shows a restart: the worker gets no runs until its next report.
func (s *Scheduler) suspectRestart(now time.Time, w *worker, clockMs int64) {
	s.logDecision("worker has restarted", "", "Worker", string(w.ID), "Born", w.StartedAt, "ClockMs", clockMs, "LastClockMs", w.clockMs,
		"AgeMs", now.Sub(w.clockAt).Milliseconds())
	s.allowForRestart(w)
	w.restartSuspected = true
	if !w.holdPending {
		w.nextHold = now
	}
}

// longestLeaseUntil returns until when a later incarnation may run what it took from orders that were sent until
// sentAt.
func (s *Scheduler) longestLeaseUntil(sentAt time.Time) time.Time {
	return sentAt.Add(maxCallTime + lapseTime(s.cfg.MaxLease))
}

// allowForRestart extends the worker's lease to that of a later incarnation, which may have taken the latest
// orders. Further orders extend it likewise, until a report proves that the incarnation is the same.
func (s *Scheduler) allowForRestart(w *worker) {
	w.mayHaveRestarted = true
	if !w.deadlineSentAt.IsZero() {
		w.extendLeaseUntil(s.longestLeaseUntil(w.deadlineSentAt))
	}
}

// recordDeadline records that an order with a deadline is sent to a worker.
func (s *Scheduler) recordDeadline(now time.Time, w *worker) {
	w.deadlineSentAt = now
	if w.mayHaveRestarted {
		w.extendLeaseUntil(s.longestLeaseUntil(now))
	}
}

// proveIncarnation records that a report of the worker's incarnation has arrived.
func (w *worker) proveIncarnation(now time.Time) {
	w.reportedAt = now
	w.mayHaveRestarted, w.restartSuspected = false, false
}

// replaceIncarnation replaces a worker by its next incarnation under the same ID. Runs that no report
// of the previous incarnation has listed, and unanswered starts, may have reached the next one or may do so
// yet. It is told to stop them, and their tasks wait until that is confirmed or its lease has lapsed.
func (s *Scheduler) replaceIncarnation(now time.Time, w *worker, e Entry) {
	if e.Host == "" {
		e.Host = w.Host
	}
	e.Restarted, s.restartedAt = true, now
	e = e.following(w.Entry)
	s.countCrashes(now, w, s.endedBefore(now, e.StartedAt))
	var unconfirmed []*run
	for _, r := range w.runs.all() {
		if r.phase != recording && (!r.isListed || w.hasUnansweredStart(now, r)) {
			unconfirmed = append(unconfirmed, r)
		}
	}
	for _, r := range unconfirmed {
		s.detach(r)
	}
	earlier := s.unaccounted[w.ID]
	s.removeWorker(now, w, "restarted")
	next := s.newWorker(now, e)
	s.workers.put(e.ID, next)
	if next.deadlineSentAt = w.deadlineSentAt; !next.deadlineSentAt.IsZero() {
		next.leaseUntil = s.longestLeaseUntil(next.deadlineSentAt)
	}
	if earlier != nil {
		// It hasn't seen this leader's token, so starts of earlier leaders may still arrive.
		// They are for tasks of the pool that it had before.
		s.unaccounted[e.ID] = earlier
		earlier.hasMoreEnds = false
		earlier.extendUntil(s.longestLeaseUntil(s.startedAt))
	}
	s.storeRegistration(next)
	for _, r := range unconfirmed {
		r.phase = stopping
		r.retryAt, r.sendCount = now, 0
		r.begunAt, r.isProven = time.Time{}, false
		s.attach(next, r)
	}
	s.stopLateStarts(now, next)
}

// hasUnansweredStart reports whether a start of the run got no answer and may still be carried out.
func (w *worker) hasUnansweredStart(now time.Time, r *run) bool {
	return slices.ContainsFunc(w.unanswered, func(u unansweredStart) bool {
		return u.task == r.task.id() && u.number == r.number && u.isPending(now)
	})
}

// isPending reports whether the start may still be carried out.
func (u unansweredStart) isPending(now time.Time) bool {
	return now.Sub(u.at) < maxOrderDelay
}

// keepLateStarts keeps the unanswered starts of a worker that is removed, as they may still reach
// another incarnation under its ID. Those of workers that didn't return in time are dropped.
func (s *Scheduler) keepLateStarts(now time.Time, w *worker) {
	isOver := func(u unansweredStart) bool { return !u.isPending(now) }
	s.lateStarts[w.ID] = w.unanswered
	for id, late := range s.lateStarts {
		if s.lateStarts[id] = slices.DeleteFunc(late, isOver); len(s.lateStarts[id]) == 0 {
			delete(s.lateStarts, id)
		}
	}
}

// stopLateStarts tells a new worker to stop the unanswered starts of earlier incarnations, which it then
// doesn't carry out.
func (s *Scheduler) stopLateStarts(now time.Time, w *worker) {
	for _, u := range s.lateStarts[w.ID] {
		if !u.isPending(now) {
			continue
		}
		w.unanswered = append(w.unanswered, u)
		if w.runs.get(u.task) == nil {
			s.emit(Stop{Worker: w.Incarnation, Address: w.Address, Task: u.task, Run: u.number, Token: w.token})
		}
	}
	delete(s.lateStarts, w.ID)
}
