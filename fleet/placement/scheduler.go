package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/label"
)

// minCores is the minimum number of cores reserved for a job.
const minCores inventory.Millicores = 100

// Scheduler decides which queued jobs start on which workers. It tracks the free
// capacity of each worker as the observer of a Reducer.
type Scheduler struct {
	jobs    *Reducer
	layout  Layout
	pools   map[inventory.PoolID]*poolState
	workers map[inventory.WorkerID]*workerState
	// used is the size reserved by the started jobs of each team.
	used map[inventory.TeamID]inventory.Size
	// poolOf caches the pool of each owner's set of job labels.
	poolOf map[groupKey]inventory.PoolID
	// sortedPools holds the pools by name. nextPool is the index of the pool that is
	// planned next even if it did not change.
	sortedPools []*poolState
	nextPool    int
	// avoided maps a worker that refused or did not answer its last job to the time until
	// which it gets no jobs.
	avoided map[inventory.WorkerID]time.Time
	// indexedVersion is the version of the queue set for which the pools' groups were set.
	indexedVersion int64
}

// NewScheduler returns a scheduler of the reducer's jobs with an empty layout.
func NewScheduler(jobs *Reducer) *Scheduler {
	s := &Scheduler{jobs: jobs, avoided: make(map[inventory.WorkerID]time.Time)}
	jobs.Observe(s)
	s.SetLayout(Layout{})
	return s
}

// SetLayout replaces the layout and recomputes the free capacity.
func (s *Scheduler) SetLayout(l Layout) {
	s.layout = l
	s.sortedPools, s.nextPool, s.indexedVersion = nil, 0, -1
	s.pools = make(map[inventory.PoolID]*poolState, len(l.Pools))
	s.workers = make(map[inventory.WorkerID]*workerState, len(l.Workers))
	s.used = make(map[inventory.TeamID]inventory.Size)
	s.poolOf = make(map[groupKey]inventory.PoolID)
	for id, p := range l.Pools {
		s.pools[id] = newPoolState(id, p.Owner)
		s.sortedPools = append(s.sortedPools, s.pools[id])
	}
	slices.SortFunc(s.sortedPools, func(a, b *poolState) int { return cmp.Compare(a.id, b.id) })
	members := make(map[inventory.PoolID][]*workerState)
	for _, w := range l.Workers {
		ws := &workerState{Worker: w, free: w.Size}
		s.workers[w.ID] = ws
		members[w.Pool] = append(members[w.Pool], ws)
	}
	for id, of := range members {
		if p, ok := s.pools[id]; ok {
			p.addWorkers(of)
		}
	}
	for _, j := range s.jobs.StartedJobs() {
		s.JobStarted(j)
	}
}

// JobStarted reserves the job's capacity on its worker.
func (s *Scheduler) JobStarted(j *Job) {
	if p, ok := s.pools[j.Start.Pool]; ok {
		p.changes++
	}
	s.reserve(j.Start, j.Team, j.Template, j.Reserved())
}

// JobReleased releases capacity of the job on its worker.
func (s *Scheduler) JobReleased(j *Job, size inventory.Size) {
	if p, ok := s.pools[j.Start.Pool]; ok {
		p.changes++
	}
	s.release(j, size)
}

func (s *Scheduler) release(j *Job, size inventory.Size) {
	s.used[j.Team] = s.used[j.Team].Sub(size)
	w, ok := s.workers[j.Start.Worker]
	if !ok || w.pool == nil {
		return
	}
	w.pool.setFree(w, w.free.Add(size))
	if j.Throttled {
		return
	}
	w.tasks--
	w.pool.racks[rackTemplate{w.Rack, j.Template}]--
}

func (s *Scheduler) reserve(st Start, team inventory.TeamID, template string, size inventory.Size) {
	s.used[team] = s.used[team].Add(size)
	w, ok := s.workers[st.Worker]
	if !ok || w.pool == nil {
		return
	}
	w.pool.setFree(w, w.free.Sub(size))
	w.tasks++
	w.pool.racks[rackTemplate{w.Rack, template}]++
}

