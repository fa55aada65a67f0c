package scheduling

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/fleet/job"
)

// rosterState is how far the record of a worker is. Only workers whose record is
// stored get tasks: the next owner must know where tasks may run.
type rosterState int

const (
	rosterNone rosterState = iota
	rosterOpen
	rosterSent
	rosterStored
)

// worker is one life of a worker.
type worker struct {
	Entry
	roster rosterState
	// greeted workers have answered this owner: they know its token.
	greeted bool
	// clockMs was the worker's clock at clockAt.
	clockMs int64
	clockAt time.Time
	// runs are all that may run there, by task.
	runs *table[job.Task, *run]
	// used is the room of all runs.
	used job.Room
	// noted is the highest end that was counted; seen the highest that is stored;
	// told the highest that the worker was told.
	noted, seen, told int64
	// deadlineMs is the latest deadline that was ordered, on the worker's clock.
	deadlineMs int64
	// granted is when the longest lease that was ordered has lapsed for sure.
	granted time.Time
	// holding is set while a hold is out.
	holding  bool
	nextHold time.Time
	// failing is since when no call has been answered; zero while they are.
	failing time.Time
	// restUntil is when an unhealthy or full worker gets tasks again.
	restUntil time.Time
	// failures counts failed runs in a row.
	failures int
	// listed is false once the worker's entry is gone.
	listed bool
	// idleSince is when the last run ended.
	idleSince time.Time
	// cordoned workers get no new tasks: their host is due for maintenance.
	cordoned bool
	// ordered is set once the worker's host was ordered away.
	ordered bool
	// unanswered are starts that had no answer and may still arrive.
	unanswered []unanswered
	// strays are runs that the last report listed and that belong to no task, with
	// when they were told to stop.
	strays map[strayRun]time.Time
	// leavesAt is when a draining worker leaves at the earliest.
	leavesAt time.Time
	steps    map[*step]int
}

// strayRun names a run that belongs to no task.
type strayRun struct {
	task   job.Task
	number int64
}

// unanswered is a start without an answer.
type unanswered struct {
	task   job.Task
	number int64
	at     time.Time
}

func newWorker(now time.Time, e Entry) *worker {
	return &worker{
		Entry: e, runs: newTable[job.Task, *run](), steps: make(map[*step]int),
		listed: true, idleSince: now, nextHold: now,
	}
}

// Enlist takes a worker's entry, new or changed.
func (s *Scheduler) Enlist(now time.Time, e Entry) {
	w := s.workers.get(e.ID)
	if w != nil && e.Born != 0 && w.Born != 0 && e.Born < w.Born {
		return
	}
	if w != nil && e.Born != w.Born && w.Born != 0 && e.Born != 0 {
		s.reborn(now, w, e)
		return
	}
	if w == nil {
		s.enlistNew(now, e)
		return
	}
	if e.Draining && !w.Draining {
		w.leavesAt = now.Add(e.Leaving)
		s.note("worker draining", "", "Worker", string(e.ID), "LeavingMs", e.Leaving.Milliseconds(), "Runs", w.runs.len())
	}
	w.listed = true
	if e.Born == 0 {
		e.Born = w.Born
	}
	if e.Host == "" {
		e.Host = w.Host
	}
	w.Entry = e
	s.dirty = true
}

func (s *Scheduler) enlistNew(now time.Time, e Entry) {
	if e.Host != "" {
		for _, o := range s.workers.all() {
			if o.Host != e.Host || o.ID == e.ID {
				continue
			}
			if o.Born > e.Born {
				return // an entry of a former life that was written late
			}
			s.endLife(now, o, "its host runs a newer worker")
		}
	}
	w := newWorker(now, e)
	s.workers.put(e.ID, w)
	s.enroll(w)
	s.note("worker enlisted", "", "Worker", string(e.ID), "Born", e.Born, "Pool", e.Pool, "Host", string(e.Host),
		"Address", e.Address, "CPU", e.Capacity.CPU, "MemMB", e.Capacity.MemMB)
}

// enroll stores that the worker may run tasks from now on.
func (s *Scheduler) enroll(w *worker) {
	b, err := json.Marshal(w.Entry)
	if err != nil {
		s.note("worker not enrolled", "", "Worker", string(w.ID), "Error", err.Error())
		return
	}
	w.roster = rosterOpen
	s.records = append(s.records, Record{Key: RosterPrefix + string(w.ID), Value: b})
}

