package placement

import (
	"time"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// minCores is the least that is reserved for a job.
const minCores inventory.Cores = 100

// Scheduler decides which queued jobs start where. It holds what is free of
// each worker beside a Reducer, which tells it of every change.
type Scheduler struct {
	jobs    *Reducer
	layout  Layout
	pools   map[inventory.PoolID]*poolState
	workers map[inventory.WorkerID]*workerState
	// used is what the started jobs of each team hold.
	used map[inventory.TeamID]inventory.Size
	// poolOf remembers the pool of each owner's set of job labels.
	poolOf map[groupKey]inventory.PoolID
	// changes counts changes of the room at workers.
	changes int64
}

// groupKey names jobs that go to the same pool.
type groupKey struct {
	owner  inventory.OwnerID
	labels string
}

// NewScheduler returns a scheduler of the jobs without workers.
func NewScheduler(jobs *Reducer) *Scheduler {
	s := &Scheduler{jobs: jobs}
	jobs.Observe(s)
	s.SetLayout(Layout{})
	return s
}

// SetLayout replaces the layout and counts again what is free.
func (s *Scheduler) SetLayout(l Layout) {
	s.layout = l
	s.changes++
	s.pools = make(map[inventory.PoolID]*poolState, len(l.Pools))
	s.workers = make(map[inventory.WorkerID]*workerState, len(l.Workers))
	s.used = make(map[inventory.TeamID]inventory.Size)
	s.poolOf = make(map[groupKey]inventory.PoolID)
	for id, p := range l.Pools {
		s.pools[id] = newPoolState(id, p.Owner)
	}
	members := make(map[inventory.PoolID][]*workerState)
	for _, w := range l.Workers {
		ws := &workerState{Worker: w, free: w.Size}
		s.workers[w.ID] = ws
		members[w.Pool] = append(members[w.Pool], ws)
	}
	for id, of := range members {
		if p, ok := s.pools[id]; ok {
			p.fill(of)
		}
	}
	for _, j := range s.jobs.StartedJobs() {
		s.JobStarted(j)
	}
}

// JobStarted takes the job's room from its worker.
func (s *Scheduler) JobStarted(j *Job) {
	s.changes++
	s.take(j.Start, j.Team, j.Template, j.Reserved())
}

// JobReleased gives room back to the job's worker.
func (s *Scheduler) JobReleased(j *Job, room inventory.Size) {
	s.changes++
	s.used[j.Team] = s.used[j.Team].Sub(room)
	w, ok := s.workers[j.Start.Worker]
	if !ok || w.pool == nil {
		return
	}
	w.pool.setFree(w, w.free.Add(room))
	if j.Throttled {
		return
	}
	w.tasks--
	w.pool.racks[rackTemplate{w.Rack, j.Template}]--
}

func (s *Scheduler) take(st Start, team inventory.TeamID, template string, room inventory.Size) {
	s.used[team] = s.used[team].Add(room)
	w, ok := s.workers[st.Worker]
	if !ok || w.pool == nil {
		return
	}
	w.pool.setFree(w, w.free.Sub(room))
	w.tasks++
	w.pool.racks[rackTemplate{w.Rack, template}]++
}

// Version changes whenever a new plan may differ from the last one.
func (s *Scheduler) Version() int64 {
	return s.changes + s.jobs.queues.version
}

// pool returns the pool of a queue's jobs; nil if no selector matches.
func (s *Scheduler) pool(q *queue) *poolState {
	k := groupKey{q.key.owner, q.key.labels}
	id, ok := s.poolOf[k]
	if !ok {
		id = s.match(q)
		s.poolOf[k] = id
	}
	return s.pools[id]
}

// match returns the first pool, by name, of the owner that selects the labels.
func (s *Scheduler) match(q *queue) inventory.PoolID {
	found := inventory.PoolID("")
	for id, p := range s.layout.Pools {
		if p.Owner == q.key.owner && p.Jobs.Matches(q.labels) && (found == "" || id < found) {
			found = id
		}
	}
	return found
}

// need returns what is reserved for a job: the learned size of its template, or
// the declared one while too little is known.
func (s *Scheduler) need(j *Job) inventory.Size {
	size, ok := s.jobs.Template(j.Template).Size()
	if !ok {
		size = j.Declared
	}
	size.Cores = max(size.Cores, minCores)
	return size
}

// Plan is what is to be done now.
type Plan struct {
	Starts  []Start
	Reliefs []Relief
	// GiveUps are jobs that failed on every sound worker of their pool.
	GiveUps []inventory.JobID
}

// Plan decides on at most limit starts. It changes nothing: the decisions count
// once their record is folded.
func (s *Scheduler) Plan(now time.Time, limit int) Plan {
	p := &planner{s: s, now: now, limit: limit, relieved: make(map[inventory.WorkerID]bool)}
	p.urgent()
	p.shared()
	p.giveBack()
	p.undo()
	return p.plan
}
