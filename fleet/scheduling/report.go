package scheduling

import (
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/fleet/job"
)

// Held handles the answer to a hold that was sent at sentAt.
func (s *Scheduler) Held(now time.Time, wall int64, incarnation Incarnation, acknowledged int64, sentAt time.Time, a Answer, rep Report) {
	w := s.workers.get(incarnation.ID)
	if w == nil || w.Incarnation != incarnation {
		return
	}
	w.holdPending = false
	switch a.Outcome {
	case Accepted:
	case Fenced:
		s.markFenced(w.ID, "hold", a)
		w.nextHold = now
		return
	case OtherIncarnation:
		s.replaceCrashed(now, w, now, "its address belongs to another worker")
		s.registerAwaited(now, w.Host)
		return
	default:
		s.markUnreachable(now, w, a)
		return
	}
	if rep.StartedAt != 0 && w.StartedAt != 0 && rep.StartedAt != w.StartedAt {
		s.replaceReported(now, w, rep.StartedAt)
		return
	}
	s.markReachable(now, w)
	w.proveIncarnation(now)
	w.answeredToken = max(w.answeredToken, w.holdToken)
	s.settleEntry(w, sentAt)
	s.setClock(now, w, rep.ClockMs)
	w.acknowledgedEnd = max(w.acknowledgedEnd, acknowledged)
	s.markContacted(now, w, rep)
	s.resumeLease(w)
	s.reconcileRunning(now, w, rep)
	s.countEnds(now, wall, w, rep)
	if !rep.Partial {
		s.reconcileAbsent(now, w, sentAt)
	}
	if w.runs.len() == 0 && w.idleSince.IsZero() {
		w.idleSince = now
	}
	s.adjustPaces(now, w)
	s.orderIsolated(now, w)
	w.nextHold = now.Add(holdGap)
	if w.countedEnd > w.storedEnd {
		// A worker answers a hold at once while it has ends that the hold doesn't acknowledge.
		w.nextHold = now.Add(storeWait)
	}
	if rep.Partial {
		w.nextHold = now
	}
	if len(w.orphans) > 0 || w.runsIsolated() || s.lastAcknowledgeable(now, w) < w.storedEnd {
		w.nextHold = now.Add(storeWait)
	}
}

func (s *Scheduler) markUnreachable(now time.Time, w *worker, a Answer) {
	s.fenceEarlierOrders(now, w)
	if w.unreachableSince.IsZero() {
		if a.Outcome == Broken {
			w.breakConnection(now, a.IsReset)
		}
		w.unreachableSince = now
		s.logDecision("worker unreachable", "", "Worker", string(w.ID), "Outcome", a.Outcome.String(), "Runs", w.runs.len(),
			"LapsedInMs", w.leaseUntil.Sub(now).Milliseconds())
		s.recordUnprovenRuns(now, w)
	}
	w.nextHold = now.Add(retryGap)
	s.registerAwaited(now, w.Host)
}

func (s *Scheduler) markReachable(now time.Time, w *worker) {
	if !w.unreachableSince.IsZero() {
		s.logDecision("worker reachable again", "", "Worker", string(w.ID), "AfterMs", now.Sub(w.unreachableSince).Milliseconds())
		w.unreachableSince, w.clearedAt, w.reachableAt = time.Time{}, time.Time{}, now
		w.brokeAt, w.wasReset, w.shownAt = time.Time{}, false, time.Time{}
		s.forgetLapsed(w)
		s.dirty = true
	}
}

// markContacted records that the worker knows this leader's token. From then on this incarnation starts
// nothing that an earlier leader ordered.
func (s *Scheduler) markContacted(now time.Time, w *worker, rep Report) {
	if w.contacted {
		return
	}
	w.contacted = true
	s.dirty = true
	s.checkLapsed(now, w.Entry, true)
	// An order to an earlier incarnation, or of an earlier leader, may have extended the lease, but none does so
	// after this answer.
	w.extendLeaseUntil(now.Add(lapseTime(s.cfg.MaxLease)))
	s.logDecision("worker contacted", "", "Worker", string(w.ID), "Runs", len(rep.Running), "Ends", len(rep.Ended),
		"SinceTakeoverMs", now.Sub(s.startedAt).Milliseconds())
}