// reborn replaces a worker by its next life under the same ID. Orders to the former
// life that had no answer may still arrive, so the new life is told to stop them.
func (s *Scheduler) reborn(now time.Time, w *worker, e Entry) {
	if e.Host == "" {
		e.Host = w.Host
	}
	var late []*run
	for _, r := range w.runs.all() {
		if r.phase == starting || r.phase == uncertain {
			late = append(late, r)
		}
	}
	for _, r := range late {
		s.detach(r)
	}
	s.endLife(now, w, "born again")
	n := newWorker(now, e)
	s.workers.put(e.ID, n)
	s.enroll(n)
	for _, r := range late {
		r.phase = stopping
		r.retryAt = now
		s.attach(n, r)
	}
	for _, u := range w.unanswered {
		if now.Sub(u.at) < lateOrders && n.runs.get(u.task) == nil {
			s.emit(Stop{Worker: n.Life, Address: n.Address, Task: u.task, Run: u.number, Token: s.cfg.Epoch})
		}
	}
}

// Delist tells that a worker's entry is gone. What runs there goes on under its lease.
func (s *Scheduler) Delist(now time.Time, id WorkerID) {
	w := s.workers.get(id)
	if w == nil || !w.listed {
		return
	}
	w.listed = false
	s.note("worker delisted", "", "Worker", string(id), "Runs", w.runs.len())
	s.dropIfLost(now, w)
}

// endLife forgets a worker of which it is certain that it runs nothing any more.
func (s *Scheduler) endLife(now time.Time, w *worker, reason string) {
	s.note("worker ended", "", "Worker", string(w.ID), "Born", w.Born, "Host", string(w.Host),
		"Reason", reason, "RunsLost", w.runs.len())
	for _, r := range w.runs.all() {
		s.lose(now, r)
	}
	s.workers.drop(w.ID)
	delete(s.unaccounted, w.ID)
	delete(s.ended, w.ID)
	s.records = append(s.records, Record{Key: RosterPrefix + string(w.ID)})
	s.dirty = true
}

// attach makes a run part of a worker.
func (s *Scheduler) attach(w *worker, r *run) {
	r.worker = w
	r.room = r.task.step.Takes()
	w.runs.put(r.task.id(), r)
	w.used = w.used.Add(r.room)
	w.steps[r.task.step]++
	r.task.run = r
}

// detach takes a run off its worker; the task stays without one.
func (s *Scheduler) detach(r *run) {
	w := r.worker
	w.runs.drop(r.task.id())
	w.used = w.used.Sub(r.room)
	if w.steps[r.task.step]--; w.steps[r.task.step] <= 0 {
		delete(w.steps, r.task.step)
	}
	r.task.run = nil
	s.dirty = true
}

// lose ends a run that is certainly gone without a listed end.
func (s *Scheduler) lose(now time.Time, r *run) {
	if r.checkpoint != "" {
		r.task.checkpoint = r.checkpoint
	}
	s.note("run lost", r.task.owner().ID, "Task", r.task.id().String(), "Run", r.number, "Worker", string(r.worker.ID),
		"AgeMs", now.Sub(r.since).Milliseconds(), "Percent", r.percent)
	s.detach(r)
	s.settle(now, r.task)
}

