package scheduling

import (
	"maps"
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/fleet/job"
	"github.com/godwitcross/godwitcross/fleet/quota"
	"github.com/godwitcross/godwitcross/fleet/workspace"
)

// What a workspace has running may not exceed its limit, whichever leader or incarnation of a worker started it. So
// everything that may be running counts: the runs of all workers, and as of the last refreshQuotas, unanswered starts
// that may be carried out late, orphaned runs, and after a takeover what workers that haven't answered may run.
// Tasks count with their declared resources, also the processor of backfill tasks.

const (
	// quotaLogInterval is the interval between two log lines of a workspace that is held back.
	quotaLogInterval = time.Second
	// endedMemory is how long ago a job may have ended whose runs go on. It is above maxOrderDelay and the longest time
	// for which leases last on workers that no leader reaches, and allows for the difference of two hosts' clocks.
	endedMemory = 30 * time.Second
	// extraWait is how long a task that may exceed the limit waits for the answers to the workspace's other starts
	// until no others are decided for extraHold. Workers usually answer a start within some milliseconds. Both together
	// are well below the 3 s that a job may be without a run.
	extraWait = 500 * time.Millisecond
	extraHold = 500 * time.Millisecond
)

// quotas is the state of the workspaces' limits.
type quotas struct {
	ledger *quota.Ledger
	// hasUnanswered caches, since the last refreshQuotas, whether a workspace has starts without an answer.
	hasUnanswered map[*quota.Account]bool
	// extras are the workspaces that have a task which may exceed the limit, but waits for answers to other starts.
	extras map[*quota.Account]extra
	// heldBack are the workspaces that the present placement round holds back.
	heldBack map[workspace.Name]heldBack
	// nextLog is when a workspace that is held back is next logged.
	nextLog map[workspace.Name]time.Time
	// earlierStarts are starts without an answer of tasks that have a later one on another worker in pendingStarts.
	earlierStarts []earlierStart
	// ended are jobs that ended before the takeover and may have runs that the earlier leader could not stop.
	ended map[job.ID]job.Job
}

// extra is a step with a task that may exceed the limit, since when it waits for answers, and when a round last found that.
type extra struct {
	step          *step
	since, seenAt time.Time
}

// earlierStart is a pending start of a task that isn't the task's last one.
type earlierStart struct {
	task job.Task
	pendingStart
}

// heldBack counts the tasks of a workspace that are held back, and those of them that exceed its limit although nothing
// else runs.
type heldBack struct{ tasks, larger int }

func newQuotas() quotas {
	return quotas{
		ledger: quota.NewLedger(), hasUnanswered: make(map[*quota.Account]bool), extras: make(map[*quota.Account]extra),
		heldBack: make(map[workspace.Name]heldBack), nextLog: make(map[workspace.Name]time.Time), ended: make(map[job.ID]job.Job),
	}
}

// WorkspaceUse is what a workspace uses and what its limit holds back.
type WorkspaceUse struct {
	Workspace workspace.Name
	// Use is what its runs use that may be running.
	Use   job.Resources
	Limit workspace.Limit
	// HeldBack counts the waiting tasks for which the limit leaves no room, Larger the waiting tasks and members of
	// gangs that exceed it although nothing else runs.
	HeldBack, Larger int
}

// WorkspaceUse returns the use of each workspace of the configuration, in the order of their publication.
func (s *Scheduler) WorkspaceUse() []WorkspaceUse {
	all := s.configuration.Workspaces.All()
	out := make([]WorkspaceUse, len(all))
	index := make(map[workspace.Name]int, len(all))
	for i, w := range all {
		index[w.Name] = i
		out[i] = WorkspaceUse{Workspace: w.Name, Use: s.quotas.ledger.Account(w.Name).Use(), Limit: w.Limit}
	}
	if !s.quotas.ledger.HasLimits() {
		return out
	}
	plan := quota.NewPlan()
	for _, list := range s.waiting.all() {
		for _, st := range list {
			a := s.account(st.occ.job)
			i, ok := index[st.occ.job.Workspace]
			if !ok || !a.IsLimited() {
				continue
			}
			n := len(st.waiting)
			out[i].HeldBack += n - plan.Take(a, st.Resources, n, st.Gang)
			if a.IsLarger(st.Resources, st.startsTogether()) {
				out[i].Larger += n
			}
		}
	}
	return out
}

