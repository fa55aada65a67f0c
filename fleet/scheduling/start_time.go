package scheduling

import "time"

// The start time of an incarnation is the wall clock of its host, which may step back. It tells incarnations apart, but
// not which of two is the newer one. An entry with a higher start time than all that are known of its ID and its host
// is that of a newer worker. Any other is that of the next one, or an old one that was written again. An answer of
// the worker shows which, or a list of hosts if the next one has another ID.

// otherEntry is an entry whose worker may be newer or older than the known one.
type otherEntry struct {
	Entry
	// readAt is when it was first read.
	readAt time.Time
}

// isNewerThan reports whether the entry is certainly that of a newer worker under the same ID or on the same host.
func (e Entry) isNewerThan(known Entry) bool {
	return e.StartedAt >= known.StartedAt && (known.LatestStart == 0 || e.StartedAt > known.LatestStart)
}

// following returns the entry as that of the worker which replaces a known one.
func (e Entry) following(known Entry) Entry {
	latest := max(e.LatestStart, known.StartedAt, known.LatestStart)
	if e.LatestStart = 0; latest > e.StartedAt {
		e.LatestStart = latest
	}
	return e
}

// askIncarnation handles an entry of another incarnation that may be the next one: the worker is asked, and until it
// answers, it gets no runs, and the longest lease is counted.
func (s *Scheduler) askIncarnation(now time.Time, w *worker, e Entry) {
	if w.other == nil || w.other.Incarnation != e.Incarnation {
		s.logDecision("entry of another incarnation", "", "Worker", string(w.ID), "Born", w.StartedAt, "EntryBorn", e.StartedAt)
		w.other = &otherEntry{readAt: now}
	}
	w.other.Entry = e
	s.allowForRestart(w)
	if u := s.unaccounted[w.ID]; u != nil {
		u.extendUntil(s.longestLeaseUntil(s.startedAt))
	}
	if !w.holdPending {
		w.nextHold = now
	}
}

// settleEntry handles a report of the known incarnation, to a hold that was sent at sentAt. If that was after another
// incarnation's entry was read, that entry is an old one.
func (s *Scheduler) settleEntry(w *worker, sentAt time.Time) {
	if w.other != nil && !sentAt.Before(w.other.readAt) {
		w.other = nil
		s.dirty = true
	}
}

// replaceReported replaces a worker by the incarnation that has answered. Unless its entry is at hand, it gets no
// runs before that is read.
func (s *Scheduler) replaceReported(now time.Time, w *worker, startedAt int64) {
	e, isRead := w.Entry, false
	if w.other != nil && w.other.StartedAt == startedAt {
		e, isRead = w.other.Entry, true
	}
	e.StartedAt = startedAt
	s.replaceIncarnation(now, w, e)
	s.workers.get(w.ID).entryUnread = !isRead
}

// isOrderUnknown reports whether the host of an entry has a known worker that may be the newer one.
func (s *Scheduler) isOrderUnknown(e Entry) bool {
	for _, w := range s.othersOnHost(e) {
		if !e.isNewerThan(w.Entry) {
			return true
		}
	}
	return false
}

// othersOnHost returns the known workers under other IDs on the host of an entry.
func (s *Scheduler) othersOnHost(e Entry) []*worker {
	var out []*worker
	for _, w := range s.workers.all() {
		if e.Host != "" && w.Host == e.Host && w.ID != e.ID {
			out = append(out, w)
		}
	}
	return out
}

// awaitHostList keeps an entry until a list of hosts shows which worker its host runs.
func (s *Scheduler) awaitHostList(now time.Time, e Entry) {
	readAt := now
	if o, ok := s.unregistered[e.ID]; ok && o.Incarnation == e.Incarnation {
		readAt = o.readAt
	} else {
		s.logDecision("entry of an earlier or a later worker", "", "Worker", string(e.ID), "Born", e.StartedAt, "Host", string(e.Host))
	}
	s.unregistered[e.ID] = otherEntry{Entry: e, readAt: readAt}
}

// registerListed registers the worker that the host runs by a list that was requested at sentAt, if its entry was kept
// before.
func (s *Scheduler) registerListed(now, sentAt time.Time, h *host) {
	o, ok := s.unregistered[h.Worker]
	if !ok || o.Host != h.ID || !sentAt.After(o.readAt) {
		return
	}
	s.registerOnHost(now, o.Entry)
}
