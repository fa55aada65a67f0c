package placement

import (
	"fmt"
	"time"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// Explanation is the state of a job and the reason why it does not start.
type Explanation struct {
	Job   inventory.JobID
	State State
	Pool  inventory.PoolID `json:",omitempty"`
	// Worker is set once the job has been started.
	Worker  inventory.WorkerID `json:",omitempty"`
	Attempt int                `json:",omitempty"`
	// Never is true if no worker of the pool could run the job even when empty.
	Never bool `json:",omitempty"`
	// Ahead counts jobs of the same queue that were accepted earlier.
	Ahead int `json:",omitempty"`
	// Need is the size that would be reserved. Learned is true if it is derived from
	// earlier jobs of the template.
	Need    inventory.Size
	Learned bool `json:",omitempty"`
	Reason  string
}

// Explain returns the explanation of a job as of now, and false if the job is unknown.
func (s *Scheduler) Explain(id inventory.JobID, now time.Time) (Explanation, bool) {
	j, ok := s.jobs.Job(id)
	if !ok {
		return Explanation{}, false
	}
	_, learned := s.jobs.Template(j.Template).Size()
	e := Explanation{Job: id, State: j.State, Worker: j.Start.Worker, Pool: j.Start.Pool, Attempt: j.Attempt, Need: s.need(j), Learned: learned, Reason: j.Reason}
	if j.State == Queued {
		s.explainQueued(&e, j, now)
	}
	if j.State == Started && j.Cancelling {
		e.Reason = "is being stopped"
	}
	return e, true
}

func (s *Scheduler) explainQueued(e *Explanation, j *Job, now time.Time) {
	p := s.poolOfQueue(j.queue)
	if why := s.whyNever(j, p); why != "" {
		e.Never, e.Reason = true, why
		return
	}
	e.Pool = p.id
	for o := j.previous; o != nil; o = o.previous {
		e.Ahead++
	}
	may := func(w *workerState) bool { return s.mayPlace(j, w, now) }
	switch {
	case e.Ahead > 0:
		e.Reason = fmt.Sprintf("waits behind %d jobs of its team and template", e.Ahead)
	case p.find(e.Need, j.Template, may) != nil:
		e.Reason = "is about to start"
	case !p.hasAny(may):
		e.Reason = "every worker of the pool is in quarantine, failed the job, or takes no jobs now"
	case s.isBorrowing(j.Team, e.Need):
		e.Reason = fmt.Sprintf("team %s is at its quota and the pool has no room to lend", j.Team)
	default:
		e.Reason = "waits for room: " + sizeText(e.Need) + " are free on no worker of the pool"
	}
}

func (p *poolState) hasAny(may func(*workerState) bool) bool {
	for _, w := range p.workers {
		if may(w) {
			return true
		}
	}
	return false
}

// whyNever returns the reason why the job cannot run under the current layout at all,
// or an empty string if it can.
func (s *Scheduler) whyNever(j *Job, p *poolState) string {
	switch t, ok := s.layout.Teams[j.Team]; {
	case !ok:
		return fmt.Sprintf("team %s is not configured", j.Team)
	case t.Owner != j.Owner:
		return fmt.Sprintf("team %s belongs to %s, not to %s", j.Team, t.Owner, j.Owner)
	case p == nil:
		return fmt.Sprintf("no pool of %s selects jobs with the labels %s", j.Owner, j.Labels)
	case len(p.workers) == 0:
		return fmt.Sprintf("pool %s has no worker in this data centre", p.id)
	}
	if need := s.need(j); !p.canEverHold(need) {
		return fmt.Sprintf("needs %s, more than any worker of pool %s has", sizeText(need), p.id)
	}
	return ""
}

func sizeText(s inventory.Size) string {
	return fmt.Sprintf("%d.%03d cores, %d MiB and %d accelerators",
		s.Cores/inventory.MillicoresPerCore, s.Cores%inventory.MillicoresPerCore, s.Memory/inventory.Mebibyte, s.Accelerators)
}