// markFenced handles an order that was rejected for its token. Unless a later order of this leader overtook it, the
// worker knows a later leader.
func (s *Scheduler) markFenced(id WorkerID, order string, a Answer) {
	if s.isOvertaken(id, a) {
		s.logDecision("order overtaken", "", "Worker", string(id), "Order", order, "Token", a.Token)
		return
	}
	if !s.fenced {
		s.fenced = true
		s.logDecision("fenced by a worker", "", "Worker", string(id), "Order", order, "Token", a.Token)
	}
}

// reconcileRunning compares the runs that a worker reports with those expected there. It
// adopts runs of waiting tasks and stops orphaned runs.
func (s *Scheduler) reconcileRunning(now time.Time, w *worker, rep Report) {
	previous := w.orphans
	w.orphans = make(map[orphanedRun]time.Time)
	w.reports++
	for _, row := range rep.Running {
		r := w.runs.get(row.Task)
		if r != nil && r.number == row.Run {
			r.report = w.reports
			s.updateRun(now, r, row)
			continue
		}
		t := s.findTask(row.Task)
		if t == nil || t.done {
			s.recordLateStart(row.Task)
		}
		if t == nil {
			s.stopOrphan(now, w, row, previous)
			continue
		}
		t.lastRun = max(t.lastRun, row.Run)
		if r != nil || t.done || t.run != nil || t.job().state.Final() {
			s.stopOrphan(now, w, row, previous)
			continue
		}
		s.adopt(now, w, t, row)
	}
	if rep.Partial {
		s.awaitMoreEnds(w.ID)
	} else {
		s.dropUnlisted(w)
		s.accountFor(now, w.ID, "answered")
	}
	s.dirty = s.dirty || len(previous) > len(w.orphans)
}

// updateRun updates a run from its row in a report.
func (s *Scheduler) updateRun(now time.Time, r *run, row RunRow) {
	if r.phase == starting || r.phase == uncertain {
		r.phase = running
		r.retryAt = time.Time{}
		s.markStarted(r.task.job())
	}
	r.lastSeenAt, r.isListed = now, true
	s.markListed(now, r)
	r.reportedPace, r.reportedLoad = row.Percent, row.Load
	if row.Checkpoint != "" {
		r.checkpoint = row.Checkpoint
	}
}

// adopt assigns a run that an earlier leader started to its task.
func (s *Scheduler) adopt(now time.Time, w *worker, t *task, row RunRow) {
	r := &run{task: t, number: row.Run, phase: running, orderedAt: now, lastSeenAt: now, isListed: true, reportedPace: row.Percent, reportedLoad: row.Load, checkpoint: row.Checkpoint, orderedPace: 100, report: w.reports}
	s.markListed(now, r)
	r.reportsValidFrom = now.Add(s.cfg.StopTime + leaseMargin)
	if t.step.Backfill {
		r.orderedPace = row.Percent
	}
	s.unqueue(t)
	s.attach(w, r)
	if r.isIsolated = t.hasIsolatedRun(row.Run); r.isIsolated {
		w.isolatedRun = r
	}
	w.idleSince = time.Time{}
	s.markStarted(t.job())
	s.logDecision("run adopted", t.job().ID, "Task", row.Task.String(), "Run", row.Run, "Worker", string(w.ID))
}

// unqueue removes a task from its step's waiting tasks.
func (s *Scheduler) unqueue(t *task) {
	if !t.queued {
		return
	}
	t.queued = false
	for i, o := range t.step.waiting {
		if o == t {
			t.step.waiting = append(t.step.waiting[:i], t.step.waiting[i+1:]...)
			return
		}
	}
}

// stopOrphan tells a worker to stop an orphaned run, again after orphanStopGap. The run
// uses an unknown amount of resources until it is gone.
func (s *Scheduler) stopOrphan(now time.Time, w *worker, row RunRow, previous map[orphanedRun]time.Time) {
	key := orphanedRun{row.Task, row.Run}
	if at, ok := previous[key]; ok && now.Sub(at) < orphanStopGap {
		w.orphans[key] = at
		return
	}
	w.orphans[key] = now
	s.logDecision("orphaned run stopped", row.Task.Job, "Task", row.Task.String(), "Run", row.Run, "Worker", string(w.ID), "Born", w.StartedAt)
	s.emit(Stop{Worker: w.Incarnation, Address: w.Address, Task: row.Task, Run: row.Run, Token: w.token})
}

