package scheduling

import (
	"encoding/json"
	"time"

	"github.com/godwitcross/godwitcross/fleet/job"
)

// registrationState is how far the record of a worker is. Only workers whose record is
// stored get tasks: the next owner must know where tasks may run.
type registrationState int

const (
	registrationNone registrationState = iota
	registrationOpen
	registrationSent
	registrationStored
)

// worker is one incarnation of a worker.
type worker struct {
	Entry
	registration registrationState
	// contacted workers have answered this owner: they know its token.
	contacted bool
	// clockMs was the worker's clock at clockAt.
	clockMs int64
	clockAt time.Time
	// runs are all that may run there, by task.
	runs *table[job.Task, *run]
	// used is the room of all runs.
	used job.Resources
	// countedEnd is the highest end that was counted; storedEnd the highest that is
	// stored; reportedEnd the highest that the worker was told.
	countedEnd, storedEnd, reportedEnd int64
	// deadlineMs is the latest deadline that was ordered, on the worker's clock.
	deadlineMs int64
	// leaseUntil is when the longest lease that was ordered has lapsed for sure.
	leaseUntil time.Time
	// holdPending is set while a hold is out.
	holdPending bool
	nextHold    time.Time
	// unreachableSince is since when no call has been answered; zero while they are.
	unreachableSince time.Time
	// pausedUntil is when an unhealthy or full worker gets tasks again.
	pausedUntil time.Time
	// failedJobs are the jobs that failed here since the last success, by no other fault.
	failedJobs map[job.ID]bool
	// onProbation workers have rested and get one task at a time until one succeeds.
	onProbation bool
	// registered is false once the worker's entry is gone.
	registered bool
	// idleSince is when the last run ended.
	idleSince time.Time
	// cordoned workers get no new tasks: their host is due for maintenance.
	cordoned bool
	// hostOrdered is set once the worker's host was ordered away.
	hostOrdered bool
	// unanswered are starts that had no answer and may still arrive.
	unanswered []unansweredStart
	// orphans are runs that the last report listed and that belong to no task, with
	// when they were told to stop.
	orphans map[orphanedRun]time.Time
	// leavesAt is when a draining worker leaves at the earliest.
	leavesAt time.Time
	steps    map[*step]int
}

// orphanedRun names a run that belongs to no task.
type orphanedRun struct {
	task   job.Task
	number int64
}

// unansweredStart is a start without an answer.
type unansweredStart struct {
	task   job.Task
	number int64
	at     time.Time
}

func newWorker(now time.Time, e Entry) *worker {
	return &worker{
		Entry: e, runs: newTable[job.Task, *run](), steps: make(map[*step]int),
		registered: true, idleSince: now, nextHold: now,
	}
}

// Register takes a worker's entry, new or changed.
func (s *Scheduler) Register(now time.Time, e Entry) {
	w := s.workers.get(e.ID)
	if w != nil && e.StartedAt != 0 && w.StartedAt != 0 && e.StartedAt < w.StartedAt {
		return
	}
	if w != nil && e.StartedAt != w.StartedAt && w.StartedAt != 0 && e.StartedAt != 0 {
		s.replaceIncarnation(now, w, e)
		return
	}
	if w == nil {
		s.registerNew(now, e)
		return
	}
	if e.Draining && !w.Draining {
		w.leavesAt = now.Add(e.Leaving)
		s.note("worker draining", "", "Worker", string(e.ID), "LeavingMs", e.Leaving.Milliseconds(), "Runs", w.runs.len())
	}
	w.registered = true
	if e.StartedAt == 0 {
		e.StartedAt = w.StartedAt
	}
	if e.Host == "" {
		e.Host = w.Host
	}
	w.Entry = e
	s.dirty = true
}

func (s *Scheduler) registerNew(now time.Time, e Entry) {
	if e.Host != "" {
		for _, other := range s.workers.all() {
			if other.Host != e.Host || other.ID == e.ID {
				continue
			}
			if other.StartedAt > e.StartedAt {
				return // an entry of an earlier incarnation that was written late
			}
			s.removeWorker(now, other, "its host runs a newer worker")
		}
	}
	w := newWorker(now, e)
	s.workers.put(e.ID, w)
	s.storeRegistration(w)
	s.note("worker enlisted", "", "Worker", string(e.ID), "Born", e.StartedAt, "Pool", e.Pool, "Host", string(e.Host),
		"Address", e.Address, "CPU", e.Capacity.CPU, "MemMB", e.Capacity.MemMB)
}