// Avoid places no jobs on the worker until the given time.
func (s *Scheduler) Avoid(w inventory.WorkerID, until time.Time) {
	s.avoided[w] = until
}

// mayPlace reports whether the job may be placed on the worker now.
func (s *Scheduler) mayPlace(j *Job, w *workerState, now time.Time) bool {
	return !now.Before(s.avoided[w.ID]) && s.jobs.health.mayPlace(j, w, now)
}

// Examined returns the number of workers examined by all searches under this layout.
func (s *Scheduler) Examined() int64 {
	n := int64(0)
	for _, p := range s.pools {
		n += p.examined
	}
	return n
}

// Quota returns the data centre's share of a team's quota.
func (s *Scheduler) Quota(t inventory.TeamID) inventory.Size {
	return s.layout.Teams[t].Quota
}

// poolOfQueue returns the pool of a queue's jobs, or nil if no selector matches.
func (s *Scheduler) poolOfQueue(q *queue) *poolState {
	return s.poolOfGroup(groupKey{q.key.owner, q.key.labels}, q.labels)
}

func (s *Scheduler) poolOfGroup(k groupKey, labels label.Set) *poolState {
	id, ok := s.poolOf[k]
	if !ok {
		id = s.matchPool(k.owner, labels)
		s.poolOf[k] = id
	}
	return s.pools[id]
}

// matchPool returns the owner's first pool, by name, whose selector matches the labels.
func (s *Scheduler) matchPool(owner inventory.OwnerID, labels label.Set) inventory.PoolID {
	for _, p := range s.sortedPools {
		if p.owner == owner && s.layout.Pools[p.id].Jobs.Matches(labels) {
			return p.id
		}
	}
	return ""
}

// indexGroups assigns the groups of queued jobs to their pools.
func (s *Scheduler) indexGroups() {
	if s.indexedVersion == s.jobs.queues.version {
		return
	}
	s.indexedVersion = s.jobs.queues.version
	for _, p := range s.sortedPools {
		p.groups = p.groups[:0]
	}
	for k, g := range s.jobs.queues.groups {
		if p := s.poolOfGroup(k, g.labels); p != nil {
			p.groups = append(p.groups, g)
			p.changes++
		}
	}
}

// need returns the size to reserve for a job: the learned size of its template, or the
// declared size while the sample is too small.
func (s *Scheduler) need(j *Job) inventory.Size {
	size, ok := s.jobs.Template(j.Template).Size()
	if !ok {
		size = j.Declared
	}
	size.Cores = max(size.Cores, minCores)
	return size
}

// Plan is a set of placement decisions.
type Plan struct {
	Starts      []Start
	Preemptions []Preemption
	// Abandoned are the jobs to abandon, which failed on every healthy worker of their
	// pool.
	Abandoned []inventory.JobID
	// IsPartial is true if more pools are left for the next plan.
	IsPartial bool
}

// IsEmpty reports whether the plan has no decisions.
func (p Plan) IsEmpty() bool {
	return len(p.Starts)+len(p.Preemptions)+len(p.Abandoned) == 0
}

// Plan decides on at most limit starts. It changes no job: the decisions take effect
// when their records are applied. If urgent jobs lead to starts or preemptions, the plan
// holds no starts of other jobs, so that urgent jobs do not wait for them.
func (s *Scheduler) Plan(now time.Time, limit int) Plan {
	s.indexGroups()
	p := &planner{s: s, now: now, limit: limit, preempted: make(map[inventory.WorkerID]bool)}
	p.planUrgent()
	if len(p.plan.Starts)+len(p.plan.Preemptions) == 0 {
		p.planNormal()
	}
	p.releasePlaced()
	return p.plan
}
