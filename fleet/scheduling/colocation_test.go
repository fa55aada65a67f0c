package scheduling

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/job"
)

// newHarnessWithRacks returns a harness with four workers on each of the racks, and two
// racks in each data centre.
func newHarnessWithRacks(t *testing.T, racks int) *harness {
	h := newHarness(t, 1)
	h.s.workers.get("w1").cordoned = true
	for i := range 4 * racks {
		e := testWorker(WorkerID(fmt.Sprintf("r%d-%d", i/4, i%4)))
		e.Rack, e.DataCentre = fmt.Sprintf("r%d", i/4), fmt.Sprintf("dc%d", i/8)
		h.register(e)
	}
	return h
}

// Tasks of a job are placed together even on unevenly loaded workers, so that the loss of
// a rack or a data centre delays the jobs that run there instead of a part of every job.
func TestLostRackAffectsFewJobs(t *testing.T) {
	h := newHarnessWithRacks(t, 6)
	i := int64(0)
	for _, w := range h.s.workers.all() {
		w.used.CPU = i * 7 % 5 * 8000
		i++
	}
	for range 6 {
		j := testJob(8)
		j.ID = job.ID(fmt.Sprintf("%016x", len(h.s.jobs)+100))
		j.Steps[0].Resources = job.Resources{CPU: 8000, MemMB: 100}
		h.s.Accept(h.now, 0, j)
	}
	on := make(map[job.ID]map[string]bool)
	for _, st := range h.tick() {
		if on[st.Task.Job] == nil {
			on[st.Task.Job] = make(map[string]bool)
		}
		on[st.Task.Job][h.s.workers.get(st.Worker.ID).Rack] = true
	}
	require.Len(t, on, 6)
	jobRacks := 0
	for _, racks := range on {
		jobRacks += len(racks)
	}
	require.LessOrEqual(t, jobRacks, 8, "6 jobs on 6 racks, each with capacity for more than one job")
}

// Long-running tasks are spread over racks instead, as their step must survive the loss
// of a rack.
func TestLongRunningTasksStaySpreadOverRacks(t *testing.T) {
	h := newHarnessWithRacks(t, 4)
	j := testJob(4)
	j.Steps[0].LongRunning = true
	h.s.Accept(h.now, 0, j)
	racks := make(map[string]bool)
	for _, st := range h.tick() {
		racks[h.s.workers.get(st.Worker.ID).Rack] = true
	}
	require.Len(t, racks, 4)
}

// If a job's rack is full, another rack of the same data centre is preferred to a more
// loaded worker in another data centre.
func TestNextRackIsInSameDataCentre(t *testing.T) {
	h := newHarnessWithRacks(t, 4) // two in each data centre
	for _, w := range h.s.workers.all() {
		switch {
		case w.Rack == "r0":
			w.used = w.Capacity
		case w.DataCentre == "dc1":
			w.used.CPU = w.Capacity.CPU / 2
		}
	}
	j := testJob(1)
	o := newOccurrence(newJobState(j, h.now), 0, h.now)
	o.inDataCentres["dc0"], o.onRacks["r0"] = 3, 3
	v := h.s.view(h.now, "p")
	w := h.s.choose(h.now, v, o.steps[0], o.steps[0].tasks[0])
	require.Equal(t, "r1", w.Rack)
}
