package placement

import (
	"cmp"
	"slices"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// Bounds of preemption.
const (
	// maxPreemptedWorkers bounds the workers on which one plan preempts jobs.
	maxPreemptedWorkers = 64
	// preemptionCandidates is the number of workers examined for one job.
	preemptionCandidates = 64
)

// Verb is the order given to a preempted job.
type Verb string

// The verbs, the least disruptive first. A job whose checkpoint is refused is stopped if
// it may run again.
const (
	VerbThrottle   Verb = "throttle"
	VerbCheckpoint Verb = "checkpoint"
	VerbStop       Verb = "stop"
)

// Preemption is the preemption of a started job on its worker.
type Preemption struct {
	Job    inventory.JobID
	Worker inventory.WorkerID
	Verb   Verb
	// For is the job that needs the capacity.
	For inventory.JobID
}

// preemption is a set of victims on one worker and the order they are given.
type preemption struct {
	worker  *workerState
	verb    Verb
	victims []*Job
	// cores is the sum of the cores that the victims lose.
	cores inventory.Millicores
}

// preempt adds the least disruptive preemption that makes capacity for the job, and
// reports whether it found one.
func (p *planner) preempt(j *Job, pool *poolState, isPreemptible func(*Job) bool) bool {
	if len(p.preempted) >= maxPreemptedWorkers {
		return false
	}
	need := p.s.need(j)
	var best *preemption
	n := len(pool.workers)
	for i := range min(n, preemptionCandidates) {
		w := pool.workers[(pool.nextCandidate+i)%n]
		if p.preempted[w.ID] || !p.s.mayPlace(j, w, p.now) {
			continue
		}
		candidate := p.s.preemptionAt(w, need, isPreemptible)
		if candidate != nil && (best == nil || candidate.isMilderThan(best)) {
			best = candidate
		}
	}
	pool.nextCandidate = (pool.nextCandidate + preemptionCandidates) % max(n, 1)
	if best == nil {
		return false
	}
	p.preempted[best.worker.ID] = true
	for _, v := range best.victims {
		p.plan.Preemptions = append(p.plan.Preemptions, Preemption{Job: v.ID, Worker: best.worker.ID, Verb: best.verb, For: j.ID})
	}
	return true
}

func (p *preemption) isMilderThan(o *preemption) bool {
	if p.verb != o.verb {
		return p.verb == VerbThrottle
	}
	return cmp.Or(cmp.Compare(len(p.victims), len(o.victims)), cmp.Compare(p.cores, o.cores)) < 0
}

// preemptionAt returns the least disruptive preemption on the worker that lets the need
// fit, or nil if there is none.
func (s *Scheduler) preemptionAt(w *workerState, need inventory.Size, isPreemptible func(*Job) bool) *preemption {
	victims := s.victims(w, isPreemptible)
	if len(victims) == 0 {
		return nil
	}
	throttleGain := func(j *Job) inventory.Size {
		if j.Throttled {
			return inventory.Size{}
		}
		return inventory.Size{Cores: j.Start.Size.Cores - j.Start.Size.Cores/2}
	}
	if p := selectVictims(w, need, victims, VerbThrottle, throttleGain); p != nil {
		return p
	}
	return selectVictims(w, need, victims, VerbCheckpoint, (*Job).Reserved)
}

// selectVictims selects victims in order until the need fits. It returns nil if all of
// them do not suffice.
func selectVictims(w *workerState, need inventory.Size, victims []*Job, verb Verb, gain func(*Job) inventory.Size) *preemption {
	p := &preemption{worker: w, verb: verb}
	free := w.free
	for _, v := range victims {
		if need.FitsIn(free) {
			break
		}
		g := gain(v)
		if g == (inventory.Size{}) {
			continue
		}
		free = free.Add(g)
		p.cores += g.Cores
		p.victims = append(p.victims, v)
	}
	if !need.FitsIn(free) || len(p.victims) == 0 {
		return nil
	}
	return p
}

// victims returns the worker's preemptible jobs: those of teams above their quota first,
// then the last started first, since they lose the least work.
func (s *Scheduler) victims(w *workerState, isPreemptible func(*Job) bool) []*Job {
	var all []*Job
	for _, j := range s.jobs.started[w.ID] {
		if isPreemptible(j) && !j.Cancelling {
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
