package scheduling

import (
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/fleet/job"
)

// A task may not start again after its end was acknowledged. A start without an answer may still be carried out by
// a later incarnation of its worker, which the leader hasn't reached yet. While workers restart under their IDs, the
// end of such a task is stored, but not acknowledged until then. As long as none restarts, ends are acknowledged at
// once: a worker with ends that aren't answers each hold at once, and its next end is noticed later.

// restartMemory is how long after a restart under an ID others are expected.
const restartMemory = 60 * time.Second

// maxPendingStarts bounds the starts that a heartbeat lists as pending, about 45 bytes each, as it is one record of
// the store.
const maxPendingStarts = 1000

// maxKeptEnds bounds the stored ends that a worker lists, as its report holds 500 ends at a time.
const maxKeptEnds = 250

// pendingStart is a start that got no answer.
type pendingStart struct {
	worker WorkerID
	// until is until when it may be carried out.
	until time.Time
	// isInherited is set if an earlier leader has sent it.
	isInherited bool
	// token is one that its worker has no order with yet: once it has accepted one, it carries out the start no more.
	// It is 0 for a worker that isn't known, which accepts each order with a higher one.
	token int64
}

// keptEnd is an end that may not be acknowledged before until.
type keptEnd struct {
	number int64
	task   job.Task
	until  time.Time
}

// keepEnd keeps an end as done or failed from being acknowledged while a start of its task may still be carried out.
// wasDone is set if the task had ended as done before: any other end is then that of a late start.
func (s *Scheduler) keepEnd(now time.Time, w *worker, row EndRow, wasDone bool) {
	if t := s.findTask(row.Task); t != nil && t.step.Speculative {
		return
	}
	if row.How != EndDone && wasDone {
		s.recordLateStart(row.Task)
	}
	if row.How != EndDone && row.How != EndFailed {
		return
	}
	if until := s.mayStartUntil(now, row.Task); now.Before(until) {
		if row.How == EndDone && s.recordLateStart(row.Task) {
			w.awaitLapse() // either end may be the earlier one
		}
		w.keptEnds = append(w.keptEnds, keptEnd{row.Number, row.Task, until})
		s.logDecision("end not acknowledged yet", row.Task.Job, "Task", row.Task.String(), "Run", row.Run, "Worker", string(w.ID),
			"ForMs", until.Sub(now).Milliseconds())
	}
}

// recordLateStart records that a task has started again after it ended as done, and reports whether an end of it is
// kept. An end that is acknowledged after that counts as one after which the task has started, unless the lease
// of its worker has lapsed in between. So the worker gets no new runs until then, unless a long-running task keeps
// the lease from lapsing.
func (s *Scheduler) recordLateStart(id job.Task) bool {
	isKept := false
	for _, w := range s.workers.all() {
		if slices.ContainsFunc(w.keptEnds, func(k keptEnd) bool { return k.task == id }) {
			isKept = true
			if w.awaitsLapse {
				continue
			}
			w.awaitLapse()
			s.logDecision("worker waits for its lease to lapse", id.Job, "Task", id.String(), "Worker", string(w.ID))
		}
	}
	return isKept
}

// awaitLapse lets the worker's lease lapse before its kept ends are acknowledged.
func (w *worker) awaitLapse() {
	for _, r := range w.runs.all() {
		if r.task.step.LongRunning {
			return
		}
	}
	w.awaitsLapse = true
}

// mayStartUntil returns until when a start of the task, or of a member of its gang, may be carried out although
// it got no answer. It is zero if there is none, or if no worker restarts. Earlier leaders may have sent starts after
// their last heartbeat. The tasks of jobs that ended before the takeover aren't known.
func (s *Scheduler) mayStartUntil(now time.Time, id job.Task) time.Time {
	if !s.isRestartRecent(now) {
		return time.Time{}
	}
	until := s.pendingStarts[id].until
	t := s.findTask(id)
	if s.cfg.Term > 0 && (t == nil || t.job().inherited) {
		until = later(until, s.startedAt.Add(maxOrderDelay))
	}
	if t != nil && t.step.Gang {
		for _, m := range t.step.tasks {
			until = later(until, s.pendingStarts[m.id()].until)
		}
	}
	return until
}

