package scheduling

import (
	"fmt"
	"testing"
	"time"

	"github.com/godwitcross/godwitcross/fleet/job"
)

// harness is a scheduler with workers whose runs the test ends explicitly.
type harness struct {
	s   *Scheduler
	now time.Time
	// commits is the number of the last commit.
	commits int64
	// ends counts the ends that each worker has reported.
	ends map[WorkerID]int64
	// starts are all starts that were ordered.
	starts []Start
}

func newHarness(t *testing.T, workers int) *harness {
	s, now := readyScheduler(t)
	h := &harness{s: s, now: now, commits: 1, ends: make(map[WorkerID]int64)}
	for i := 2; i <= workers; i++ {
		h.register(testWorker(WorkerID(fmt.Sprintf("w%d", i))))
	}
	h.tick()
	return h
}

// register registers a worker and makes it schedulable.
func (h *harness) register(e Entry) {
	h.s.Register(h.now, e)
	h.commits++
	h.s.Flush()
	h.s.Committed(h.commits)
	h.s.Held(h.now, 0, e.Incarnation, 0, h.now, Answer{Outcome: Accepted, ClockMs: 5}, Report{StartedAt: 1, ClockMs: 5})
}

// tick advances the time by 150 ms, accepts all new starts and returns them.
func (h *harness) tick() []Start {
	return h.tickWith(func(s *Scheduler, now time.Time) { s.Tick(now, 0) })
}

// tickStored is tick with a store that answers at once.
func (h *harness) tickStored() []Start {
	return h.tickWith(tickStored)
}

func (h *harness) tickWith(tick func(s *Scheduler, now time.Time)) []Start {
	h.now = h.now.Add(150 * time.Millisecond)
	h.s.ConfirmLeadership(h.now)
	tick(h.s, h.now)
	ordered := starts(h.s.TakeActions())
	for _, st := range ordered {
		h.s.Started(h.now, st.Worker, st.Task, st.Run, Answer{Outcome: Accepted, ClockMs: 10})
	}
	h.starts = append(h.starts, ordered...)
	return ordered
}

// storeAll commits everything that is to be stored.
func storeAll(s *Scheduler) {
	s.Flush()
	for n := range s.pendingCommits {
		s.Committed(n)
	}
}

// tickStored runs a tick and stores what it asks for, so that runs of inherited jobs, which are
// recorded first, are ordered too.
func tickStored(s *Scheduler, now time.Time) {
	s.Tick(now, 0)
	storeAll(s)
	s.Tick(now.Add(workerTickInterval), 0)
}

// tickAnswered is tickStored, after which workers that run nothing answer: isolated runs are
// ordered only then.
func tickAnswered(s *Scheduler, now time.Time, workers ...Entry) {
	tickStored(s, now)
	for _, e := range workers {
		s.Held(now, 0, e.Incarnation, 0, now, accepted, Report{StartedAt: e.StartedAt, ClockMs: 10})
	}
}

// end reports the end of a run.
func (h *harness) end(st Start, how EndKind) {
	h.ends[st.Worker.ID]++
	h.s.Held(h.now, 0, st.Worker, 0, h.now, Answer{Outcome: Accepted, ClockMs: 10}, Report{StartedAt: 1, ClockMs: 10, Partial: true, Ended: []EndRow{
		{Number: h.ends[st.Worker.ID], Task: st.Task, Run: st.Run, How: how},
	}})
}

// job accepts a new job of one step and returns its ID.
func (h *harness) job(count int, image string) job.ID {
	j := testJob(count)
	j.ID = job.ID(fmt.Sprintf("%016x", len(h.s.jobs)+100))
	j.Steps[0].Image = image
	h.s.Accept(h.now, 0, j)
	return j.ID
}
