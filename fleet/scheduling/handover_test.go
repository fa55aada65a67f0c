package scheduling

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/job"
)

const (
	// simHandover is the time between the end of a leader that releases its leadership and
	// the next leader's takeover.
	simHandover = 200 * time.Millisecond
	// maxWithoutRun is how long a long-running task may be without a run, by the rules of the
	// users' platform: 6 s, and 3 s in which there is capacity for it.
	maxWithoutRun = 9 * time.Second
)

// handOver ends the leader in an orderly way: it stores no more commits and sends no more
// orders, and the next leader takes over at once.
func (w *world) handOver() {
	w.leaders[len(w.leaders)-1].isUp = false
	w.after(simHandover, func() { w.takeOver() })
}

// hasRun reports whether a task runs on a worker that is up.
func (w *world) hasRun(t job.Task) bool {
	for _, sw := range w.workers {
		if r := sw.runs[t]; r != nil && sw.isUp && !r.stopping {
			return true
		}
	}
	return false
}

// workerOf returns the worker that runs a task.
func (w *world) workerOf(t job.Task) *simWorker {
	for _, id := range sortedKeys(w.workers) {
		if sw := w.workers[id]; sw.isUp && sw.runs[t] != nil {
			return sw
		}
	}
	return nil
}

// A long-running task lost its worker while leaders took over from each other, and waited
// 14 s beside free hosts because each leader counted all earlier leases anew.
func TestLostTaskRestartsDespiteTakeovers(t *testing.T) {
	const lostAt = 10 * time.Second
	handOver := (*world).handOver
	kill := func(w *world) { w.leaders[len(w.leaders)-1].isUp = false }
	tests := map[string]struct {
		// times are when end is called, counted from the loss of the worker.
		times []time.Duration
		end   func(w *world)
	}{
		"no handover":                     {nil, handOver},
		"a handover just before the loss": {[]time.Duration{-600 * time.Millisecond}, handOver},
		"a handover just after the loss":  {[]time.Duration{200 * time.Millisecond}, handOver},
		"a handover 3 s after the loss":   {[]time.Duration{3 * time.Second}, handOver},
		"handovers every 2 s": {[]time.Duration{
			time.Second, 3 * time.Second, 5 * time.Second, 7 * time.Second, 9 * time.Second, 11 * time.Second, 13 * time.Second,
		}, handOver},
		"handovers every 2 s, before the loss too": {[]time.Duration{
			-5 * time.Second, -3 * time.Second, -time.Second, time.Second, 3 * time.Second, 5 * time.Second, 7 * time.Second, 9 * time.Second,
		}, handOver},
		"the leader is killed 1.5 s after the loss":       {[]time.Duration{1500 * time.Millisecond}, kill},
		"leaders are killed 1.5 s and 4 s after the loss": {[]time.Duration{1500 * time.Millisecond, 4 * time.Second}, kill},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(5) {
				w := newWorld(seed, map[string]int{"a": 5, "b": 4}, 3)
				j := w.newLongRunning("a", 4)
				w.after(time.Second, func() { w.submit(j, 0, false) })
				for _, at := range tt.times {
					w.after(lostAt+at, func() { tt.end(w) })
				}
				w.run(lostAt)
				task := job.Task{Job: j.ID, Index: 1}
				require.True(t, w.hasRun(task))
				w.kill(w.workerOf(task))
				w.run(maxWithoutRun)
				require.True(t, w.hasRun(task), "seed %d: no run %s after the loss", seed, maxWithoutRun)
				require.Empty(t, w.violations)
			}
		})
	}
}

// A leader moved a host away and stopped before it had deleted the record of the worker there.
// The next leader kept the tasks of the pool waiting for that worker, though the platform's host
// list showed that the worker had ended.
func TestTasksDontWaitForWorkerOfMovedHost(t *testing.T) {
	tests := map[string]struct {
		host Host
		want bool
	}{
		"the host is moving":                      {Host{Pool: "p", State: HostMoving}, true},
		"the host is being maintained":            {Host{Pool: "p", State: HostMaintenance}, true},
		"the host is off in the spare pool":       {Host{Pool: "spare", State: HostUp}, true},
		"the host runs the worker":                {Host{Pool: "p", State: HostUp, Worker: "w2"}, false},
		"the host is up, its worker isn't listed": {Host{Pool: "p", State: HostUp}, false},
		"the host lists an unknown worker":        {Host{Pool: "p", State: HostUp, Worker: "w9"}, false},
		"the host is down":                        {Host{Pool: "p", State: HostDown}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := New(testStart, testConfig())
			s.Configure(testConfiguration())
			w1, w2 := testWorker("w1"), testWorker("w2")
			s.Restore(testStart, 0, Restored{Jobs: []job.Job{testJob(1)}, Registry: []Entry{w1, w2}})
			s.Register(testStart, w1)
			s.Register(testStart, w2)
			s.Held(testStart, 0, w1.Incarnation, 0, testStart, accepted, Report{StartedAt: 1, ClockMs: 10})
			s.Held(testStart, 0, w2.Incarnation, 0, testStart, Answer{Outcome: Unknown}, Report{})
			s.Tick(testStart, 0)
			require.Empty(t, starts(s.TakeActions()), "w2 may run the task")
			now := testStart.Add(500 * time.Millisecond)
			s.ConfirmLeadership(now)
			h1, h2 := Host{ID: w1.Host, Pool: "p", State: HostUp, Worker: "w1"}, tt.host
			h2.ID = w2.Host
			s.HostsListed(now, testStart.Add(100*time.Millisecond), []Host{h1, h2})
			now = now.Add(2 * placementInterval)
			s.ConfirmLeadership(now)
			s.Tick(now, 0)
			require.Equal(t, tt.want, len(starts(s.TakeActions())) == 1)
		})
	}
}
