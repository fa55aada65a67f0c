package scheduling

import (
	"encoding/json"
	"time"

	"github.com/godwitcross/godwitcross/fleet/history"
	"github.com/godwitcross/godwitcross/fleet/job"
)

// registrationState is the state of a worker's stored record. Only workers whose record
// is stored get tasks, as the next leader must know where tasks may run.
type registrationState int

const (
	registrationNone registrationState = iota
	// registrationOpen records are part of the next commit.
	registrationOpen
	// registrationSent records are part of a pending commit.
	registrationSent
	registrationStored
)

// worker is one incarnation of a worker.
type worker struct {
	Entry
	registration registrationState
	// contacted workers have answered this leader and so know its token.
	contacted bool
	// token is that of the next order, which rises. Orders without an answer have lower ones.
	token int64
	// answeredToken is the highest token of an order that this incarnation has accepted, 0 if there is none.
	answeredToken int64
	// clockMs was the worker's monotonic clock at clockAt.
	clockMs int64
	clockAt time.Time
	// runs are all runs that may exist on the worker, by task.
	runs *table[job.Task, *run]
	// used is the sum of the resources of all runs.
	used job.Resources
	// The next three are numbers of ends, each at most the one before. Ends up to countedEnd
	// are applied to their tasks, those up to storedEnd are also stored, and those up to
	// acknowledgedEnd were acknowledged by a hold that the worker has answered.
	countedEnd, storedEnd, acknowledgedEnd int64
	// keptEnds are ends that may not be acknowledged yet, by their numbers.
	keptEnds []keptEnd
	// awaitsLapse workers get no runs and acknowledge none of keptEnds until their lease has lapsed.
	awaitsLapse bool
	// deadlineMs is the latest end of a lease that was sent, on the worker's clock.
	deadlineMs int64
	// leaseUntil is when the longest lease that was sent has certainly lapsed.
	leaseUntil time.Time
	// leaseGivenUp is set if the next leader may rely on the end of the lease: it isn't
	// extended until a new record of the worker is stored.
	leaseGivenUp bool
	// holdPending is set while a hold is unanswered, which was sent at holdSentAt with holdToken.
	holdPending bool
	holdSentAt  time.Time
	holdToken   int64
	// nextHold is when the next hold is due.
	nextHold time.Time
	// unreachableSince is since when holds have failed; zero while they succeed.
	unreachableSince time.Time
	// reachableAt is when the worker last answered after it had been unreachable, zero if it never was.
	reachableAt time.Time
	// clearedAt is from when an end of the worker isn't due to its runs: its lease was found to have lapsed, or a host
	// list was requested that shows it, after clearingSilence. shownAt is when such a list was requested. They are zero
	// while the worker answers.
	clearedAt, shownAt time.Time
	// brokeAt is when the connection to the worker broke while it was in touch, if it hasn't answered since.
	// wasReset is set if it was reset, which may have happened on the way.
	brokeAt  time.Time
	wasReset bool
	// pausedUntil is when an unhealthy, quarantined or full worker may get tasks again.
	pausedUntil time.Time
	// failedJobs are the jobs with failures since the last success that are attributed to
	// this worker.
	failedJobs map[job.ID]bool
	// onProbation workers were quarantined and get one task at a time until one succeeds.
	onProbation bool
	// registered is set while the worker has an entry in the registry.
	registered bool
	// entryUnread is set while the worker's entry, with its capacity and labels, is that of an
	// earlier incarnation.
	entryUnread bool
	// other is an entry of another incarnation, which may be the next one, until an answer shows whether it is; else nil.
	other *otherEntry
	// registeredAt is when this incarnation was registered or restored.
	registeredAt time.Time
	// idleSince is when a report first showed that the worker runs nothing, or when it was
	// registered. It is zero from the start of a run until such a report.
	idleSince time.Time
	// unlisted counts the host lists that don't show the worker since it ceased to answer.
	unlisted absence
	// cordoned workers get no new tasks because their host is due for maintenance or a
	// move.
	cordoned bool
	// hostOrdered is set once a move or maintenance of the worker's host was ordered.
	hostOrdered bool
	// isolatedRun is the last isolated run that was started. Use runsIsolated.
	isolatedRun *run
	// quietUntil is until when only isolated runs may begin.
	quietUntil time.Time
	// unanswered are starts that got no answer and may still be carried out, also those of earlier
	// incarnations.
	unanswered []unansweredStart
	// reportedAt is when the last report of this incarnation arrived; reports counts them from 1.
	reportedAt time.Time
	reports    int64
	// deadlineSentAt is when an order with a deadline was last sent.
	deadlineSentAt time.Time
	// mayHaveRestarted is set while orders since the last report may have reached a later incarnation,
	// restartSuspected once an answer has shown that they did.
	mayHaveRestarted, restartSuspected bool
	// orphans are the orphaned runs of the last report, with when each was last told to
	// stop.
	orphans map[orphanedRun]time.Time
	// leavesAt is the earliest time at which a draining worker leaves.
	leavesAt time.Time
	// done remembers whether the last done runs were slow.
	done history.Worker[job.ID]
	// runsByStep counts the runs on the worker by step.
	runsByStep map[*step]int
}

