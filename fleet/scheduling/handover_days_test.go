package scheduling

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/job"
	"github.com/godwitcross/godwitcross/fleet/queue"
)

// Takeovers of a day with handovers: one every handoverInterval for handoverTime.
const (
	handoverInterval = 2 * time.Second
	handoverTime     = 20 * time.Second
	// releaseTime is how long the next leader needs after a release.
	releaseTime = 200 * time.Millisecond
	// maxWithoutRun bounds how long a long-running task may have no run beside free capacity.
	maxWithoutRun = 9 * time.Second
)

// replaceLeader ends the leader. In an orderly way it releases its leadership, and the next
// leader knows that it has ended. Else its heartbeats stop.
func (w *world) replaceLeader(orderly bool) {
	w.leaders[len(w.leaders)-1].isUp = false
	w.cfg.PreviousHeartbeatAge = 1600 * time.Millisecond
	if orderly {
		w.cfg.PreviousHeartbeatAge = -1
		for _, h := range w.hosts {
			h.orderedBy = 0 // by a holder that has ended
		}
		w.after(releaseTime, func() { w.takeOver() })
	}
}

// orderDetached makes orders for hosts reach the platform although their leader ends before.
func orderDetached(w *world, a Action) []Action {
	l := w.leaders[len(w.leaders)-1]
	send := func(id HostID, token int64, pool string, wave int64) {
		w.after(simStoreDelay, func() {
			o := w.order(id, token, pool, wave)
			l.deliver(func() { l.s.Ordered(w.now, id, token, o) })
		})
	}
	switch a := a.(type) {
	case Move:
		send(a.Host, a.Token, a.Pool, 0)
	case Maintain:
		send(a.Host, a.Token, "", a.Wave)
	default:
		return []Action{a}
	}
	return nil
}

// watchRuns records a violation for each long-running task that has no run for maxWithoutRun.
func (w *world) watchRuns() {
	hadRunAt := make(map[job.Task]time.Time)
	w.every(100*time.Millisecond, func() {
		running := make(map[job.Task]bool)
		for _, sw := range w.workers {
			for t := range sw.runs {
				running[t] = running[t] || sw.isUp
			}
		}
		for _, id := range sortedKeys(w.jobs) {
			j := w.jobs[id]
			if !j.LongRunning() || !j.cancelledAt.IsZero() {
				continue
			}
			for i := range j.Steps[0].Count {
				t := job.Task{Job: id, Index: i}
				if at, ok := hadRunAt[t]; !ok || running[t] {
					hadRunAt[t] = w.now
				} else if w.now.Sub(at) > maxWithoutRun {
					w.violated("LOST", "%s has had no run for %s", t, w.now.Sub(at))
					hadRunAt[t] = w.now
				}
			}
		}
	})
}

// handoverDay simulates a pool of hosts that stay in it, with room for more than twice its
// tasks, on which the leader is replaced every handoverInterval. A worker is lost for good,
// and the given faults come on top.
func handoverDay(seed int64, orderly bool, kinds ...string) *world {
	w := newWorld(seed, map[string]int{"a": 9}, 0)
	w.configuration = queue.New(2, w.configuration.Queues, []queue.Pool{{Name: "a", AdmissionControl: true}}, queue.Limits{})
	w.leaders[0].s.Configure(w.configuration)
	w.tamper = orderDetached
	w.watchRuns()
	w.after(time.Second, func() { w.submit(w.newLongRunning("a", 4), 0, false) })
	for i := range 40 {
		w.after(time.Duration(1500+i*400)*time.Millisecond, func() {
			w.submit(w.newJob("a", 4000, 3), time.Duration(300+w.rng.Intn(1500))*time.Millisecond, w.rng.Intn(20) == 0)
		})
	}
	w.after(3*time.Second, func() {
		v := Wave{Number: 1, Hosts: sortedKeys(w.hosts)[:4], Duration: 20 * time.Second, MaxCount: 1}
		w.waves = append(w.waves, v)
		w.leaders[len(w.leaders)-1].s.RequestWave(w.now, w.wall(), v)
	})
	w.after(time.Duration(2000+w.rng.Intn(8000))*time.Millisecond, func() {
		ids := sortedKeys(w.workers)
		w.kill(w.workers[ids[w.rng.Intn(len(ids))]])
	})
	for _, kind := range kinds {
		f := plannedFault{Kind: kind, For: 5 + w.rng.Intn(75), Selector: w.rng.Intn(1000)}
		w.after(time.Duration(2000+w.rng.Intn(15000))*time.Millisecond, func() { w.inject(f) })
	}
	first := 2*time.Second + time.Duration(w.rng.Intn(int(handoverInterval)))
	for at := first; at < first+handoverTime; at += handoverInterval {
		w.after(at, func() { w.replaceLeader(orderly) })
	}
	w.run(45 * time.Second)
	w.checkEnd()
	return w
}

// A long-running task whose worker is lost had no run beside free capacity for as long as the
// leader was replaced every 2 s, as each leader waited for the worker anew (LOST).
func TestTakeoversDelayNoLostTask(t *testing.T) {
	var violations []string
	for seed := range int64(12) {
		for _, orderly := range []bool{true, false} {
			w := handoverDay(seed, orderly, "worker crashes", "worker cut off", "worker restarted", "calls delayed")
			for _, v := range w.violations {
				violations = append(violations, fmt.Sprintf("seed %d, orderly %t: %s", seed, orderly, v))
			}
		}
	}
	require.Empty(t, violations)
}
