package snapshot

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/godwitcross/godwitcross/entry/metric"
	"github.com/godwitcross/godwitcross/fleet/journal"
)

// lookEvery is the time between two looks of an alarm.
const lookEvery = time.Second

// AlarmConfig is what an alarm is built from.
type AlarmConfig struct {
	Log     logrus.FieldLogger
	Metrics *metric.Registry
	Stream  journal.StreamID
	Status  func() Status
}

// Alarm watches how near the newest snapshot of a stream is to what the log
// forgets.
type Alarm struct {
	cfg AlarmConfig
	// raised is set while the alarm holds.
	raised bool
}

// NewAlarm returns a task that sets metrics and logs each change of the alarm.
func NewAlarm(cfg AlarmConfig) *Alarm {
	return &Alarm{cfg: cfg}
}

// Name returns the task's name.
func (a *Alarm) Name() string {
	return "alarm of snapshots of " + string(a.cfg.Stream)
}

// Run watches until the context ends.
func (a *Alarm) Run(ctx context.Context) error {
	t := time.NewTicker(lookEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			a.look(a.cfg.Status())
		case <-ctx.Done():
			return nil
		}
	}
}

func (a *Alarm) look(st Status) {
	m := journal.NewMargin(st.Oldest, st.End, st.Checkpoint.Next)
	gauge := func(name string, v int64) {
		a.cfg.Metrics.Gauge(name, v, metric.Label{Name: "Stream", Value: string(a.cfg.Stream)})
	}
	gauge("log_records_kept", int64(m.Retained))
	gauge("snapshot_records_covered", int64(m.Covered))
	gauge("snapshot_records_behind", int64(st.Next-st.Checkpoint.Next))
	gauge("snapshot_alarm", flag(m.NeedsAlarm()))
	gauge("log_fault", flag(st.Fault != ""))
	if m.NeedsAlarm() == a.raised {
		return
	}
	a.raised = m.NeedsAlarm()
	l := a.cfg.Log.WithFields(logrus.Fields{"Stream": a.cfg.Stream, "Kept": m.Retained, "Covered": m.Covered, "Snapshot": st.Checkpoint.Next})
	if a.raised {
		l.Error("the log is about to forget records that no snapshot holds")
		return
	}
	l.Info("the newest snapshot covers what the log forgets")
}

func flag(on bool) int64 {
	if on {
		return 1
	}
	return 0
}