// orphanedRun identifies a run on a worker that the leader has no record of or doesn't
// want.
type orphanedRun struct {
	task   job.Task
	number int64
}

// unansweredStart identifies a start that got no answer.
type unansweredStart struct {
	task   job.Task
	number int64
	at     time.Time
}

func (s *Scheduler) newWorker(now time.Time, e Entry) *worker {
	return &worker{
		Entry: e, token: s.nextToken(now), runs: newTable[job.Task, *run](), runsByStep: make(map[*step]int),
		registered: true, registeredAt: now, idleSince: now, nextHold: now,
	}
}

// Register handles a new or changed entry of a worker.
func (s *Scheduler) Register(now time.Time, e Entry) {
	if !s.namesWorker(e) {
		s.keepForeign(e)
		return
	}
	delete(s.foreign, e.ID)
	w := s.workers.get(e.ID)
	if w != nil && e.StartedAt != w.StartedAt && w.StartedAt != 0 && e.StartedAt != 0 {
		if e.isNewerThan(w.Entry) {
			s.replaceIncarnation(now, w, e)
		} else {
			s.askIncarnation(now, w, e)
		}
		return
	}
	if w == nil {
		s.registerNew(now, e)
		return
	}
	if e.Draining && !w.Draining {
		w.leavesAt = now.Add(e.LeavesIn)
		s.logDecision("worker draining", "", "Worker", string(e.ID), "LeavingMs", e.LeavesIn.Milliseconds(), "Runs", w.runs.len())
	}
	w.registered, w.entryUnread = true, false
	if e.StartedAt == 0 {
		e.StartedAt = w.StartedAt
	}
	if e.Host == "" {
		e.Host = w.Host
	}
	e.Registration, e.Restarted, e.LatestStart = w.Registration, w.Restarted, w.LatestStart
	w.Entry = e
	s.dirty = true
}

func (s *Scheduler) registerNew(now time.Time, e Entry) {
	if s.isOrderUnknown(e) || s.hasAnsweringOther(now, e) {
		s.awaitHostList(now, e)
		return
	}
	s.registerOnHost(now, e)
}

// registerOnHost registers a new worker in place of the others on its host.
func (s *Scheduler) registerOnHost(now time.Time, e Entry) {
	delete(s.unregistered, e.ID)
	if e.Host != "" {
		for _, other := range s.othersOnHost(e) {
			if e.Pool == other.Pool {
				s.countCrashes(now, other, s.endedBefore(now, e.StartedAt))
			}
			s.dropPendingOn(other.ID)
			s.removeWorker(now, other, "its host runs a newer worker")
		}
		s.checkLapsed(now, e, false)
	}
	if h := s.hosts.get(e.Host); h != nil {
		e = e.following(Entry{LatestStart: h.latestStart})
	}
	w := s.newWorker(now, e)
	s.workers.put(e.ID, w)
	s.storeRegistration(w)
	s.stopLateStarts(now, w)
	// The log field Born is the start time; logged names stay.
	s.logDecision("worker registered", "", "Worker", string(e.ID), "Born", e.StartedAt, "Pool", e.Pool, "Host", string(e.Host),
		"Address", e.Address, "CPU", e.Capacity.CPU, "MemMB", e.Capacity.MemMB)
}

// storeRegistration makes the worker's record, which lets it run tasks, part of the next
// commit.
func (s *Scheduler) storeRegistration(w *worker) {
	s.registrations++
	w.Registration = s.cfg.Epoch*registrationsPerEpoch + s.registrations
	b, err := json.Marshal(w.Entry)
	if err != nil {
		s.logDecision("registration not stored", "", "Worker", string(w.ID), "Error", err.Error())
		return
	}
	w.registration = registrationOpen
	s.records = append(s.records, Record{Key: RegistryPrefix + string(w.ID), Value: b})
}

