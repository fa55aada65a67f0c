package scheduling

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/job"
)

// workerIn returns the entry of a worker in a data centre.
func workerIn(id WorkerID, dataCentre string) Entry {
	e := testWorker(id)
	e.DataCentre, e.Rack = dataCentre, "r-"+dataCentre
	return e
}

func homeJob(id int, home string, count int) job.Job {
	j := testJob(count)
	j.ID, j.Home = job.ID(fmt.Sprintf("%016x", id)), home
	return j
}

// newHarnessIn returns a harness with one worker in each of the data centres.
func newHarnessIn(t *testing.T, dataCentres ...string) *harness {
	h := newHarness(t, 1)
	h.s.workers.get("w1").cordoned = true
	for _, dataCentre := range dataCentres {
		h.register(workerIn(WorkerID("w-"+dataCentre), dataCentre))
	}
	return h
}

// countByWorker counts the starts on each worker.
func countByWorker(all []Start) map[WorkerID]int {
	on := make(map[WorkerID]int)
	for _, st := range all {
		on[st.Worker.ID]++
	}
	return on
}

func TestJobRunsInHomeDataCentre(t *testing.T) {
	h := newHarnessIn(t, "a", "b", "c")
	h.s.Accept(h.now, 0, homeJob(1, "b", 10))
	require.Equal(t, map[WorkerID]int{"w-b": 10}, countByWorker(h.tick()))
}

// A job whose home data centre is full, or has no worker, runs in another one as soon as
// that data centre is stored with the job.
func TestFullDataCentreDelaysNoJob(t *testing.T) {
	h := newHarnessIn(t, "a", "b")
	h.s.Accept(h.now, 0, homeJob(1, "a", 80)) // 64 fit
	require.Equal(t, map[WorkerID]int{"w-a": 64}, countByWorker(h.tick()))
	require.True(t, h.s.IsUrgent(), "tasks wait for the record")
	require.Empty(t, h.tick(), "not before the record is stored")
	storeAll(h.s)
	require.Equal(t, map[WorkerID]int{"w-b": 16}, countByWorker(h.tick()))
	p, err := job.DecodeProgress(mustEncode(t, h.s.jobs[homeJob(1, "", 1).ID].progress()))
	require.NoError(t, err)
	require.Equal(t, []string{"b"}, p.DataCentres)
}

func mustEncode(t *testing.T, p job.Progress) []byte {
	t.Helper()
	b, err := p.Encode()
	require.NoError(t, err)
	return b
}

// The leader fails together with its data centre. The new leader can't reach the workers
// there, and continues at once with the jobs that can't have tasks there.
func TestNewLeaderGoesOnWithoutUnreachableDataCentre(t *testing.T) {
	tests := map[string]struct {
		job         job.Job
		dataCentres []string
		want        bool
	}{
		"home reachable":              {homeJob(1, "a", 1), nil, true},
		"home unreachable":            {homeJob(1, "b", 1), nil, false},
		"unreachable one allowed too": {homeJob(1, "a", 1), []string{"b"}, false},
		"third one allowed too":       {homeJob(1, "a", 1), []string{"c"}, true},
		"no home":                     {homeJob(1, "", 1), nil, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := New(testStart, testConfig())
			s.Configure(testConfiguration())
			near, far := workerIn("near", "a"), workerIn("far", "b")
			s.Restore(testStart, 0, Restored{
				Jobs: []job.Job{tt.job}, Registry: []Entry{near, far},
				Progress: map[job.ID]job.Progress{tt.job.ID: {State: job.Running, DataCentres: tt.dataCentres}},
			})
			now := testStart
			s.Register(now, near)
			s.Held(now, 0, near.Incarnation, 0, now, accepted, Report{StartedAt: 1, ClockMs: 5})
			started := 0
			for range 100 {
				now = now.Add(20 * time.Millisecond)
				s.ConfirmLeadership(now)
				s.Tick(now, 0)
				storeAll(s)
				for _, a := range s.TakeActions() {
					switch a := a.(type) {
					case Hold:
						if a.Worker.ID == "far" {
							s.Held(now, 0, a.Worker, 0, now, Answer{Outcome: Unknown}, Report{})
						}
					case Start:
						require.EqualValues(t, "near", a.Worker.ID)
						started++
					}
				}
			}
			require.Equal(t, tt.want, started == 1, "within 2 s")
		})
	}
}

// A speculative task gets a second attempt in another data centre if its home data centre
// is unreachable.
func TestHedgeInAnotherDataCentre(t *testing.T) {
	h := newHarnessIn(t, "a", "b")
	j := homeJob(1, "a", 1)
	j.Steps[0].Speculative = true
	h.s.Accept(h.now, 0, j)
	first := h.tick()
	require.Len(t, first, 1)
	h.s.workers.get("w-a").unreachableSince = h.now
	var again []Start
	for range 10 {
		again = append(again, h.tick()...)
		storeAll(h.s)
	}
	require.Equal(t, map[WorkerID]int{"w-b": 1}, countByWorker(again))
}

// The leader runs on a small host. While the home data centre of many jobs is full, it
// must not evaluate every worker for each of these jobs in each round.
func TestFullDataCentreCostsFewEvaluations(t *testing.T) {
	h := newHarness(t, 1)
	h.s.workers.get("w1").cordoned = true
	const workers, jobs, rounds = 60, 100, 20
	for i := range workers {
		h.register(workerIn(WorkerID(fmt.Sprintf("w%03d", i)), []string{"a", "b"}[i%2]))
	}
	for id, w := range h.s.workers.all() {
		if w.DataCentre == "a" {
			w.used = w.Capacity
		} else if id != "w001" {
			w.used.CPU = w.Capacity.CPU - 500 // too little for a task
		}
	}
	h.s.workers.get("w001").used.CPU -= 500 // one in b has the capacity for a small task
	for i := range jobs {
		j := homeJob(1+i, "a", 4)
		j.Steps[0].Resources.CPU = 900
		h.s.Accept(h.now, 0, j)
	}
	h.s.evaluations = 0
	for range rounds {
		h.tick()
	}
	require.LessOrEqual(t, h.s.evaluations, 3*workers*jobs, "each worker is evaluated a few times for a job, not in each of %d rounds", rounds)
}
