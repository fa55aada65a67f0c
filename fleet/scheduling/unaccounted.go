package scheduling

import "time"

// unaccountedWorker is a worker that earlier leaders registered and that hasn't answered this
// one in full. Tasks that they started may still run on it, or have ended there.
type unaccountedWorker struct {
	Entry
	// lapsesAt is when the leases that earlier leaders extended have lapsed.
	lapsesAt time.Time
	// notBefore is the earliest time at which they may have lapsed, whatever is known of the earlier
	// leaders; zero if there is none.
	notBefore time.Time
	// hasMoreEnds is set while the worker answers, but some of its ends are on later pages of its report. They count
	// also after its lease has lapsed.
	hasMoreEnds bool
	// delaysTasks is set once a task has waited for the worker.
	delaysTasks bool
}

// addUnaccounted adds a worker of the stored registry.
func (s *Scheduler) addUnaccounted(w *worker) {
	u := &unaccountedWorker{Entry: w.Entry, lapsesAt: s.inheritedUntil}
	if w.Restarted {
		u.extendUntil(s.longestLeaseUntil(s.startedAt))
	}
	if l, ok := s.cfg.Previous.givenUp(w.Entry); ok {
		w.leaseGivenUp = true
		if l.LapsesAt.Before(u.lapsesAt) {
			u.lapsesAt = l.LapsesAt
		}
	}
	s.unaccounted[w.ID] = u
}

// extendUntil lets the worker count as unaccounted until a time at least.
func (u *unaccountedWorker) extendUntil(until time.Time) {
	u.notBefore = until
	if until.After(u.lapsesAt) {
		u.lapsesAt = until
	}
}

// shorten lets the worker count as unaccounted until a time, or until notBefore, if that is earlier than
// before.
func (u *unaccountedWorker) shorten(until time.Time) {
	if until.Before(u.notBefore) {
		until = u.notBefore
	}
	if until.Before(u.lapsesAt) {
		u.lapsesAt = until
	}
}

// isUnaccounted reports whether a worker may run tasks that this leader doesn't know.
func (s *Scheduler) isUnaccounted(id WorkerID) bool {
	return s.unaccounted[id] != nil
}

// accountFor removes a worker from the unaccounted ones, if it is one.
func (s *Scheduler) accountFor(now time.Time, id WorkerID, reason string) {
	u := s.unaccounted[id]
	if u == nil {
		return
	}
	delete(s.unaccounted, id)
	s.dirty = true
	if u.delaysTasks {
		s.logDecision("tasks no longer wait for a lease", "", "Worker", string(id), "Pool", u.Pool, "Reason", reason,
			"SinceTakeoverMs", now.Sub(s.startedAt).Milliseconds())
	}
}

// awaitMoreEnds records that an unaccounted worker has answered with the first page of its ends. The tasks of those on
// the next pages are done, or failed, but not running.
func (s *Scheduler) awaitMoreEnds(id WorkerID) {
	if u := s.unaccounted[id]; u != nil {
		u.hasMoreEnds = true
	}
}

// waitsForLease reports whether a task may still run on an unaccounted worker of its pools and
// data centres, or may have ended there. Leadership must have been confirmed after the worker's lease lapsed, as a later
// leader may have extended it.
func (s *Scheduler) waitsForLease(now time.Time, t *task) bool {
	for id, u := range s.unaccounted {
		if !t.job().wasInPool(u.Pool) || !t.job().mayRunIn(u.DataCentre) || !u.hasMoreEnds && !s.leaderConfirmedAt.Before(u.lapsesAt) {
			continue
		}
		if !u.delaysTasks {
			u.delaysTasks = true
			s.logDecision("tasks wait for a lease", t.job().ID, "Task", t.id().String(), "Worker", string(id), "Pool", u.Pool,
				"UntilMs", u.lapsesAt.Sub(now).Milliseconds())
		}
		return true
	}
	return false
}

// unaccountedIn returns the number of unaccounted workers of a pool.
func (s *Scheduler) unaccountedIn(pool string) int {
	n := 0
	for _, u := range s.unaccounted {
		if u.Pool == pool {
			n++
		}
	}
	return n
}