// account returns the account of a job's workspace, or nil if it has none.
func (s *Scheduler) account(js *jobState) *quota.Account {
	if js.account == nil {
		js.account = s.quotas.ledger.Account(js.Workspace)
	}
	return js.account
}

// countUse counts a run that is attached to a worker.
func (s *Scheduler) countUse(r *run) {
	if a := s.account(r.task.job()); a != nil {
		a.Start(r.task.step.Resources)
		s.quotas.hasUnanswered[a] = true
	}
}

// uncountUse counts a run no more.
func (s *Scheduler) uncountUse(r *run) {
	s.account(r.task.job()).End(r.task.step.Resources)
}

// startsTogether returns how many tasks of a step start at once or not at all.
func (st *step) startsTogether() int {
	if st.Gang {
		return st.Count
	}
	return 1
}

// fitsQuota reports whether the limit of a step's workspace has room for n tasks of the step.
func (s *Scheduler) fitsQuota(st *step, n int) bool {
	a := s.account(st.occ.job)
	if n == 1 && a.HasRoom(st.Resources) {
		return !s.isHeldForExtra(a, st)
	}
	switch a.Decide(job.Resources{}, st.Resources, n) {
	case quota.Room:
		return !s.isHeldForExtra(a, st)
	case quota.Extra:
		return s.mayStartExtra(a, st)
	default:
		return false
	}
}

// mayStartExtra reports whether a task may exceed the limit now, as each other start of its workspace is answered.
func (s *Scheduler) mayStartExtra(a *quota.Account, st *step) bool {
	if !s.hasUnansweredStarts(a) {
		delete(s.quotas.extras, a)
		return true
	}
	e, ok := s.quotas.extras[a]
	if !ok || s.tickedAt.Sub(e.seenAt) > extraHold {
		e = extra{step: st, since: s.tickedAt}
	}
	e.seenAt = s.tickedAt
	s.quotas.extras[a] = e
	return false
}

// isHeldForExtra reports whether no start of a step is decided for now, so that the workspace's starts without an answer
// get one and a task of another step, which may exceed the limit, can start. A start that gets none must not hold the others back for long, so
// they are held back for extraHold after each extraWait.
func (s *Scheduler) isHeldForExtra(a *quota.Account, st *step) bool {
	if len(s.quotas.extras) == 0 {
		return false
	}
	e, ok := s.quotas.extras[a]
	if !ok {
		return false
	}
	if e.step == st || s.tickedAt.Sub(e.seenAt) > extraHold {
		delete(s.quotas.extras, a)
		return false
	}
	return s.tickedAt.Sub(e.since)%(extraWait+extraHold) >= extraWait
}

// isHeldBack reports whether the limit of a step's workspace has no room for the step. Such a step isn't starved.
func (s *Scheduler) isHeldBack(st *step) bool {
	js := st.occ.job
	a, n := s.account(js), st.startsTogether()
	if s.fitsQuota(st, n) {
		return false
	}
	st.starvedAt = time.Time{}
	h := s.quotas.heldBack[js.Workspace]
	h.tasks += len(st.waiting)
	if a.IsLarger(st.Resources, n) {
		h.larger += len(st.waiting)
	}
	s.quotas.heldBack[js.Workspace] = h
	return true
}

// stillFits reports whether a run whose start is about to be sent, or sent again, fits a limit that may have been
// lowered since it was decided.
func (s *Scheduler) stillFits(now time.Time, r *run) bool {
	st := r.task.step
	a := s.account(st.occ.job)
	if !a.IsLimited() {
		return true
	}
	n, counted := 1, 1
	if st.Gang {
		// The members have no use without each other, so all of them fit or none does.
		n, counted = st.Count, 0
		for _, t := range st.tasks {
			counted += len(t.runs())
		}
	}
	if a.DecideAgain(st.Resources, n, counted) != quota.Full {
		return true
	}
	s.refreshQuotas(now)
	return a.DecideAgain(st.Resources, n, counted) != quota.Full
}

// hasUnansweredStarts reports whether a start of a workspace isn't answered, or may be carried out late.
func (s *Scheduler) hasUnansweredStarts(a *quota.Account) bool {
	has, ok := s.quotas.hasUnanswered[a]
	if !ok {
		has = s.findUnansweredStart(a)
		s.quotas.hasUnanswered[a] = has
	}
	return has
}

