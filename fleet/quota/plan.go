package quota

import "github.com/godwitcross/godwitcross/fleet/job"

// Plan collects further runs that fit the limits together, without counting them as use.
type Plan struct {
	planned map[*Account]job.Resources
}

// NewPlan returns an empty plan.
func NewPlan() Plan {
	return Plan{planned: make(map[*Account]job.Resources)}
}

// Take adds up to n runs of a task to the plan and returns how many of them fit. If they start together, that is
// all or none.
func (p Plan) Take(a *Account, task job.Resources, n int, together bool) int {
	if !a.IsLimited() {
		return n
	}
	atOnce := 1
	if together {
		atOnce = n
	}
	taken := 0
	for taken < n && a.Decide(p.planned[a], task, atOnce) != Full {
		p.planned[a] = p.planned[a].Add(times(task, atOnce))
		taken += atOnce
	}
	return taken
}
