package scheduling

import (
	"fmt"
	"slices"

	"github.com/godwitcross/godwitcross/fleet/job"
)

// Some steps fit no host of the fleet: their tasks are too large, or require a label that
// no host has. They keep waiting, as a host that fits may join, but no hosts are
// requested for them.

// hostClass is the capacity and the labels that a group of equal hosts offers.
type hostClass struct {
	capacity job.Resources
	labels   []string
}

// updateHostClasses recomputes the host classes, and raises classVersion if they have
// changed.
func (s *Scheduler) updateHostClasses() {
	seen := make(map[string]bool)
	var classes []hostClass
	for _, h := range s.hosts.all() {
		key := fmt.Sprint(h.Capacity, h.Labels)
		if !seen[key] {
			seen[key] = true
			classes = append(classes, hostClass{capacity: h.Capacity, labels: h.Labels})
		}
	}
	if !slices.EqualFunc(classes, s.classes, func(a, b hostClass) bool { return a.capacity == b.capacity && slices.Equal(a.labels, b.labels) }) {
		s.classes = classes
		s.classVersion++
	}
}

// fitsSomeHost reports whether some host of the fleet could run a step's tasks. It is
// true until the hosts have been listed.
func (s *Scheduler) fitsSomeHost(d job.Step) bool {
	return len(s.classes) == 0 || slices.ContainsFunc(s.classes, func(c hostClass) bool {
		return c.capacity.Fits(d.Requests()) && (d.Requires == "" || slices.Contains(c.labels, d.Requires))
	})
}

// isUnschedulable reports whether no host of the fleet can run a task of a step. Each
// change of the result is logged once.
func (s *Scheduler) isUnschedulable(st *step) bool {
	if len(s.classes) == 0 || st.classVersion == s.classVersion {
		return st.unschedulable
	}
	st.classVersion = s.classVersion
	wasUnschedulable := st.unschedulable
	st.unschedulable = !s.fitsSomeHost(st.Step)
	switch requests := st.Requests(); {
	case st.unschedulable && !wasUnschedulable:
		s.logDecision("step fits no host", st.occ.job.ID, "Step", st.number, "CPU", requests.CPU, "MemMB", requests.MemMB, "GPU", requests.GPU,
			"Requires", st.Requires, "HostClasses", len(s.classes))
	case wasUnschedulable && !st.unschedulable:
		s.logDecision("step fits a host now", st.occ.job.ID, "Step", st.number)
	}
	return st.unschedulable
}
