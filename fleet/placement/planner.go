package placement

import (
	"container/heap"
	"time"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// planner makes one plan from the queues.
type planner struct {
	s     *Scheduler
	now   time.Time
	limit int
	plan  Plan
	// placed are the jobs of the plan's starts. Their reservations are released when the
	// plan is complete.
	placed []*Job
	// blocked are the queues whose first job fits on no worker.
	blocked []*cursor
	// preempted are the workers on which the plan already preempts jobs.
	preempted map[inventory.WorkerID]bool
}

// cursor is a queue with the first of its jobs that the plan has not started.
type cursor struct {
	queue *queue
	pool  *poolState
	job   *Job
}

// isFull reports whether the plan has reached the limit of starts.
func (p *planner) isFull() bool {
	return len(p.plan.Starts) >= p.limit
}

// planUrgent starts urgent jobs, the queue with the oldest job first, and preempts
// normal jobs for those that do not fit.
func (p *planner) planUrgent() {
	if p.s.jobs.queues.urgent == 0 {
		return
	}
	for _, q := range p.s.jobs.queues.urgentInOrder() {
		c := p.cursor(q)
		if c == nil {
			continue
		}
		for !p.isFull() && p.start(c) {
			continue
		}
		for j := c.job; j != nil && p.preempt(j, c.pool, isNormal); j = j.next {
			continue
		}
	}
}

// cursor returns a cursor of the queue, or nil if its jobs can never run under the
// layout. Such a queue blocks no other queue, since each is planned on its own.
func (p *planner) cursor(q *queue) *cursor {
	c := &cursor{queue: q, pool: p.s.poolOfQueue(q), job: q.first}
	if p.s.whyNever(q.first, c.pool) != "" {
		return nil
	}
	return c
}

// start starts the cursor's next job and reports whether it found a worker. A job with
// earlier failures that finds no worker is skipped, so that it does not block the next.
func (p *planner) start(c *cursor) bool {
	for c.job != nil {
		j := c.job
		if p.place(j, c.pool) {
			c.job = j.next
			return true
		}
		if !p.s.jobs.health.hasFailed(j) {
			return false
		}
		p.abandonIfFailedEverywhere(j, c.pool)
		c.job = j.next
	}
	return false
}

// place adds a start of the job to the plan and reports whether a worker had capacity.
func (p *planner) place(j *Job, pool *poolState) bool {
	need := p.s.need(j)
	w := pool.find(need, j.Template, func(w *workerState) bool { return p.s.mayPlace(j, w, p.now) })
	if w == nil {
		return false
	}
	st := Start{Job: j.ID, Worker: w.ID, Rack: w.Rack, Pool: pool.id, Size: need}
	p.s.reserve(st, j.Team, j.Template, need)
	p.plan.Starts = append(p.plan.Starts, st)
	p.placed = append(p.placed, j)
	return true
}

// abandonIfFailedEverywhere abandons a job that failed on every healthy worker of its
// pool.
func (p *planner) abandonIfFailedEverywhere(j *Job, pool *poolState) {
	healthy := 0
	for _, w := range pool.workers {
		if p.s.jobs.IsQuarantined(w.ID) {
			continue
		}
		if p.s.jobs.health.mayPlace(j, w, p.now) {
			return
		}
		healthy++
	}
	if healthy > 0 {
		p.plan.Abandoned = append(p.plan.Abandoned, j.ID)
	}
}

// releasePlaced releases the reservations of the plan's starts.
func (p *planner) releasePlaced() {
	for i, st := range p.plan.Starts {
		j := *p.placed[i]
		j.Start, j.Throttled = st, false
		p.s.release(&j, st.Size)
	}
}

// poolsPerPlan bounds the pools of one plan, so that planning does not delay the
// goroutine that applies records.
const poolsPerPlan = 8

// planNormal plans the pools that changed, and one more pool in round-robin order, since
// the end of a quarantine delay or of an Avoid does not change a pool's version.
func (p *planner) planNormal() {
	n := len(p.s.sortedPools)
	planned := 0
	for i := range n {
		at := (p.s.nextPool + i) % n
		pool := p.s.sortedPools[at]
		if i > 0 && pool.version() == pool.plannedVersion {
			continue
		}
		if planned == poolsPerPlan || p.isFull() {
			p.s.nextPool, p.plan.IsPartial = at, true
			return
		}
		planned++
		p.planPool(pool)
	}
	p.s.nextPool = (p.s.nextPool + 1) % max(n, 1)
}

// planPool plans a pool and remembers its version if there was nothing to do.
func (p *planner) planPool(pool *poolState) {
	v, before := pool.version(), p.decisions()
	p.startByFairShare(pool)
	pool.plannedVersion = -1
	if p.decisions() == before {
		pool.plannedVersion = v
	}
}

// decisions returns the number of decisions in the plan.
func (p *planner) decisions() int {
	return len(p.plan.Starts) + len(p.plan.Preemptions) + len(p.plan.Abandoned)
}

// startByFairShare starts a pool's jobs by weighted fair share: teams within their quota
// come first, then the team with the smallest share.
func (p *planner) startByFairShare(pool *poolState) {
	h := &shareHeap{}
	for _, g := range pool.groups {
		for _, q := range g.normal {
			if c := p.cursor(q); c != nil {
				h.addQueue(p.s, c)
			}
		}
	}
	heap.Init(h)
	p.blocked = p.blocked[:0]
	for h.Len() > 0 && !p.isFull() {
		t := h.shares[0]
		if p.startOldest(t) {
			t.update(p.s)
			heap.Fix(h, 0)
			continue
		}
		heap.Pop(h)
	}
	p.reclaim()
}

// startOldest starts the team's oldest job that fits on a worker. Queues whose next job
// does not fit and queues without jobs are removed from the share.
func (p *planner) startOldest(t *teamShare) bool {
	for len(t.cursors) > 0 {
		i := t.oldestCursor()
		c := t.cursors[i]
		started := p.start(c)
		if !started && c.job != nil {
			p.blocked = append(p.blocked, c)
		}
		if !started || c.job == nil {
			t.remove(i)
		}
		if started {
			return true
		}
	}
	return false
}

// reclaim preempts jobs of teams above their quota for blocked jobs of teams within
// theirs.
func (p *planner) reclaim() {
	for _, c := range p.blocked {
		team := c.queue.key.team
		if p.s.isBorrowing(team, p.s.need(c.job)) {
			continue
		}
		p.preempt(c.job, c.pool, func(v *Job) bool { return isNormal(v) && v.Team != team && p.s.isBorrowing(v.Team, inventory.Size{}) })
	}
}

func isNormal(j *Job) bool {
	return !j.Urgent
}

// isBorrowing reports whether the team exceeds its quota with more added to its use.
func (s *Scheduler) isBorrowing(team inventory.TeamID, more inventory.Size) bool {
	return !s.used[team].Add(more).FitsIn(s.layout.Teams[team].Quota)
}
