package scheduling

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/godwitcross/godwitcross/fleet/job"
)

// plannedFault is a fault of a day.
type plannedFault struct {
	Kind string
	// At and For are in tenths of a second.
	At, For int
	// Which picks what it strikes.
	Which int
}

var faultKinds = []string{
	"owner killed", "owner frozen", "owner cut from the store", "owner cut from workers", "store down",
	"worker crashes", "worker reborn", "worker cut", "rack dark", "orders late", "answers lost", "jobs cancelled",
	"worker fails everything", "hosts listed as gone", "wave forgotten",
}

func drawFaults(t *rapid.T) []plannedFault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) plannedFault {
		return plannedFault{
			Kind:  rapid.SampledFrom(faultKinds).Draw(t, "kind"),
			At:    rapid.IntRange(0, 150).Draw(t, "at"),
			For:   rapid.IntRange(5, 80).Draw(t, "for"),
			Which: rapid.IntRange(0, 999).Draw(t, "which"),
		}
	}), 0, 6).Draw(t, "troubles")
}

// inject lets a fault begin and end.
func (w *world) inject(f plannedFault) {
	d := time.Duration(f.For) * 100 * time.Millisecond
	o := w.leaders[len(w.leaders)-1]
	ids := sortedKeys(w.workers)
	sw := w.workers[ids[f.Which%len(ids)]]
	switch f.Kind {
	case "owner killed":
		o.isUp = false
	case "owner frozen":
		o.pausedUntil = w.now.Add(d)
	case "owner cut from the store":
		o.cut = true
		w.after(d, func() { o.cut = false })
	case "owner cut from workers":
		for i, id := range ids {
			if i%2 == f.Which%2 {
				cut := w.workers[id].cut
				cut[o.id] = true
				w.after(d, func() { delete(cut, o.id) })
			}
		}
		o.cut = f.Which%3 == 0
		w.after(d, func() { o.cut = false })
	case "store down":
		w.storeUp = false
		w.after(d, func() { w.storeUp = true })
	case "worker crashes":
		w.crash(sw, d)
	case "worker reborn":
		w.restartWorker(sw)
	case "worker cut":
		w.cutOff(sw, d)
	case "rack dark":
		for _, id := range ids {
			if o := w.workers[id]; o.Rack == sw.Rack {
				w.cutOff(o, d)
			}
		}
	case "orders late":
		w.faulty.late = 0.1
		w.after(d, func() { w.faulty.late = 0 })
	case "answers lost":
		w.faulty.answerLost = 0.1
		w.after(d, func() { w.faulty.answerLost = 0 })
	case "jobs cancelled":
		for _, id := range sortedKeys(w.jobs) {
			j := w.jobs[id]
			if j.cancelledAt.IsZero() && j.endedAt.IsZero() && int(id[15])%3 == f.Which%3 {
				w.cancel(id)
			}
		}
	case "worker fails everything":
		w.faulty.failing[sw.ID] = true
		w.after(d, func() { delete(w.faulty.failing, sw.ID) })
	case "wave forgotten":
		// The owner is lost before it has stored which hosts were down for the wave.
		for key := range w.stored {
			if strings.HasPrefix(key, WavePrefix) {
				delete(w.stored, key)
			}
		}
		o.isUp = false
	case "hosts listed as gone":
		delete(w.entries, sw.ID)
		w.after(d, func() {
			if w.workers[sw.ID] == sw && sw.isUp {
				w.entries[sw.ID] = sw.Entry
			}
		})
	}
}

func (w *world) crash(sw *simWorker, d time.Duration) {
	if !sw.isUp {
		return
	}
	w.kill(sw)
	w.after(d, func() {
		if h := w.hosts[sw.Host]; h.Worker == sw.ID && h.State == HostUp {
			w.startWorker(h)
		}
	})
}

// restartWorker starts a worker again under its ID.
func (w *world) restartWorker(sw *simWorker) {
	if !sw.isUp {
		return
	}
	sw.isUp = false
	e := sw.Entry
	e.StartedAt = w.wall()
	w.addWorker(w.hosts[sw.Host], e)
}

