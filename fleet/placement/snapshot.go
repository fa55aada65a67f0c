package placement

import (
	"encoding/json"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// marshalled is the form of the state in snapshots.
type marshalled struct {
	Jobs      []*Job
	Ended     []inventory.JobID
	Sequence  int64
	Templates map[string]*Template
	Health    *Health
}

// MarshalState returns the jobs and what was learned.
func (r *Reducer) MarshalState() ([]byte, error) {
	return json.Marshal(marshalled{Jobs: r.Jobs(), Ended: r.ended, Sequence: r.sequence, Templates: r.templates, Health: r.health})
}

// UnmarshalState replaces the state and builds its indexes again.
func (r *Reducer) UnmarshalState(b []byte) error {
	m := marshalled{Health: newHealth()}
	if err := json.Unmarshal(b, &m); err != nil {
		return err
	}
	r.reset()
	r.ended, r.sequence, r.health = m.Ended, m.Sequence, m.Health
	if m.Templates != nil {
		r.templates = m.Templates
	}
	for _, j := range m.Jobs {
		r.jobs[j.ID] = j
		if !j.HasEnded() {
			r.open++
		}
		if j.State == Queued {
			r.queues.add(j)
		}
		if j.State == Started {
			r.hold(j)
		}
	}
	return nil
}