func (s *Scheduler) findUnansweredStart(a *quota.Account) bool {
	for _, w := range s.workers.all() {
		for _, r := range w.runs.all() {
			if r.phase != running && r.phase != stopped && s.account(r.task.job()) == a {
				return true
			}
		}
	}
	return false
}

// refreshQuotas counts anew what may be running besides the runs of all workers.
func (s *Scheduler) refreshQuotas(now time.Time) {
	if !s.quotas.ledger.HasLimits() {
		return
	}
	s.quotas.ledger.ResetPossible()
	clear(s.quotas.hasUnanswered)
	if now.Sub(s.startedAt) > endedMemory {
		clear(s.quotas.ended)
	}
	for id, p := range s.pendingStarts {
		s.countPendingStart(now, id, p)
	}
	s.quotas.earlierStarts = slices.DeleteFunc(s.quotas.earlierStarts, func(e earlierStart) bool { return !now.Before(e.until) })
	for _, e := range s.quotas.earlierStarts {
		s.countPendingStart(now, e.task, e.pendingStart)
	}
	for _, w := range s.workers.all() {
		for o := range w.orphans {
			s.countOrphan(o.task)
		}
	}
	s.countUnaccountedUse()
}

// countPendingStart counts a start that may be carried out late.
func (s *Scheduler) countPendingStart(now time.Time, id job.Task, p pendingStart) {
	if t := s.findTask(id); t != nil && s.mayRunLate(now, t, p) {
		a := s.account(t.job())
		a.AddPossible(t.step.Resources)
		s.quotas.hasUnanswered[a] = true
	}
}

// countOrphan counts an orphaned run, if its job is known.
func (s *Scheduler) countOrphan(id job.Task) {
	if t := s.findTask(id); t != nil {
		s.account(t.job()).AddPossible(t.step.Resources)
	} else if j, ok := s.quotas.ended[id.Job]; ok && id.Step >= 0 && id.Step < len(j.Steps) {
		s.quotas.ledger.Account(j.Workspace).AddPossible(j.Steps[id.Step].Resources)
	}
}

// inheritEnded keeps a job that ended before the takeover, unless it was completed, so that all its tasks are done. Its
// stored progress doesn't tell which of its tasks are.
func (s *Scheduler) inheritEnded(wall int64, js *jobState, j job.Job) {
	if j.Workspace != "" && js.state.Final() && js.state != job.Completed && wall-js.endedWall < endedMemory.Milliseconds() {
		j.Text = ""
		s.quotas.ended[j.ID] = j
	}
}

// isEndRemembered reports whether this leader and the next one need the steps of a job that has ended, as runs of it
// that weren't stopped, or that start late, count against a limit.
func (s *Scheduler) isEndRemembered(now time.Time, js *jobState) bool {
	return js.state != job.Completed && now.Sub(js.endedAt) < endedMemory && s.account(js).IsLimited()
}

// mayRunLate reports whether a pending start may be carried out as a run that is counted nowhere else. An
// incarnation that has answered a later order carries it out no more, but a later one may.
func (s *Scheduler) mayRunLate(now time.Time, t *task, p pendingStart) bool {
	if !now.Before(p.until) {
		return false
	}
	w := s.workers.get(p.worker)
	if w == nil {
		return true
	}
	u := s.unaccounted[w.ID]
	isCounted := u != nil && s.mayRunUnaccounted(u) && t.job().inherited && !t.done
	if w.runs.get(t.id()) != nil || isCounted {
		return false
	}
	return w.answeredToken < max(p.token, 1) || w.mayHaveRestarted || !w.unreachableSince.IsZero()
}

// mayRunUnaccounted reports whether tasks of earlier leaders may run on an unaccounted worker.
func (s *Scheduler) mayRunUnaccounted(u *unaccountedWorker) bool {
	return s.leaderConfirmedAt.Before(u.lapsesAt)
}

// place is where an unaccounted worker is.
type place struct{ pool, dataCentre string }

// unaccountedUse is what a workspace's tasks may use on unaccounted workers.
type unaccountedUse struct {
	// tasks is what the tasks take of the workers' capacity, and processor what backfill tasks use beyond that, in
	// thousandths of a core.
	tasks     job.Resources
	processor int64
	// places are those of the workers that may run them.
	places map[place]bool
}