// Deregister handles the removal of a worker's entry. The worker's runs go on under its
// lease.
func (s *Scheduler) Deregister(now time.Time, id WorkerID) {
	delete(s.unregistered, id)
	delete(s.foreign, id)
	w := s.workers.get(id)
	if w == nil || !w.registered {
		return
	}
	w.registered = false
	s.logDecision("worker deregistered", "", "Worker", string(id), "Runs", w.runs.len())
	s.registerAwaited(now, w.Host)
	if s.workers.get(id) != w {
		return
	}
	s.dropIfLost(now, w)
}

// removeWorker removes a worker that certainly runs nothing any more.
func (s *Scheduler) removeWorker(now time.Time, w *worker, reason string) {
	s.logDecision("worker ended", "", "Worker", string(w.ID), "Born", w.StartedAt, "Host", string(w.Host),
		"Reason", reason, "RunsLost", w.runs.len())
	for _, r := range w.runs.all() {
		s.markLost(now, r)
	}
	if h := s.hosts.get(w.Host); h != nil {
		h.latestStart = max(h.latestStart, w.StartedAt, w.LatestStart)
	}
	s.keepLateStarts(now, w)
	s.workers.drop(w.ID)
	s.dropUnprovenOn(w.Incarnation)
	s.accountFor(now, w.ID, reason)
	delete(s.unstoredEnds, w.ID)
	s.records = append(s.records, Record{Key: RegistryPrefix + string(w.ID)})
	s.dirty = true
}

// attach adds a run to a worker and makes it the current run of its task.
func (s *Scheduler) attach(w *worker, r *run) {
	r.worker = w
	r.resources = r.task.step.Requests()
	w.runs.put(r.task.id(), r)
	w.used = w.used.Add(r.resources)
	w.runsByStep[r.task.step]++
	r.task.step.occ.countRun(w, 1)
	s.countUse(r)
	r.task.earlierRun = r.task.run
	r.task.run = r
}

// detach removes a run from its worker and its task, which may have another run.
func (s *Scheduler) detach(r *run) {
	w := r.worker
	w.runs.drop(r.task.id())
	w.used = w.used.Sub(r.resources)
	if w.runsByStep[r.task.step]--; w.runsByStep[r.task.step] <= 0 {
		delete(w.runsByStep, r.task.step)
	}
	r.task.step.occ.countRun(w, -1)
	s.uncountUse(r)
	switch t := r.task; r {
	case t.run:
		t.run, t.earlierRun = t.earlierRun, nil
	case t.earlierRun:
		t.earlierRun = nil
	}
	s.dirty = true
}

// countRun adds n to the number of the occurrence's runs in the worker's rack and data
// centre.
func (o *occurrence) countRun(w *worker, n int) {
	o.onRacks[w.Rack] += n
	o.inDataCentres[w.DataCentre] += n
}

// markLost ends a run that is certainly gone although no end was reported.
func (s *Scheduler) markLost(now time.Time, r *run) {
	if r.checkpoint != "" {
		r.task.checkpoint = r.checkpoint
	}
	s.logDecision("run lost", r.task.job().ID, "Task", r.task.id().String(), "Run", r.number, "Worker", string(r.worker.ID),
		"AgeMs", now.Sub(r.orderedAt).Milliseconds(), "Percent", r.reportedPace)
	r.task.lostAt = now
	s.detach(r)
	s.requeue(now, r.task)
}

// requeue lets a task without a run wait for a worker again. The members of a gang wait
// until none of them has a run, so the runs of the other members are stopped.
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

// extendLease extends a worker's lease. It returns the end of the lease that may be sent
// now, on the worker's clock, and false if none may be. The lease isn't extended any more
// once the worker has been unreachable for extendWhileUnreachable, or while it is given up: its
// tasks start elsewhere when the lease has lapsed.
func (s *Scheduler) extendLease(now time.Time, w *worker) (int64, bool) {
	if !w.mayExtendLease(now) {
		return w.deadlineMs, now.Before(w.leaseUntil)
	}
	lease := min(s.cfg.Lease, s.leaderConfirmedAt.Add(s.cfg.Grace+s.cfg.Lease).Sub(now))
	if lease <= 0 || w.clockAt.IsZero() {
		return 0, false
	}
	w.extendLeaseUntil(now.Add(lapseTime(lease)))
	w.deadlineMs = max(w.deadlineMs, w.earliestClock(now)+lease.Milliseconds())
	return w.deadlineMs, true
}

// earliestClock returns the least that the worker's clock can show now, as it may be slow.
func (w *worker) earliestClock(now time.Time) int64 {
	return w.clockMs + time.Duration(float64(now.Sub(w.clockAt))/clockDrift).Milliseconds()
}

