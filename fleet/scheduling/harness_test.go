package scheduling

import (
	"fmt"
	"testing"
	"time"

	"github.com/godwitcross/godwitcross/fleet/job"
)

// harness is a scheduler with workers whose runs the test ends as it likes.
type harness struct {
	s       *Scheduler
	now     time.Time
	commits int64
	ends    map[WorkerID]int64
	starts  []Start
}

func newHarness(t *testing.T, workers int) *harness {
	s, now := readyScheduler(t)
	b := &harness{s: s, now: now, commits: 1, ends: make(map[WorkerID]int64)}
	for i := 2; i <= workers; i++ {
		b.register(testWorker(WorkerID(fmt.Sprintf("w%d", i))))
	}
	b.tick()
	return b
}

// register makes a worker ready for tasks.
func (b *harness) register(e Entry) {
	b.s.Register(b.now, e)
	b.commits++
	b.s.Flush()
	b.s.Committed(b.commits)
	b.s.Held(b.now, 0, e.Incarnation, 0, b.now, Answer{Outcome: Accepted, ClockMs: 5}, Report{StartedAt: 1, ClockMs: 5})
}

// tick plays a moment and returns the starts that were ordered in it.
func (b *harness) tick() []Start {
	b.now = b.now.Add(150 * time.Millisecond)
	b.s.ConfirmLeadership(b.now)
	b.s.Tick(b.now, 0)
	fresh := starts(b.s.TakeActions())
	for _, st := range fresh {
		b.s.Started(b.now, st.Worker, st.Task, st.Run, Answer{Outcome: Accepted, ClockMs: 10})
	}
	b.starts = append(b.starts, fresh...)
	return fresh
}

// storeAll has everything stored that is to be.
func storeAll(s *Scheduler) {
	s.Flush()
	for n := range s.commits {
		s.Committed(n)
	}
}

func (b *harness) end(st Start, how EndKind) {
	b.ends[st.Worker.ID]++
	b.s.Held(b.now, 0, st.Worker, 0, b.now, Answer{Outcome: Accepted, ClockMs: 10}, Report{StartedAt: 1, ClockMs: 10, Partial: true, Ended: []EndRow{
		{Number: b.ends[st.Worker.ID], Task: st.Task, Run: st.Run, How: how},
	}})
}

// job hands a job of one step in.
func (b *harness) job(count int, image string) job.ID {
	j := testJob(count)
	j.ID = job.ID(fmt.Sprintf("%016x", len(b.s.jobs)+100))
	j.Steps[0].Image = image
	b.s.Accept(b.now, 0, j)
	return j.ID
}