// countUnaccountedUse counts the tasks that may run on unaccounted workers, at most the capacity of these workers. The
// progress of a job may lack ends that the earlier leader has seen, so tasks count whether their step is ready or not.
func (s *Scheduler) countUnaccountedUse() {
	capacities := make(map[place]job.Resources)
	for _, u := range s.unaccounted {
		if s.mayRunUnaccounted(u) {
			p := place{u.Pool, u.DataCentre}
			capacities[p] = capacities[p].Add(u.Capacity)
		}
	}
	if len(capacities) == 0 {
		return
	}
	uses := make(map[*quota.Account]*unaccountedUse)
	// add calls count with the use of an account, if a job may run at one of the places.
	add := func(a *quota.Account, mayRunAt func(p place) bool, count func(u *unaccountedUse)) {
		if !a.IsLimited() {
			return
		}
		u := uses[a]
		if u == nil {
			u = &unaccountedUse{places: make(map[place]bool)}
			uses[a] = u
		}
		mayRun := false
		for p := range capacities {
			if mayRunAt(p) {
				mayRun, u.places[p] = true, true
			}
		}
		if mayRun {
			count(u)
		}
	}
	for _, js := range s.jobs {
		if js.inherited {
			add(s.account(js), func(p place) bool { return js.wasInPool(p.pool) && js.mayRunIn(p.dataCentre) },
				func(u *unaccountedUse) { u.addJob(js) })
		}
	}
	for _, j := range s.quotas.ended {
		add(s.quotas.ledger.Account(j.Workspace), func(p place) bool { return p.pool == j.Pool }, func(u *unaccountedUse) {
			for _, st := range j.Steps {
				u.addTasks(st, int64(st.Count))
			}
		})
	}
	for a, u := range uses {
		capacity := job.Resources{}
		for p := range u.places {
			capacity = capacity.Add(capacities[p])
		}
		a.AddPossible(job.Resources{
			CPU: min(u.tasks.CPU, capacity.CPU) + u.processor, MemMB: min(u.tasks.MemMB, capacity.MemMB), GPU: min(u.tasks.GPU, capacity.GPU),
		})
	}
}

// addJob adds the runs that the unfinished tasks of a job may have besides those that are known.
func (u *unaccountedUse) addJob(js *jobState) {
	for _, o := range js.occurrences {
		for _, st := range o.steps {
			u.addTasks(st.Step, st.unknownRuns())
		}
	}
}

// addTasks adds n runs of tasks of a step.
func (u *unaccountedUse) addTasks(st job.Step, n int64) {
	requests := st.Requests()
	u.tasks = u.tasks.Add(job.Resources{CPU: requests.CPU * n, MemMB: requests.MemMB * n, GPU: requests.GPU * n})
	u.processor += (st.Resources.CPU - requests.CPU) * n
}

// unknownRuns returns how many runs the unfinished tasks of a step may have besides those that are known: each may have
// one, or two if they are speculative.
func (st *step) unknownRuns() int64 {
	switch {
	case st.Speculative || st.occ.job.state.Final():
	case st.released:
		return int64(len(st.waiting))
	default:
		return int64(st.Count - st.doneTasks)
	}
	attempts, n := 1, 0
	if st.Speculative {
		attempts = 2
	}
	for _, t := range st.tasks {
		if !t.done {
			n += max(attempts-len(t.runs()), 0)
		}
	}
	return int64(n)
}

// logHeldBack logs the workspaces that a placement round has held back.
func (s *Scheduler) logHeldBack(now time.Time) {
	if len(s.quotas.heldBack) == 0 {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(s.quotas.heldBack)) {
		if now.Before(s.quotas.nextLog[name]) {
			continue
		}
		s.quotas.nextLog[name] = now.Add(quotaLogInterval)
		a := s.quotas.ledger.Account(name)
		h, use, limit := s.quotas.heldBack[name], a.Use(), a.Limit()
		s.logDecision("workspace held back by its limit", "", "Workspace", string(name), "Tasks", h.tasks, "LargerThanLimit", h.larger,
			"CPU", use.CPU, "LimitCPU", limit.CPU, "MemMB", use.MemMB, "LimitMemMB", limit.MemMB, "GPU", use.GPU, "LimitGPU", limit.GPU)
	}
	clear(s.quotas.heldBack)
}
