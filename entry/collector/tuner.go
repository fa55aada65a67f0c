package collector

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/godwitcross/godwitcross/entry/clock"
)

const (
	// leaderInterval is how often the load of a leader is sampled. A peak lasts some seconds, of which
	// the first are the worst.
	leaderInterval = 250 * time.Millisecond
	// idleInterval is how often other processes look whether they lead.
	idleInterval = time.Second
	// minChange is the smallest change that is applied: each one stops all goroutines.
	minChange = 20
	// liveHeap is the runtime's metric of what the last collection left.
	liveHeap = "/gc/heap/live:bytes"
)

// Tuner applies the Policy to this process.
type Tuner struct {
	// MemoryLimit bounds the memory of the process in bytes; 0 means that it isn't known.
	MemoryLimit uint64
	// CPUShare is the share of a core that the process gets; 0 means a whole one.
	CPUShare float64
	Leads    func() bool
	Log      logrus.FieldLogger

	policy  Policy
	percent int
	sampled sample
}

// sample is the processor time that the process had used at a time.
type sample struct {
	at   time.Time
	used time.Duration
}

// Run samples the load until ctx ends. It expects BasePercent to be in force.
func (t *Tuner) Run(ctx context.Context) {
	t.percent = BasePercent
	t.sampled = sample{at: time.Now(), used: processorTime()}
	for wait := idleInterval; clock.Sleep(ctx, wait); {
		wait = idleInterval
		if t.Leads() {
			wait = leaderInterval
		}
		t.apply(t.load(time.Now(), processorTime()))
	}
}

// load returns the load since the last call.
func (t *Tuner) load(now time.Time, used time.Duration) Load {
	share := t.CPUShare
	if share <= 0 {
		share = 1
	}
	last := t.sampled
	t.sampled = sample{at: now, used: used}
	l := Load{MemoryLimit: t.MemoryLimit, LiveHeap: liveHeapBytes(), Leads: t.Leads()}
	if passed := now.Sub(last.at); passed > 0 {
		l.Use = float64(used-last.used) / float64(passed) / share
	}
	return l
}

// apply sets the percentage for a load if it differs enough from the one in force.
func (t *Tuner) apply(l Load) {
	p := t.policy.Next(l)
	if d := p - t.percent; -minChange < d && d < minChange && p != BasePercent || p == t.percent {
		return
	}
	t.Log.WithFields(logrus.Fields{"Percent": p, "Use": l.Use, "LiveHeapMb": l.LiveHeap >> 20}).Info("garbage collector's percentage changed")
	t.percent = p
	debug.SetGCPercent(p)
}

// processorTime returns the processor time that the process has used, or 0 if the system doesn't tell.
func processorTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

func liveHeapBytes() uint64 {
	s := []metrics.Sample{{Name: liveHeap}}
	metrics.Read(s)
	if s[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return s[0].Value.Uint64()
}