// settle lets a task without a run wait again. The members of a gang wait until
// none of them has a run.
func (s *Scheduler) settle(now time.Time, t *task) {
	w := t.step
	if len(w.tasks) > 0 && w.Gang {
		for _, m := range w.tasks {
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
	if !w.failing.IsZero() && now.Sub(w.failing) > extendWhileFailing {
		return w.deadlineMs, now.Before(w.granted)
	}
	lease := min(s.cfg.Lease, s.confirmed.Add(s.cfg.Grace+s.cfg.Lease).Sub(now))
	if lease <= 0 || w.clockAt.IsZero() {
		return 0, false
	}
	if until := now.Add(lapseTime(lease)); until.After(w.granted) {
		w.granted = until
	}
	w.deadlineMs = max(w.deadlineMs, w.clockMs+now.Sub(w.clockAt).Milliseconds()+lease.Milliseconds())
	return w.deadlineMs, true
}

// clock takes the worker's clock as an answer told it.
func (w *worker) clock(now time.Time, ms int64) {
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
		if !w.holding && !now.Before(w.nextHold) && w.needsHold() {
			s.hold(now, w)
		}
		s.dropIfLost(now, w)
	}
}

// needsHold reports whether the worker has a lease to keep or ends to be told of.
func (w *worker) needsHold() bool {
	return !w.greeted || w.runs.len() > 0 || w.seen > w.told || len(w.strays) > 0
}

func (s *Scheduler) hold(now time.Time, w *worker) {
	h := Hold{Worker: w.Life, Address: w.Address, Token: s.cfg.Epoch, SeenUpto: w.seen, Fresh: !w.failing.IsZero()}
	if w.runs.len() > 0 {
		h.DeadlineMs, _ = s.deadline(now, w)
		if w.failing.IsZero() && w.greeted && w.isQuiet() {
			h.Wait = holdWait
		}
	}
	w.holding = true
	s.emit(h)
}

// isQuiet reports whether no answer of the worker is awaited but for ends.
func (w *worker) isQuiet() bool {
	if len(w.strays) > 0 {
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
	if w.failing.IsZero() || s.confirmed.Before(w.granted) {
		if !w.listed && w.runs.len() == 0 && w.greeted && !w.needsHold() {
			s.endLife(now, w, "left")
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
		s.lose(now, r)
	}
	if !w.listed {
		s.endLife(now, w, "silent and delisted")
	}
}

// Held takes the answer to a hold that was sent at sentAt.
func (s *Scheduler) Held(now time.Time, wall int64, life Life, seen int64, sentAt time.Time, a Answer, rep Report) {
	w := s.workers.get(life.ID)
	if w == nil || w.Life != life {
		return
	}
	w.holding = false
	switch a.Outcome {
	case Accepted:
	case Fenced:
		s.metFence(w.ID, "hold")
		return
	case OtherLife:
		s.endLife(now, w, "its address belongs to another worker")
		return
	default:
		s.unreachable(now, w, a.Outcome)
		return
	}
	if rep.Born != 0 && w.Born != 0 && rep.Born != w.Born {
		e := w.Entry
		e.Born = rep.Born
		s.reborn(now, w, e)
		return
	}
	s.reachable(now, w)
	w.clock(now, rep.ClockMs)
	w.told = max(w.told, seen)
	s.greet(now, w, rep)
	s.reportRunning(now, w, rep)
	s.reportEnded(now, wall, w, rep)
	if !rep.Partial {
		s.reportAbsent(now, w, sentAt, rep)
	}
	if w.runs.len() == 0 && w.idleSince.IsZero() {
		w.idleSince = now
	}
	s.pace(now, w)
	w.nextHold = now.Add(holdGap)
	if w.noted > w.seen {
		// A hold answers at once while ends are listed that it doesn't acknowledge.
		w.nextHold = now.Add(storeWait)
	}
	if rep.Partial {
		w.nextHold = now
	}
	if len(w.strays) > 0 {
		w.nextHold = now.Add(storeWait)
	}
}

func (s *Scheduler) unreachable(now time.Time, w *worker, o Outcome) {
	if w.failing.IsZero() {
		w.failing = now
		s.note("worker unreachable", "", "Worker", string(w.ID), "Outcome", o.String(), "Runs", w.runs.len(),
			"LapsedInMs", w.granted.Sub(now).Milliseconds())
	}
	w.nextHold = now.Add(retryGap)
}

func (s *Scheduler) reachable(now time.Time, w *worker) {
	if !w.failing.IsZero() {
		s.note("worker reachable again", "", "Worker", string(w.ID), "AfterMs", now.Sub(w.failing).Milliseconds())
		w.failing = time.Time{}
		s.dirty = true
	}
}

// greet notes that the worker knows this owner's token: nothing that an earlier
// owner ordered can start there any more.
func (s *Scheduler) greet(now time.Time, w *worker, rep Report) {
	if w.greeted {
		return
	}
	w.greeted = true
	s.dirty = true
	s.note("worker greeted", "", "Worker", string(w.ID), "Runs", len(rep.Running), "Ends", len(rep.Ended),
		"SinceTakeoverMs", now.Sub(s.startedAt).Milliseconds())
}

func (s *Scheduler) metFence(id WorkerID, order string) {
	if !s.fenced {
		s.fenced = true
		s.note("fenced by a worker", "", "Worker", string(id), "Order", order, "Token", s.cfg.Epoch)
	}
}

// reportRunning compares what runs on a worker with what should.
func (s *Scheduler) reportRunning(now time.Time, w *worker, rep Report) {
	strays := w.strays
	w.strays = make(map[strayRun]time.Time)
	for _, row := range rep.Running {
		r := w.runs.get(row.Task)
		if r != nil && r.number == row.Run {
			s.observe(now, r, row)
			continue
		}
		t := s.find(row.Task)
		if t == nil {
			s.stopStray(now, w, row, strays)
			continue
		}
		t.lastRun = max(t.lastRun, row.Run)
		if r != nil || t.done || t.run != nil || t.owner().state.Final() {
			s.stopStray(now, w, row, strays)
			continue
		}
		s.adopt(now, w, t, row)
	}
	if _, ok := s.unaccounted[w.ID]; ok {
		delete(s.unaccounted, w.ID)
		s.dirty = true
	}
	s.dirty = s.dirty || len(strays) > len(w.strays)
}

func (s *Scheduler) observe(now time.Time, r *run, row RunRow) {
	if r.phase == starting || r.phase == uncertain {
		r.phase = running
		r.retryAt = time.Time{}
		s.countBegun(r.task.owner())
	}
	r.knownAt = now
	r.percent, r.load = row.Percent, row.Load
	if row.Checkpoint != "" {
		r.checkpoint = row.Checkpoint
	}
}

// adopt takes over a run that an earlier owner started.
func (s *Scheduler) adopt(now time.Time, w *worker, t *task, row RunRow) {
	if s.inheritedUntil.After(w.granted) {
		w.granted = s.inheritedUntil // its lease was ordered by an earlier owner
	}
	r := &run{task: t, number: row.Run, phase: running, since: now, knownAt: now, percent: row.Percent, load: row.Load, checkpoint: row.Checkpoint, pace: 100}
	s.unqueue(t)
	s.attach(w, r)
	w.idleSince = time.Time{}
	s.countBegun(t.owner())
	s.note("run adopted", t.owner().ID, "Task", row.Task.String(), "Run", row.Run, "Worker", string(w.ID))
}

// unqueue takes a task out of those that wait.
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

// stopStray stops a run that isn't wanted and belongs to no task. It takes room that
// isn't known until it is gone.
func (s *Scheduler) stopStray(now time.Time, w *worker, row RunRow, before map[strayRun]time.Time) {
	key := strayRun{row.Task, row.Run}
	if at, ok := before[key]; ok && now.Sub(at) < strayGap {
		w.strays[key] = at
		return
	}
	w.strays[key] = now
	s.note("stray run stopped", row.Task.Job, "Task", row.Task.String(), "Run", row.Run, "Worker", string(w.ID))
	s.emit(Stop{Worker: w.Life, Address: w.Address, Task: row.Task, Run: row.Run, Token: s.cfg.Epoch})
}

// reportEnded counts each end once.
func (s *Scheduler) reportEnded(now time.Time, wall int64, w *worker, rep Report) {
	for _, row := range rep.Ended {
		if row.Number <= w.noted {
			continue
		}
		w.noted = row.Number
		s.ended[w.ID] = row.Number
		s.end(now, wall, w, row)
	}
}

func (s *Scheduler) end(now time.Time, wall int64, w *worker, row EndRow) {
	t := s.find(row.Task)
	r := w.runs.get(row.Task)
	if r != nil && r.number <= row.Run {
		if row.How == EndDone && !r.task.step.LongRunning {
			s.learn(now, r)
		}
		s.detach(r)
	}
	s.note("run ended", row.Task.Job, "Task", row.Task.String(), "Run", row.Run, "Worker", string(w.ID), "How", string(row.How))
	if t == nil {
		return
	}
	t.lastRun = max(t.lastRun, row.Run)
	s.countBegun(t.owner())
	if row.Checkpoint != "" && t.step.Checkpointing {
		t.checkpoint = row.Checkpoint
	}
	switch row.How {
	case EndDone:
		w.failures = 0
		s.taskDone(now, wall, t)
	case EndFailed:
		s.taskFailed(now, wall, w, t, row.Run)
	default:
		if t.checkpoint != "" && row.Checkpoint != "" {
			s.change(t.owner())
		}
	}
	if t.run == nil {
		s.settle(now, t)
	}
}

// taskDone counts a finished run. One member's end stands for its whole gang.
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

func (s *Scheduler) taskFailed(now time.Time, wall int64, w *worker, t *task, number int64) {
	if slices.Contains(t.failed, number) {
		return // counted before, by this owner or an earlier one
	}
	t.failed = append(t.failed, number)
	if t.step.LongRunning && len(t.failed) > keptFailures {
		t.failed = t.failed[1:]
	}
	t.avoid = w.ID
	w.failures++
	if w.failures >= failuresToRest {
		w.failures = 0
		w.restUntil = now.Add(unhealthyPause)
		s.note("worker rests", "", "Worker", string(w.ID), "Reason", "failed runs in a row", "Runs", failuresToRest)
	}
	s.change(t.owner())
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
	if failures >= s.attempts(t.owner()) {
		s.finish(now, wall, t.owner(), job.Failed, "a task used up its attempts")
	}
}

// attempts is how many runs of a task may fail.
func (s *Scheduler) attempts(js *jobState) int {
	if q, ok := s.conf.Queue(js.Queue); ok {
		return max(q.MaxAttempts, 1)
	}
	return 1
}

// reportAbsent finds runs that should be in a list and are in none: those whose
// stop was answered before the hold was sent, and those known to run before it.
func (s *Scheduler) reportAbsent(now time.Time, w *worker, sentAt time.Time, rep Report) {
	if w.runs.len() == 0 {
		return
	}
	there := make(map[job.Task]int64, len(rep.Running))
	for _, row := range rep.Running {
		there[row.Task] = row.Run
	}
	for id, r := range w.runs.all() {
		if there[id] == r.number {
			continue
		}
		switch {
		case r.phase == stopped && r.stoppedAt.Before(sentAt):
			s.detach(r)
			s.settle(now, r.task)
		case r.phase == running && r.knownAt.Before(sentAt):
			s.lose(now, r)
		}
	}
}
