package scheduling

import (
	"time"

	"github.com/godwitcross/godwitcross/fleet/job"
)

// startRun orders a worker to run a task. It returns false if the worker can't be given a
// lease now.
func (s *Scheduler) startRun(now time.Time, w *worker, t *task, number int64, ticket string) bool {
	deadline, ok := s.extendLease(now, w)
	if !ok {
		return false
	}
	t.lastRun = number
	r := &run{task: t, number: number, orderedAt: now, ticket: ticket, reportedPace: 0, orderedPace: 100}
	s.attach(w, r)
	if t.isIsolated() {
		r.isIsolated = true
		w.isolatedRun = r
	}
	w.idleSince = time.Time{}
	if r.mustBeRecorded() {
		s.recordRun(now, r)
	} else {
		s.sendStart(now, r, deadline)
	}
	js := t.job()
	s.logDecision("run ordered", js.ID, "Task", t.id().String(), "Run", number, "Worker", string(w.ID), "Queue", js.Queue,
		"WaitedMs", now.Sub(t.step.occ.dueAt).Milliseconds(), "Version", s.configuration.Version)
	return true
}

func (s *Scheduler) sendStart(now time.Time, r *run, deadline int64) {
	w, t := r.worker, r.task
	s.fenceDelayedHold(now, w)
	s.recordDeadline(now, w)
	checkpoint := ""
	if t.step.Checkpointing {
		checkpoint = t.checkpoint
	}
	s.emit(Start{
		Worker: w.Incarnation, Address: w.Address, Task: t.id(), Run: r.number, Text: t.job().Text,
		Checkpoint: checkpoint, Ticket: r.ticket, DeadlineMs: deadline, Token: w.token, NewConnection: r.sendCount > 0,
	})
	r.sendCount++
	r.retryAt = time.Time{}
}

// nextRun returns the number of a task's next run, which is above all numbers that
// earlier leaders can have used.
func (s *Scheduler) nextRun(t *task) int64 {
	return max(t.lastRun, s.cfg.Term*runsPerTerm) + 1
}

// stopRun orders a worker to stop a run, also one that isn't known to have started.
func (s *Scheduler) stopRun(now time.Time, r *run) {
	switch r.phase {
	case stopping, stopped:
		return
	case recording:
		s.dropRecorded(r)
		return
	}
	r.phase = stopping
	r.retryAt = now
	r.sendCount = 0
	s.retryRun(now, r)
}

// retryRun sends the unanswered start or stop of a run again if that is due.
func (s *Scheduler) retryRun(now time.Time, r *run) {
	if r.retryAt.IsZero() || now.Before(r.retryAt) {
		return
	}
	w := r.worker
	switch r.phase {
	case recording:
		s.retryRecorded(now, r)
	case stopping:
		r.retryAt = time.Time{}
		s.emit(Stop{Worker: w.Incarnation, Address: w.Address, Task: r.task.id(), Run: r.number, Token: w.token, NewConnection: r.sendCount > 0})
		r.sendCount++
	case uncertain:
		if w.takesNoMoreRuns() {
			s.stopRun(now, r)
			return
		}
		deadline, ok := s.extendLease(now, w)
		if !ok || !s.isViewCurrent() || !w.isSchedulable(now) && w.unreachableSince.IsZero() || !w.mayExtendLease(now) {
			r.retryAt = now.Add(retryGap)
			return
		}
		if !s.stillFits(now, r) {
			s.stopRun(now, r)
			return
		}
		s.sendStart(now, r, deadline)
	}
}

// takesNoMoreRuns reports whether the worker is to get no runs any more. A start without an answer that it hasn't
// carried out yet is withdrawn then.
func (w *worker) takesNoMoreRuns() bool {
	return w.Draining || w.cordoned || w.awaitsLapse || !w.registered
}

// runOf returns the run that an answer refers to, or nil if it is no longer known.
func (s *Scheduler) runOf(incarnation Incarnation, id job.Task, number int64) *run {
	w := s.workers.get(incarnation.ID)
	if w == nil || w.Incarnation != incarnation {
		return nil
	}
	r := w.runs.get(id)
	if r == nil || r.number != number {
		return nil
	}
	return r
}

