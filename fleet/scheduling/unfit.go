package scheduling

import (
	"fmt"
	"slices"

	"github.com/godwitcross/godwitcross/fleet/job"
)

// Some jobs can't run on any host: their tasks are too large for all, or ask for a label
// that none has. They wait, as a host that fits may come, but ask for no hosts.

// hostClass is what hosts of a kind offer a task.
type hostClass struct {
	capacity job.Resources
	labels   []string
}

// classify lists the classes of the fleet's hosts after each list that changes them.
func (s *Scheduler) classify() {
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

// fitsSomeHost reports whether a host of the fleet could run a step's tasks, as far as
// the fleet is known.
func (s *Scheduler) fitsSomeHost(d job.Step) bool {
	return len(s.classes) == 0 || slices.ContainsFunc(s.classes, func(c hostClass) bool {
		return c.capacity.Fits(d.Takes()) && (d.Requires == "" || slices.Contains(c.labels, d.Requires))
	})
}

// isUnfit reports whether no host of the fleet can run a task of a step. It is named in
// the log once.
func (s *Scheduler) isUnfit(st *step) bool {
	if len(s.classes) == 0 || st.classVersion == s.classVersion {
		return st.unfit
	}
	st.classVersion = s.classVersion
	was := st.unfit
	st.unfit = !s.fitsSomeHost(st.Step)
	switch takes := st.Takes(); {
	case st.unfit && !was:
		s.note("step fits no host", st.occ.job.ID, "Step", st.number, "CPU", takes.CPU, "MemMB", takes.MemMB, "GPU", takes.GPU,
			"Requires", st.Requires, "HostClasses", len(s.classes))
	case was && !st.unfit:
		s.note("step fits a host now", st.occ.job.ID, "Step", st.number)
	}
	return st.unfit
}
