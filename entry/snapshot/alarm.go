package snapshot

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/godwitcross/godwitcross/entry/metric"
	"github.com/godwitcross/godwitcross/fleet/journal"
)

// checkInterval is the time between two checks of a stream's snapshot status.
const checkInterval = time.Second

// AlarmConfig configures an Alarm.
type AlarmConfig struct {
	Log     logrus.FieldLogger
	Metrics *metric.Registry
	Stream  journal.StreamID
	Status  func() Status
}

// Alarm warns when the log is close to deleting records of a stream that no snapshot
// contains.
type Alarm struct {
	cfg AlarmConfig
	// raised is set while the alarm condition holds.
	raised bool
}

// NewAlarm returns a task that sets the metrics and logs when the alarm starts and ends.
func NewAlarm(cfg AlarmConfig) *Alarm {
	return &Alarm{cfg: cfg}
}

// Name returns the task's name.
func (a *Alarm) Name() string {
	return "alarm of snapshots of " + string(a.cfg.Stream)
}

// Run checks the status until the context ends.
func (a *Alarm) Run(ctx context.Context) error {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			a.check(a.cfg.Status())
		case <-ctx.Done():
			return nil
		}
	}
}

func (a *Alarm) check(st Status) {
	m := journal.NewMargin(st.Oldest, st.End, st.Checkpoint.Next)
	gauge := func(name string, v int64) {
		a.cfg.Metrics.Gauge(name, v, metric.Label{Name: "Stream", Value: string(a.cfg.Stream)})
	}
	gauge("log_records_kept", int64(m.Retained))
	gauge("snapshot_records_covered", int64(m.Covered))
	gauge("snapshot_records_behind", int64(st.Next-st.Checkpoint.Next))
	gauge("snapshot_alarm", boolValue(m.NeedsAlarm()))
	gauge("log_fault", boolValue(st.Fault != ""))
	if m.NeedsAlarm() == a.raised {
		return
	}
	a.raised = m.NeedsAlarm()
	l := a.cfg.Log.WithFields(logrus.Fields{"Stream": a.cfg.Stream, "Kept": m.Retained, "Covered": m.Covered, "Snapshot": st.Checkpoint.Next})
	if a.raised {
		l.Error("log is close to deleting records that no snapshot contains")
		return
	}
	l.Info("newest snapshot covers enough of the retained records again")
}

func boolValue(on bool) int64 {
	if on {
		return 1
	}
	return 0
}