// storeRegistration stores that the worker may run tasks from now on.
func (s *Scheduler) storeRegistration(w *worker) {
	b, err := json.Marshal(w.Entry)
	if err != nil {
		s.note("worker not enrolled", "", "Worker", string(w.ID), "Error", err.Error())
		return
	}
	w.registration = registrationOpen
	s.records = append(s.records, Record{Key: RegistryPrefix + string(w.ID), Value: b})
}

// replaceIncarnation replaces a worker by its next incarnation under the same ID. Orders
// to the previous one that had no answer may still arrive, so the new one is told to stop
// them.
func (s *Scheduler) replaceIncarnation(now time.Time, w *worker, e Entry) {
	if e.Host == "" {
		e.Host = w.Host
	}
	var unconfirmed []*run
	for _, r := range w.runs.all() {
		if r.phase == starting || r.phase == uncertain {
			unconfirmed = append(unconfirmed, r)
		}
	}
	for _, r := range unconfirmed {
		s.detach(r)
	}
	s.removeWorker(now, w, "born again")
	next := newWorker(now, e)
	s.workers.put(e.ID, next)
	s.storeRegistration(next)
	for _, r := range unconfirmed {
		r.phase = stopping
		r.retryAt = now
		s.attach(next, r)
	}
	for _, u := range w.unanswered {
		if now.Sub(u.at) < lateOrders && next.runs.get(u.task) == nil {
			s.emit(Stop{Worker: next.Incarnation, Address: next.Address, Task: u.task, Run: u.number, Token: s.cfg.Epoch})
		}
	}
}

// Deregister tells that a worker's entry is gone. What runs there goes on under its lease.
func (s *Scheduler) Deregister(now time.Time, id WorkerID) {
	w := s.workers.get(id)
	if w == nil || !w.registered {
		return
	}
	w.registered = false
	s.note("worker delisted", "", "Worker", string(id), "Runs", w.runs.len())
	s.dropIfLost(now, w)
}

// removeWorker forgets a worker of which it is certain that it runs nothing any more.
func (s *Scheduler) removeWorker(now time.Time, w *worker, reason string) {
	s.note("worker ended", "", "Worker", string(w.ID), "Born", w.StartedAt, "Host", string(w.Host),
		"Reason", reason, "RunsLost", w.runs.len())
	for _, r := range w.runs.all() {
		s.markLost(now, r)
	}
	s.workers.drop(w.ID)
	delete(s.unaccounted, w.ID)
	delete(s.unstoredEnds, w.ID)
	s.records = append(s.records, Record{Key: RegistryPrefix + string(w.ID)})
	s.dirty = true
}

// attach makes a run part of a worker.
func (s *Scheduler) attach(w *worker, r *run) {
	r.worker = w
	r.resources = r.task.step.Takes()
	w.runs.put(r.task.id(), r)
	w.used = w.used.Add(r.resources)
	w.steps[r.task.step]++
	r.task.step.occ.count(w, 1)
	r.task.earlierRun = r.task.run
	r.task.run = r
}

// detach takes a run off its worker; the task keeps its other run or has none.
func (s *Scheduler) detach(r *run) {
	w := r.worker
	w.runs.drop(r.task.id())
	w.used = w.used.Sub(r.resources)
	if w.steps[r.task.step]--; w.steps[r.task.step] <= 0 {
		delete(w.steps, r.task.step)
	}
	r.task.step.occ.count(w, -1)
	switch t := r.task; r {
	case t.run:
		t.run, t.earlierRun = t.earlierRun, nil
	case t.earlierRun:
		t.earlierRun = nil
	}
	s.dirty = true
}

// count notes how many more runs of the occurrence a worker has.
func (o *occurrence) count(w *worker, n int) {
	o.onRacks[w.Rack] += n
	o.inDataCentres[w.DataCentre] += n
}

// markLost ends a run that is certainly gone without a listed end.
func (s *Scheduler) markLost(now time.Time, r *run) {
	if r.checkpoint != "" {
		r.task.checkpoint = r.checkpoint
	}
	s.note("run lost", r.task.owner().ID, "Task", r.task.id().String(), "Run", r.number, "Worker", string(r.worker.ID),
		"AgeMs", now.Sub(r.since).Milliseconds(), "Percent", r.percent)
	r.task.lostAt = now
	s.detach(r)
	s.requeue(now, r.task)
}

