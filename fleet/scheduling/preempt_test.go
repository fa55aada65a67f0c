package scheduling

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/job"
	"github.com/godwitcross/godwitcross/fleet/queue"
)

// twoQueues returns a configuration with two queues of different priority in one pool.
func twoQueues() *queue.Configuration {
	q := queue.Queue{Name: "first", Host: "h", Prefix: "/first/", Pool: "p", MaxAttempts: 3, Stretch: 1.6, TargetLatency: 600 * time.Millisecond}
	later := q
	later.Name, later.Prefix, later.Priority = "later", "/later/", 1
	return queue.New(2, []queue.Queue{q, later}, []queue.Pool{{Name: "p", AdmissionControl: true}, {Name: "spare", AdmissionControl: true, Spare: true}}, queue.Limits{})
}

// newFullHarness returns a harness with one worker, whose capacity is taken by 16 runs of
// a queue that started the given time ago.
func newFullHarness(t *testing.T, queueName string, checkpointing, longRunning bool, age time.Duration) *harness {
	h := newHarness(t, 1)
	h.s.Configure(twoQueues())
	j := testJob(16)
	j.ID, j.Queue = "00000000000000aa", queueName
	j.Steps[0].Resources.CPU = 4000
	j.Steps[0].Checkpointing, j.Steps[0].LongRunning = checkpointing, longRunning
	h.s.Accept(h.now, 0, j)
	if len(h.tick()) != 16 {
		t.Fatal("the worker isn't full")
	}
	h.now = h.now.Add(age)
	return h
}

// stopsFor submits a job to the queue with the higher priority and returns the stops that
// are ordered for it.
func stopsFor(h *harness, cpu int64, count int) []Stop {
	j := testJob(count)
	j.ID, j.Queue = "00000000000000bb", "first"
	j.Steps[0].Resources.CPU = cpu
	h.s.Accept(h.now, 0, j)
	var stops []Stop
	for range 4 {
		h.now = h.now.Add(100 * time.Millisecond)
		h.s.ConfirmLeadership(h.now)
		h.s.Tick(h.now, 0)
		stops = append(stops, actionsOf[Stop](h.s.TakeActions())...)
	}
	return stops
}

func TestIsPreemptible(t *testing.T) {
	tests := map[string]struct {
		queue                      string
		checkpointing, longRunning bool
		age                        time.Duration
		want                       int
	}{
		"checkpointing":                {"later", true, false, 2 * time.Second, 2},
		"not checkpointing":            {"later", false, false, 2 * time.Second, 0},
		"younger than the minimum age": {"later", true, false, 200 * time.Millisecond, 0},
		"long-running":                 {"later", true, true, 2 * time.Second, 0},
		"same priority":                {"first", true, false, 2 * time.Second, 0},
		"just started":                 {"later", true, false, 0, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := newFullHarness(t, tt.queue, tt.checkpointing, tt.longRunning, tt.age)
			require.Len(t, stopsFor(h, 8000, 1), tt.want)
		})
	}
}

// No more runs are stopped for a task whose capacity is already being freed.
func TestPreemptionStopsNoMoreThanNeeded(t *testing.T) {
	h := newFullHarness(t, "later", true, false, 2*time.Second)
	require.Len(t, stopsFor(h, 4000, 3), 3)
}

// A preempted task resumes from its checkpoint once there is capacity.
func TestPreemptedTaskResumesFromCheckpoint(t *testing.T) {
	h := newFullHarness(t, "later", true, false, 2*time.Second)
	stops := stopsFor(h, 4000, 1)
	require.Len(t, stops, 1)
	h.s.Held(h.now, 0, stops[0].Worker, 0, h.now, accepted, Report{StartedAt: 1, ClockMs: 10, Partial: true, Ended: []EndRow{
		{Number: 1, Task: stops[0].Task, Run: stops[0].Run, How: EndStopped, Checkpoint: "half"},
	}})
	next := h.tick()
	require.Len(t, next, 1)
	require.Equal(t, job.ID("00000000000000bb"), next[0].Task.Job, "the capacity goes to the queue with the higher priority")
	h.end(next[0], EndDone)
	h.ends[next[0].Worker.ID] = 2
	h.s.Held(h.now, 0, next[0].Worker, 0, h.now, accepted, Report{StartedAt: 1, ClockMs: 10, Partial: true, Ended: []EndRow{
		{Number: 2, Task: next[0].Task, Run: next[0].Run, How: EndDone},
	}})
	again := h.tick()
	require.Len(t, again, 1)
	require.Equal(t, stops[0].Task, again[0].Task)
	require.Equal(t, "half", again[0].Checkpoint)
}

// Many tasks end on their own within preemptDelay, so nothing is stopped before that.
func TestPreemptionIsDelayed(t *testing.T) {
	h := newFullHarness(t, "later", true, false, 2*time.Second)
	j := testJob(1)
	j.ID, j.Queue = "00000000000000bb", "first"
	j.Steps[0].Resources.CPU = 4000
	h.s.Accept(h.now, 0, j)
	startedAt := h.now
	for {
		h.now = h.now.Add(20 * time.Millisecond)
		h.s.ConfirmLeadership(h.now)
		h.s.Tick(h.now, 0)
		if len(actionsOf[Stop](h.s.TakeActions())) > 0 {
			require.GreaterOrEqual(t, h.now.Sub(startedAt), preemptDelay)
			return
		}
		require.Less(t, h.now.Sub(startedAt), time.Second)
	}
}
