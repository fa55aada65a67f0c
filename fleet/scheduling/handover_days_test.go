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
)

// calmTime is how long no unplanned fault may last before a long-running task without a run
// counts as lost, by the rules of the users' platform: 3 s and the 4 s before them.
const calmTime = 7 * time.Second

// simRestartTime is the time from the kill of an entry host's process to its next start.
const simRestartTime = time.Second

// disturbFor records an unplanned fault that lasts for d.
func (w *world) disturbFor(d time.Duration) {
	if until := w.now.Add(d); until.After(w.disturbedUntil) {
		w.disturbedUntil = until
	}
}

// replaceLeader ends the leader. In an orderly way it releases its leadership, and the next
// leader knows that it has ended. Else its heartbeats stop.
func (w *world) replaceLeader(orderly bool) {
	if !orderly {
		w.leaders[len(w.leaders)-1].isUp = false
		w.disturbFor(simRestartTime)
		w.cfg.PreviousHeartbeatAge = 1600 * time.Millisecond
		return
	}
	w.cfg.PreviousHeartbeatAge = -1
	for _, h := range w.hosts {
		h.orderedBy = 0 // by a holder that has ended
	}
	w.handOver()
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

// watchRuns records a violation for each long-running task that has no run for maxWithoutRun,
// if the last calmTime is without unplanned faults.
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
				} else if w.now.Sub(at) > maxWithoutRun && w.now.Sub(w.disturbedUntil) >= calmTime {
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
		w.disturbFor(0)
	})
	for _, kind := range kinds {
		f := plannedFault{Kind: kind, For: 5 + w.rng.Intn(75), Selector: w.rng.Intn(1000)}
		w.after(time.Duration(2000+w.rng.Intn(15000))*time.Millisecond, func() {
			w.inject(f)
			w.disturbFor(time.Duration(f.For) * 100 * time.Millisecond)
		})
	}
	first := 2*time.Second + time.Duration(w.rng.Intn(int(handoverInterval)))
	for at := first; at < first+handoverTime; at += handoverInterval {
		w.after(at, func() { w.replaceLeader(orderly) })
	}
	w.run(45 * time.Second)
	w.checkEnd()
	return w
}

// delayedDays simulates days with handovers and returns their violations.
func delayedDays(orderly bool) []string {
	var violations []string
	for seed := range int64(12) {
		w := handoverDay(seed, orderly, "worker crashes", "worker cut off", "worker restarted", "calls delayed")
		for _, v := range w.violations {
			violations = append(violations, fmt.Sprintf("seed %d: %s", seed, v))
		}
	}
	return violations
}

// A long-running task whose worker is lost had no run beside free capacity for as long as the
// leader was replaced every 2 s, as each leader waited for the worker anew (LOST).
func TestTakeoversDelayNoLostTask(t *testing.T) {
	require.Empty(t, delayedDays(true))
}

// The same with leaders that are killed every 2 s, of which none leads for as long as it takes
// to give up a lease (LOST).
func TestKilledLeadersDelayNoLostTask(t *testing.T) {
	require.Empty(t, delayedDays(false))
}
