package scheduling

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/job"
)

func centreWorker(id WorkerID, centre string) Entry {
	e := testWorker(id)
	e.DataCentre, e.Rack = centre, "r-"+centre
	return e
}

func homeJob(id int, home string, count int) job.Job {
	j := testJob(count)
	j.ID, j.Home = job.ID(fmt.Sprintf("%016x", id)), home
	return j
}

// newCentres returns a harness with a worker in each of some data centres.
func newCentres(t *testing.T, centres ...string) *harness {
	b := newHarness(t, 1)
	b.s.workers.get("w1").cordoned = true
	for _, c := range centres {
		b.register(centreWorker(WorkerID("w-"+c), c))
	}
	return b
}

func placedOn(all []Start) map[WorkerID]int {
	on := make(map[WorkerID]int)
	for _, st := range all {
		on[st.Worker.ID]++
	}
	return on
}

func TestAJobRunsInItsDataCentre(t *testing.T) {
	b := newCentres(t, "a", "b", "c")
	b.s.Accept(b.now, 0, homeJob(1, "b", 10))
	require.Equal(t, map[WorkerID]int{"w-b": 10}, placedOn(b.tick()))
}

// A data centre that is full, or has no worker, holds up no job: it runs in another one,
// as soon as the store holds that it may.
func TestAFullDataCentreHoldsUpNoJob(t *testing.T) {
	b := newCentres(t, "a", "b")
	b.s.Accept(b.now, 0, homeJob(1, "a", 80)) // 64 fit
	require.Equal(t, map[WorkerID]int{"w-a": 64}, placedOn(b.tick()))
	require.True(t, b.s.IsUrgent(), "tasks wait for the store")
	require.Empty(t, b.tick(), "not before the store holds it")
	storeAll(b.s)
	require.Equal(t, map[WorkerID]int{"w-b": 16}, placedOn(b.tick()))
	p, err := job.DecodeProgress(mustEncode(t, b.s.jobs[homeJob(1, "", 1).ID].progress()))
	require.NoError(t, err)
	require.Equal(t, []string{"b"}, p.Centres)
}

func mustEncode(t *testing.T, p job.Progress) []byte {
	t.Helper()
	b, err := p.Encode()
	require.NoError(t, err)
	return b
}

// The owner is lost together with its data centre. The next one can't reach the workers
// there, and goes on at once with the jobs that can't run there.
func TestNewLeaderGoesOnWithoutUnreachableDataCentre(t *testing.T) {
	tests := map[string]struct {
		job     job.Job
		centres []string
		want    bool
	}{
		"at home where workers answer":       {homeJob(1, "a", 1), nil, true},
		"at home in the one that is cut off": {homeJob(1, "b", 1), nil, false},
		"that may have run there":            {homeJob(1, "a", 1), []string{"b"}, false},
		"that may have run in a third one":   {homeJob(1, "a", 1), []string{"c"}, true},
		"without a home":                     {homeJob(1, "", 1), nil, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := New(testStart, testConfig())
			s.Configure(testConfiguration())
			near, far := centreWorker("near", "a"), centreWorker("far", "b")
			s.Restore(testStart, 0, Restored{
				Jobs: []job.Job{tt.job}, Registry: []Entry{near, far},
				Progress: map[job.ID]job.Progress{tt.job.ID: {State: job.Running, Centres: tt.centres}},
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

// A task that may run twice leaves a data centre that falls silent.
func TestHedgeInAnotherDataCentre(t *testing.T) {
	b := newCentres(t, "a", "b")
	j := homeJob(1, "a", 1)
	j.Steps[0].Speculative = true
	b.s.Accept(b.now, 0, j)
	first := b.tick()
	require.Len(t, first, 1)
	b.s.workers.get("w-a").unreachableSince = b.now
	var again []Start
	for range 10 {
		again = append(again, b.tick()...)
		storeAll(b.s)
	}
	require.Equal(t, map[WorkerID]int{"w-b": 1}, placedOn(again))
}

// The owner's host is a small one: a peak in which the home of many jobs is full must not
// cost a look at every worker for each of them, round after round.
func TestFullDataCentreCostsFewEvaluations(t *testing.T) {
	b := newHarness(t, 1)
	b.s.workers.get("w1").cordoned = true
	const workers, jobs, rounds = 60, 100, 20
	for i := range workers {
		b.register(centreWorker(WorkerID(fmt.Sprintf("w%03d", i)), []string{"a", "b"}[i%2]))
	}
	for id, w := range b.s.workers.all() {
		if w.DataCentre == "a" {
			w.used = w.Capacity
		} else if id != "w001" {
			w.used.CPU = w.Capacity.CPU - 500 // too little for a task
		}
	}
	b.s.workers.get("w001").used.CPU -= 500 // one in b has room for a small task
	for i := range jobs {
		j := homeJob(1+i, "a", 4)
		j.Steps[0].Room.CPU = 900
		b.s.Accept(b.now, 0, j)
	}
	b.s.evaluations = 0
	for range rounds {
		b.tick()
	}
	require.LessOrEqual(t, b.s.evaluations, 3*workers*jobs, "each job is looked at a few times in all, not in each of %d rounds", rounds)
}