func (w *world) cutOff(sw *simWorker, d time.Duration) {
	for i := range 50 {
		sw.cut[i] = true
	}
	w.after(d, func() { clear(sw.cut) })
}

// simulateDay plays a day of two pools with faults and a quiet end.
func simulateDay(seed int64, troubles []plannedFault) *world {
	w := dayOf(seed, troubles)
	w.run(60 * time.Second)
	return w
}

// dayOf returns a day of two pools that is to be played.
func dayOf(seed int64, troubles []plannedFault) *world {
	w := newWorld(seed, map[string]int{"a": 5, "b": 4}, 3)
	w.after(time.Second, func() {
		w.submit(w.newLongRunning("a", 4), 0, false)
		w.submit(w.newLongRunning("b", 3), 0, false)
	})
	for i := range 60 {
		pool := []string{"a", "b"}[w.rng.Intn(2)]
		w.after(time.Duration(1500+i*250)*time.Millisecond, func() {
			w.submit(w.newJob(pool, 4000, 5), time.Duration(300+w.rng.Intn(1500))*time.Millisecond, w.rng.Intn(20) == 0)
		})
	}
	w.after(3*time.Second, func() {
		v := Wave{Number: 1, Duration: 12 * time.Second, MaxCount: 2}
		for i, id := range sortedKeys(w.hosts) {
			if i%2 == 0 {
				v.Hosts = append(v.Hosts, id)
			}
		}
		w.waves = append(w.waves, v)
		for _, o := range w.leaders {
			o.s.RequestWave(w.now, w.wall(), v)
		}
	})
	for _, f := range troubles {
		w.after(time.Duration(2000+f.At*100)*time.Millisecond, func() { w.inject(f) })
	}
	return w
}

// checkEnd judges what must be so at the end of a day without faults.
func (w *world) checkEnd() {
	o := w.leaders[len(w.leaders)-1]
	for _, id := range sortedKeys(w.jobs) {
		j := w.jobs[id]
		st, _, ok := o.s.State(id)
		switch {
		case !ok:
			w.violated("LOST", "%s isn't known", id)
		case j.LongRunning() && j.cancelledAt.IsZero():
			for i := range j.Steps[0].Count {
				if t := (job.Task{Job: id, Index: i}); !w.isAtWork(t) {
					w.violated("LOST", "%s is to last and isn't at work", t)
				}
			}
		case !st.Final():
			w.violated("LOST", "%s is %s at the end", id, st)
		case j.cancelledAt.IsZero() && st == job.Cancelled:
			w.violated("LOST", "%s is shown as cancelled", id)
		}
	}
}

// TestDaysKeepTheRules plays days of random faults in virtual time.
func TestDaysKeepTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := simulateDay(rapid.Int64Range(0, 1<<40).Draw(t, "seed"), drawFaults(t))
		w.checkEnd()
		require.Empty(t, w.violations)
	})
}

// TestACalmDayIsServed plays a day without faults: all that can be done is done.
func TestACalmDayIsServed(t *testing.T) {
	w := simulateDay(1, nil)
	w.checkEnd()
	require.Empty(t, w.violations)
	require.Greater(t, w.runsDone, 200)
	require.Len(t, w.leaders, 1)
	require.Zero(t, w.startsRejected)
}

// Days that broke a rule once, each with its cause.
func TestDaysThatBrokeARuleOnce(t *testing.T) {
	tests := map[string]struct {
		seed     int64
		troubles []plannedFault
	}{
		// A new owner maintained hosts whose workers it had not heard of yet.
		"a dark rack at a takeover beside a wave": {0, []plannedFault{{"owner killed", 10, 30, 11}, {"rack dark", 14, 78, 63}}},
		// A start that had no answer arrived at the worker's next life under the same ID.
		"a late start meets a reborn worker": {32, []plannedFault{
			{"worker reborn", 6, 74, 435},
			{"orders late", 113, 44, 6},
			{"worker crashes", 12, 8, 38},
			{"worker reborn", 139, 6, 820},
			{"worker cut", 150, 77, 0},
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := simulateDay(tt.seed, tt.troubles)
			w.checkEnd()
			require.Empty(t, w.violations)
		})
	}
}