// requeue lets a task without a run wait again. The members of a gang wait until
// none of them has a run.
func (s *Scheduler) requeue(now time.Time, t *task) {
	st := t.step
	if len(st.tasks) > 0 && st.Gang {
		for _, m := range st.tasks {
			if m.run != nil && !m.done {
				s.stopRun(now, m.run)
			}
		}
	}
	s.enqueue(t)
}

// deadline returns the time on the worker's clock until which a lease may be ordered
// now, and false where none may be. A worker that doesn't answer gets no longer lease
// after a short time: its tasks start elsewhere once the lease has lapsed.
func (s *Scheduler) deadline(now time.Time, w *worker) (int64, bool) {
	if !w.unreachableSince.IsZero() && now.Sub(w.unreachableSince) > extendWhileUnreachable {
		return w.deadlineMs, now.Before(w.leaseUntil)
	}
	lease := min(s.cfg.Lease, s.leaderConfirmedAt.Add(s.cfg.Grace+s.cfg.Lease).Sub(now))
	if lease <= 0 || w.clockAt.IsZero() {
		return 0, false
	}
	if until := now.Add(lapseTime(lease)); until.After(w.leaseUntil) {
		w.leaseUntil = until
	}
	w.deadlineMs = max(w.deadlineMs, w.clockMs+now.Sub(w.clockAt).Milliseconds()+lease.Milliseconds())
	return w.deadlineMs, true
}

// setClock takes the worker's clock as an answer told it.
func (w *worker) setClock(now time.Time, ms int64) {
	if ms > 0 {
		w.clockMs, w.clockAt = ms, now
	}
}

// tickWorkers sends what is due to workers and finds leases that have lapsed.
func (s *Scheduler) tickWorkers(now time.Time) {
	for _, w := range s.workers.all() {
		for _, r := range w.runs.all() {
			s.retry(now, r)
		}
		if w.Draining {
			s.evacuate(now, w)
		}
		if !w.holdPending && !now.Before(w.nextHold) && w.needsHold() {
			s.sendHold(now, w)
		}
		s.dropIfLost(now, w)
	}
}

// needsHold reports whether the worker has a lease to keep or ends to be told of.
func (w *worker) needsHold() bool {
	return !w.contacted || w.runs.len() > 0 || w.storedEnd > w.reportedEnd || len(w.orphans) > 0
}

func (s *Scheduler) sendHold(now time.Time, w *worker) {
	h := Hold{Worker: w.Incarnation, Address: w.Address, Token: s.cfg.Epoch, Acknowledged: w.storedEnd, NewConnection: !w.unreachableSince.IsZero()}
	if w.runs.len() > 0 {
		h.DeadlineMs, _ = s.deadline(now, w)
		if w.unreachableSince.IsZero() && w.contacted && w.awaitsOnlyEnds() {
			h.Wait = holdWait
		}
	}
	w.holdPending = true
	s.emit(h)
}

// awaitsOnlyEnds reports whether no answer of the worker is awaited but for ends.
func (w *worker) awaitsOnlyEnds() bool {
	if len(w.orphans) > 0 {
		return false
	}
	for _, r := range w.runs.all() {
		if r.phase == stopped {
			return false
		}
	}
	return true
}

// dropIfLost gives up what ran on a worker that didn't answer until its lease has
// lapsed, and the worker itself once its entry is gone too. This owner must have been
// proved to own after that time: a later owner may have extended the lease.
func (s *Scheduler) dropIfLost(now time.Time, w *worker) {
	if w.unreachableSince.IsZero() || s.leaderConfirmedAt.Before(w.leaseUntil) {
		if !w.registered && w.runs.len() == 0 && w.contacted && !w.needsHold() {
			s.removeWorker(now, w, "left")
		}
		return
	}
	if _, ok := s.unaccounted[w.ID]; ok {
		if now.Before(s.inheritedUntil) {
			return
		}
		delete(s.unaccounted, w.ID)
		s.dirty = true
	}
	for _, r := range w.runs.all() {
		s.markLost(now, r)
	}
	if !w.registered {
		s.removeWorker(now, w, "silent and delisted")
	}
}
