package placement

import (
	"cmp"
	"slices"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// Bounds of making room.
const (
	// maxReliefs bounds the workers at which one plan makes room.
	maxReliefs = 64
	// reliefSearch is how many workers are looked at for one job.
	reliefSearch = 64
)

// Verb is what a job that gives way is told to do.
type Verb string

// The verbs, the mildest first. A job whose checkpoint is refused is stopped if
// it may run again.
const (
	VerbThrottle   Verb = "throttle"
	VerbCheckpoint Verb = "checkpoint"
	VerbStop       Verb = "stop"
)

// Relief is a started job that gives way at its worker.
type Relief struct {
	Job    inventory.JobID
	Worker inventory.WorkerID
	Verb   Verb
	// For is the job that the room is for.
	For inventory.JobID
}

// relief is what one worker would have to do.
type relief struct {
	worker  *workerState
	verb    Verb
	victims []*Job
	// cores is what the victims lose.
	cores inventory.Cores
}

// relieve adds what must give way for the job and reports whether some worker can.
func (p *planner) relieve(j *Job, pool *poolState, gives func(*Job) bool) bool {
	if len(p.relieved) >= maxReliefs {
		return false
	}
	need := p.s.need(j)
	var best *relief
	n := len(pool.workers)
	for i := range min(n, reliefSearch) {
		w := pool.workers[(pool.turn+i)%n]
		if p.relieved[w.ID] || !p.s.mayPlace(j, w, p.now) {
			continue
		}
		r := p.s.reliefAt(w, need, gives)
		if r != nil && (best == nil || r.isMilder(best)) {
			best = r
		}
	}
	pool.turn = (pool.turn + reliefSearch) % max(n, 1)
	if best == nil {
		return false
	}
	p.relieved[best.worker.ID] = true
	for _, v := range best.victims {
		p.plan.Reliefs = append(p.plan.Reliefs, Relief{Job: v.ID, Worker: best.worker.ID, Verb: best.verb, For: j.ID})
	}
	return true
}

func (r *relief) isMilder(o *relief) bool {
	if r.verb != o.verb {
		return r.verb == VerbThrottle
	}
	return cmp.Or(cmp.Compare(len(r.victims), len(o.victims)), cmp.Compare(r.cores, o.cores)) < 0
}

// reliefAt returns the mildest way to make room at the worker; nil if there is none.
func (s *Scheduler) reliefAt(w *workerState, need inventory.Size, gives func(*Job) bool) *relief {
	victims := s.victims(w, gives)
	if len(victims) == 0 {
		return nil
	}
	halved := func(j *Job) inventory.Size {
		if j.Throttled {
			return inventory.Size{}
		}
		return inventory.Size{Cores: j.Start.Size.Cores - j.Start.Size.Cores/2}
	}
	if r := gather(w, need, victims, VerbThrottle, halved); r != nil {
		return r
	}
	return gather(w, need, victims, VerbCheckpoint, (*Job).Reserved)
}

// gather takes victims until the need fits; nil if all are not enough.
func gather(w *workerState, need inventory.Size, victims []*Job, verb Verb, gain func(*Job) inventory.Size) *relief {
	r := &relief{worker: w, verb: verb}
	free := w.free
	for _, v := range victims {
		if need.Fits(free) {
			break
		}
		g := gain(v)
		if g == (inventory.Size{}) {
			continue
		}
		free = free.Add(g)
		r.cores += g.Cores
		r.victims = append(r.victims, v)
	}
	if !need.Fits(free) || len(r.victims) == 0 {
		return nil
	}
	return r
}

// victims returns the worker's jobs that may give way: those of teams that
// borrow first, then the last started, which lose the least work.
func (s *Scheduler) victims(w *workerState, gives func(*Job) bool) []*Job {
	var all []*Job
	for _, j := range s.jobs.started[w.ID] {
		if gives(j) && !j.Cancelling {
			all = append(all, j)
		}
	}
	slices.SortFunc(all, func(a, b *Job) int {
		if x, y := s.isBorrowing(a.Team, inventory.Size{}), s.isBorrowing(b.Team, inventory.Size{}); x != y {
			if x {
				return -1
			}
			return 1
		}
		return cmp.Or(b.StartedAt.Compare(a.StartedAt), cmp.Compare(b.Sequence, a.Sequence))
	})
	return all
}