// mayExtendLease reports whether orders to the worker may extend its lease.
func (w *worker) mayExtendLease(now time.Time) bool {
	return !w.leaseGivenUp && w.other == nil && w.unreachableFor(now) <= extendWhileUnreachable
}

// extendLeaseUntil records that the worker's lease may last until a time.
func (w *worker) extendLeaseUntil(until time.Time) {
	if until.After(w.leaseUntil) {
		w.leaseUntil = until
	}
}

// setClock records the worker's clock as given in an answer. A clock that is behind may be that of an incarnation
// that has started since, whose lease lasts until the same deadline.
func (s *Scheduler) setClock(now time.Time, w *worker, ms int64) {
	if ms <= 0 {
		return
	}
	if !w.clockAt.IsZero() && ms < w.earliestClock(now) {
		left := time.Duration(w.deadlineMs-ms) * time.Millisecond
		w.extendLeaseUntil(now.Add(lapseTime(min(left, s.cfg.MaxLease))))
	}
	w.clockMs, w.clockAt = ms, now
}

// tickWorkers sends due orders to workers and handles lapsed leases.
func (s *Scheduler) tickWorkers(now time.Time) {
	for _, w := range s.workers.all() {
		for _, r := range w.runs.all() {
			s.retryRun(now, r)
		}
		if w.Draining {
			s.evacuate(now, w)
		}
		if !w.holdPending && !now.Before(w.nextHold) && (w.needsHold() || w.isClockOld(now)) {
			s.sendHold(now, w)
		}
		s.dropIfLost(now, w)
	}
}

// needsHold reports whether a hold has a purpose: first contact, a lease to extend, ends
// to acknowledge, orphaned runs to watch, a given-up lease to resume, or another incarnation's entry.
func (w *worker) needsHold() bool {
	return !w.contacted || w.other != nil || w.leaseGivenUp && !w.Draining || w.runs.len() > 0 || w.storedEnd > w.acknowledgedEnd || len(w.orphans) > 0
}

// isClockOld reports whether the worker's clock has to be read again: a lease on it would be much shorter than it
// has to be, or have ended already.
func (w *worker) isClockOld(now time.Time) bool {
	return w.registered && now.Sub(w.clockAt) > maxClockAge
}

func (s *Scheduler) sendHold(now time.Time, w *worker) {
	h := Hold{Worker: w.Incarnation, Address: w.Address, Token: w.token, Acknowledged: s.acknowledgedBy(now, w), NewConnection: !w.unreachableSince.IsZero()}
	if w.runs.len() > 0 {
		if w.unreachableFor(now) <= extendWhileUnreachable && w.other == nil {
			h.DeadlineMs, _ = s.extendLease(now, w)
			s.recordDeadline(now, w)
		}
		if w.unreachableSince.IsZero() && w.contacted && w.awaitsOnlyEnds() && !s.isAskedAbout(w) {
			h.Wait = holdWait
		}
	}
	w.holdPending, w.holdSentAt, w.holdToken = true, now, w.token
	s.emit(h)
}

// awaitsOnlyEnds reports whether the worker may delay its answer to a hold until a run
// ends: neither a stopped nor an orphaned run is expected to leave its report, its lease needn't be
// extended as soon as that is possible again, and no isolated run has to prove itself.
func (w *worker) awaitsOnlyEnds() bool {
	if w.leaseGivenUp || w.other != nil || w.runsIsolated() || len(w.orphans) > 0 {
		return false
	}
	for _, r := range w.runs.all() {
		if r.phase == stopped {
			return false
		}
	}
	return true
}

// dropIfLost marks the runs of an unreachable worker as lost once its lease has lapsed,
// and removes the worker if its entry is gone too. Leadership must have been confirmed
// after the lease lapsed, as a later leader may have extended it. A deregistered
// worker that was contacted, has no runs and needs no hold is removed without waiting for
// its lease.
func (s *Scheduler) dropIfLost(now time.Time, w *worker) {
	if w.unreachableSince.IsZero() || s.leaderConfirmedAt.Before(w.leaseUntil) {
		if !w.registered && w.runs.len() == 0 && w.contacted && !w.needsHold() {
			s.removeWorker(now, w, "left")
		}
		return
	}
	if s.isUnaccounted(w.ID) {
		if s.leaderConfirmedAt.Before(s.lapsesAt(w)) {
			return
		}
		s.accountFor(now, w.ID, "lapsed")
	}
	s.rememberLapsed(now, w)
	for _, r := range w.runs.all() {
		s.markLost(now, r)
	}
	if !w.registered {
		s.removeWorker(now, w, "unreachable and deregistered")
	}
}