// countEnds handles each reported end once.
func (s *Scheduler) countEnds(now time.Time, wall int64, w *worker, rep Report) {
	for _, row := range rep.Ended {
		if row.Number <= w.countedEnd {
			continue
		}
		w.countedEnd = row.Number
		s.unstoredEnds[w.ID] = row.Number
		t := s.findTask(row.Task)
		wasDone := t == nil || t.done
		s.recordEnd(now, wall, w, row)
		s.keepEnd(now, w, row, wasDone)
	}
}

// recordEnd applies the end of a run to its task.
func (s *Scheduler) recordEnd(now time.Time, wall int64, w *worker, row EndRow) {
	t := s.findTask(row.Task)
	r := w.runs.get(row.Task)
	if r != nil && r.number <= row.Run {
		if row.How == EndDone && !r.task.step.LongRunning {
			s.observeDuration(now, r)
		}
		s.detach(r)
	}
	if t != nil {
		s.dropUnproven(t, row.Run)
	}
	s.logDecision("run ended", row.Task.Job, "Task", row.Task.String(), "Run", row.Run, "Worker", string(w.ID), "How", string(row.How))
	if t == nil {
		return
	}
	t.lastRun = max(t.lastRun, row.Run)
	s.markStarted(t.job())
	if row.Checkpoint != "" && t.step.Checkpointing {
		t.checkpoint = row.Checkpoint
	}
	switch row.How {
	case EndDone:
		s.recordSuccess(w, t)
		s.taskDone(now, wall, t)
	case EndFailed:
		s.taskFailed(now, wall, w, t, row.Run)
	default:
		if t.checkpoint != "" && row.Checkpoint != "" {
			s.markChanged(t.job())
		}
	}
	if t.run == nil {
		s.requeue(now, t)
	}
}

// taskDone marks the task of a successful run as done, and in a gang all of its members.
func (s *Scheduler) taskDone(now time.Time, wall int64, t *task) {
	if t.step.LongRunning {
		return
	}
	if !t.step.Gang {
		s.markDone(now, wall, t)
		return
	}
	for _, m := range t.step.tasks {
		s.markDone(now, wall, m)
	}
}

// taskFailed counts a failed run of a task, and ends the job if that was the last
// attempt.
func (s *Scheduler) taskFailed(now time.Time, wall int64, w *worker, t *task, number int64) {
	if slices.Contains(t.failed, number) {
		return // counted before, by this leader or an earlier one
	}
	t.failed = append(t.failed, number)
	if t.step.LongRunning && len(t.failed) > maxKeptFailures {
		t.failed = t.failed[1:]
	}
	t.lastFailedOn = w.ID
	s.attributeFailure(now, w, t)
	s.markChanged(t.job())
	if t.step.LongRunning {
		return
	}
	failures := len(t.failed)
	if t.step.Gang {
		failures = 0
		for _, m := range t.step.tasks {
			failures += len(m.failed)
		}
	}
	if failures >= s.attempts(t.job()) {
		s.finish(now, wall, t.job(), job.Failed, "a task used up its attempts")
	}
}

// attempts returns how many failed runs end a job: of one task, or of all members of a
// gang.
func (s *Scheduler) attempts(js *jobState) int {
	q, _ := s.queueOf(js)
	return max(q.MaxAttempts, 1)
}

// reconcileAbsent handles runs that a complete report doesn't list: the last one that reconcileRunning has
// seen. A run is gone if its stop was answered before the hold was sent, and lost if it was known to run
// before then.
func (s *Scheduler) reconcileAbsent(now time.Time, w *worker, sentAt time.Time) {
	for _, r := range w.runs.all() {
		if r.report == w.reports {
			continue
		}
		switch {
		case r.phase == stopped && r.stopAnsweredAt.Before(sentAt):
			s.detach(r)
			s.dropUnproven(r.task, r.number)
			s.requeue(now, r.task)
		case r.phase == running && r.lastSeenAt.Before(sentAt):
			s.markLost(now, r)
		}
	}
}
