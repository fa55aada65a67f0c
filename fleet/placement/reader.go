package placement

import (
	"cmp"
	"slices"

	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// Job returns the job with the ID. The caller must not modify it.
func (r *Reducer) Job(id inventory.JobID) (*Job, bool) {
	j, ok := r.jobs[id]
	return j, ok
}

// HasIdentical reports whether the job is known under its ID with the same content.
func (r *Reducer) HasIdentical(c configuration.Job) bool {
	j, ok := r.jobs[c.ID]
	return ok && sameJob(j.Job, c)
}

// Open returns the number of jobs that have not ended.
func (r *Reducer) Open() int {
	return r.open
}

// Jobs returns all retained jobs in order of acceptance.
func (r *Reducer) Jobs() []*Job {
	all := make([]*Job, 0, len(r.jobs))
	for _, j := range r.jobs {
		all = append(all, j)
	}
	slices.SortFunc(all, func(a, b *Job) int { return cmp.Compare(a.Sequence, b.Sequence) })
	return all
}

// Last returns copies of the last n accepted jobs of a team in order of acceptance, and
// the number of its jobs in each state. An empty team stands for all teams.
func (r *Reducer) Last(n int, team inventory.TeamID) ([]Job, map[State]int) {
	counts := make(map[State]int)
	var last []*Job
	bySequence := func(a, b *Job) int { return cmp.Compare(a.Sequence, b.Sequence) }
	for _, j := range r.jobs {
		if team != "" && j.Team != team {
			continue
		}
		counts[j.State]++
		last = append(last, j)
		if len(last) >= 2*n {
			slices.SortFunc(last, bySequence)
			last = append(last[:0], last[len(last)-n:]...)
		}
	}
	slices.SortFunc(last, bySequence)
	last = last[max(0, len(last)-n):]
	out := make([]Job, len(last))
	for i, j := range last {
		out[i] = *j
	}
	return out, counts
}

// StartedJobs returns the started jobs in order of acceptance.
func (r *Reducer) StartedJobs() []*Job {
	var all []*Job
	for _, of := range r.started {
		for _, j := range of {
			all = append(all, j)
		}
	}
	slices.SortFunc(all, func(a, b *Job) int { return cmp.Compare(a.Sequence, b.Sequence) })
	return all
}

// StartedOn returns copies of the started jobs on a worker.
func (r *Reducer) StartedOn(w inventory.WorkerID) []Job {
	out := make([]Job, 0, len(r.started[w]))
	for _, j := range r.started[w] {
		out = append(out, *j)
	}
	return out
}

// BusyWorkers returns the workers with started jobs.
func (r *Reducer) BusyWorkers() []inventory.WorkerID {
	out := make([]inventory.WorkerID, 0, len(r.started))
	for w := range r.started {
		out = append(out, w)
	}
	slices.Sort(out)
	return out
}

// Stopping returns copies of the started jobs that are to be stopped.
func (r *Reducer) Stopping() []Job {
	out := make([]Job, 0, len(r.cancelling))
	for _, j := range r.cancelling {
		out = append(out, *j)
	}
	return out
}

// Template returns the observations of a template, or nil if there are none.
func (r *Reducer) Template(name string) *Template {
	return r.templates[name]
}

// IsQuarantined reports whether the worker is quarantined.
func (r *Reducer) IsQuarantined(w inventory.WorkerID) bool {
	_, ok := r.health.Quarantined[w]
	return ok
}