// isRestartRecent reports whether a worker has restarted under its ID in the last restartMemory.
func (s *Scheduler) isRestartRecent(now time.Time) bool {
	return !s.restartedAt.IsZero() && now.Sub(s.restartedAt) < restartMemory
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// awaitedWorker returns the only worker on which a task may start now, and false if there is none. While a start that
// an earlier leader has sent is pending, no other worker runs the task, as a later incarnation of the first could run
// it beside that. A long-running task doesn't wait.
func (s *Scheduler) awaitedWorker(now time.Time, t *task) (WorkerID, bool) {
	if len(s.pendingStarts) == 0 || t.step.LongRunning || t.step.Speculative {
		return "", false
	}
	p := s.pendingStarts[t.id()]
	return p.worker, p.isInherited && p.worker != "" && now.Before(p.until)
}

// recordUnanswered records a start that got no answer.
func (s *Scheduler) recordUnanswered(now time.Time, id WorkerID, t job.Task, number int64) {
	s.setPendingStart(now, t, pendingStart{worker: id, until: now.Add(maxOrderDelay)})
	w := s.workers.get(id)
	if w == nil {
		return
	}
	s.fenceEarlierOrders(now, w)
	s.pendingStarts[t] = pendingStart{worker: id, until: now.Add(maxOrderDelay), token: w.token}
	w.unanswered = slices.DeleteFunc(w.unanswered, func(u unansweredStart) bool { return !u.isPending(now) })
	w.unanswered = append(w.unanswered, unansweredStart{task: t, number: number, at: now})
}

// setPendingStart makes a start the last one of its task that got no answer. An earlier one on another worker may still
// be carried out, and counts against the limit of its workspace until then.
func (s *Scheduler) setPendingStart(now time.Time, t job.Task, p pendingStart) {
	isSame := func(e earlierStart) bool { return e.task == t && e.worker == p.worker }
	s.quotas.earlierStarts = slices.DeleteFunc(s.quotas.earlierStarts, isSame)
	if e, ok := s.pendingStarts[t]; ok && e.worker != p.worker && now.Before(e.until) && (p.isInherited || s.quotas.ledger.HasLimits()) {
		s.quotas.earlierStarts = append(s.quotas.earlierStarts, earlierStart{t, e})
	}
	s.pendingStarts[t] = p
}

// dropPendingOn drops the pending starts of a worker that doesn't return, as its host runs one with another ID.
func (s *Scheduler) dropPendingOn(id WorkerID) {
	for t, p := range s.pendingStarts {
		if p.worker == id {
			delete(s.pendingStarts, t)
		}
	}
	s.quotas.earlierStarts = slices.DeleteFunc(s.quotas.earlierStarts, func(e earlierStart) bool { return e.worker == id })
}

// acknowledgedBy returns the number of the last end that a hold may acknowledge, or 0 if there is nothing new
// to acknowledge.
func (s *Scheduler) acknowledgedBy(now time.Time, w *worker) int64 {
	last := s.lastAcknowledgeable(now, w)
	if last <= w.acknowledgedEnd || now.Sub(w.reportedAt) > maxAckAge {
		return 0
	}
	return last
}

// lastAcknowledgeable returns the number of the last end that may be acknowledged. While workers restart, a start
// without an answer and a later acknowledgement may both be carried out by the next incarnation, which then drops
// the end of that start unseen. So there is none while such a start is pending.
func (s *Scheduler) lastAcknowledgeable(now time.Time, w *worker) int64 {
	last := w.storedEnd
	if kept := w.firstKeptEnd(now); kept > 0 {
		last = min(last, kept-1)
	}
	isPending := func(u unansweredStart) bool { return u.isPending(now) }
	if s.isRestartRecent(now) && slices.ContainsFunc(w.unanswered, isPending) {
		last = min(last, w.acknowledgedEnd)
	}
	if !w.awaitsLapse {
		last = max(last, w.storedEnd-maxKeptEnds)
	}
	return last
}

// firstKeptEnd returns the number of the first end that may not be acknowledged, or 0.
func (w *worker) firstKeptEnd(now time.Time) int64 {
	if w.awaitsLapse && w.runs.len() == 0 && !now.Before(w.leaseUntil) {
		w.awaitsLapse, w.keptEnds = false, nil
	}
	if !w.awaitsLapse {
		w.keptEnds = slices.DeleteFunc(w.keptEnds, func(k keptEnd) bool { return !now.Before(k.until) })
	}
	if len(w.keptEnds) == 0 {
		return 0
	}
	return w.keptEnds[0].number
}

// listPendingStarts returns the starts that may still be carried out, with those in transit, up to
// maxPendingStarts.
func (s *Scheduler) listPendingStarts(now time.Time) []PendingStart {
	var out []PendingStart
	// The next leader takes the last one of a task in the list for its last start.
	for _, e := range s.quotas.earlierStarts {
		if now.Before(e.until) && len(out) < maxPendingStarts {
			out = append(out, PendingStart{e.task, e.worker, e.until})
		}
	}
	for id, p := range s.pendingStarts {
		if !now.Before(p.until) {
			delete(s.pendingStarts, id)
		} else if len(out) < maxPendingStarts {
			out = append(out, PendingStart{id, p.worker, p.until})
		}
	}
	for _, w := range s.workers.all() {
		for id, r := range w.runs.all() {
			if r.phase == starting && len(out) < maxPendingStarts {
				out = append(out, PendingStart{id, w.ID, now.Add(maxOrderDelay)})
			}
		}
	}
	return out
}

// inheritPendingStarts takes over the starts that the previous leader has passed on.
func (s *Scheduler) inheritPendingStarts() {
	if s.cfg.Previous.Handover == nil {
		return
	}
	for _, p := range s.cfg.Previous.Handover.PendingStarts {
		s.setPendingStart(s.startedAt, p.Task, pendingStart{worker: p.Worker, until: p.Until, isInherited: true})
	}
}