// Started handles the answer to a start.
func (s *Scheduler) Started(now time.Time, incarnation Incarnation, id job.Task, number int64, a Answer) {
	if a.Outcome == Fenced {
		s.markFenced(incarnation.ID, "start", a)
	}
	if a.Outcome.isUnanswered() {
		s.recordUnanswered(now, incarnation.ID, id, number)
	}
	r := s.runOf(incarnation, id, number)
	if r == nil {
		return
	}
	w := r.worker
	switch {
	case a.Outcome.isUnanswered():
		s.allowForRestart(w)
	case w.showsRestart(now, a.ClockMs):
		s.suspectRestart(now, w, a.ClockMs)
		r.beganLater = true
	default:
		s.setClock(now, w, a.ClockMs)
	}
	if a.Outcome != Accepted {
		s.logDecision("run not accepted", id.Job, "Task", id.String(), "Run", number, "Worker", string(w.ID), "Born", w.StartedAt,
			"Outcome", a.Outcome.String(), "Token", a.Token)
	}
	switch a.Outcome {
	case Accepted:
		w.answeredToken = max(w.answeredToken, a.Token)
		s.startAccepted(now, r)
	case Unknown, Broken:
		if r.phase == starting {
			r.phase = uncertain
		}
		if a.Outcome == Broken && r.isIsolated && now.Sub(r.orderedAt) < crashWindow {
			r.brokeConnection = true
			s.addUnproven(r, true, 0)
		}
		r.retryAt = now.Add(retryGap)
	case OtherIncarnation:
		s.replaceCrashed(now, w, now, "its address belongs to another worker")
	case NoCapacity:
		w.pausedUntil = now.Add(fullPause)
		s.withdraw(now, r)
	case Unhealthy:
		w.pausedUntil = now.Add(unhealthyPause)
		s.withdraw(now, r)
	case NoTicket:
		r.task.step.advice.demanded = true
		r.task.step.advice.expire()
		s.withdraw(now, r)
	case Refused:
		r.task.notBefore = now.Add(unhealthyPause)
		s.withdraw(now, r)
	default:
		s.withdraw(now, r)
	}
}

// startAccepted marks a run as running and asks its worker for a report soon.
func (s *Scheduler) startAccepted(now time.Time, r *run) {
	s.markStarted(r.task.job())
	if r.phase == starting || r.phase == uncertain {
		r.phase = running
		r.lastSeenAt = now
		s.markListed(now, r)
		r.retryAt = time.Time{}
		if r.isIsolated && !r.isProven {
			s.addUnproven(r, true, 0) // this leader may end before it learns of a crash
		}
	}
	if w := r.worker; !w.holdPending && w.nextHold.After(now) {
		w.nextHold = now
	}
}

// withdraw drops a run whose start was rejected, and its task waits again. If the start
// was sent before and got no answer, that order may still be carried out, so the run is
// stopped first.
func (s *Scheduler) withdraw(now time.Time, r *run) {
	if r.phase == stopping || r.phase == stopped {
		return
	}
	if r.sendCount > 1 {
		s.stopRun(now, r)
		return
	}
	s.detach(r)
	s.dropUnproven(r.task, r.number)
	s.requeue(now, r.task)
}

// Stopped handles the answer to a stop.
func (s *Scheduler) Stopped(now time.Time, incarnation Incarnation, id job.Task, number int64, a Answer) {
	if a.Outcome == Fenced {
		s.markFenced(incarnation.ID, "stop", a)
	}
	r := s.runOf(incarnation, id, number)
	if r == nil {
		return
	}
	switch a.Outcome {
	case Fenced:
		r.retryAt = now
	case Unknown, Broken, Unhealthy:
		r.retryAt = now.Add(retryGap)
	case OtherIncarnation:
		s.replaceCrashed(now, r.worker, now, "its address belongs to another worker")
	default:
		if r.phase != stopping {
			return
		}
		r.phase = stopped
		r.stopAnsweredAt = now
		s.dropUnproven(r.task, r.number)
		r.retryAt = time.Time{}
		if !r.worker.holdPending {
			r.worker.nextHold = now
		}
	}
}
