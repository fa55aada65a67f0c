package snapshot

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/godwitcross/godwitcross/entry/follower"
	"github.com/godwitcross/godwitcross/entry/metric"
	"github.com/godwitcross/godwitcross/entry/view"
	"github.com/godwitcross/godwitcross/fleet/journal"
)

// Alarm watches how near the newest snapshot is to what the log forgets.
type Alarm struct {
	log     logrus.FieldLogger
	metrics *metric.Registry
	state   *view.Box[follower.State]
	// raised is set while the alarm holds.
	raised bool
}

// NewAlarm returns a task that sets metrics and logs each change of the alarm.
func NewAlarm(log logrus.FieldLogger, m *metric.Registry, state *view.Box[follower.State]) *Alarm {
	return &Alarm{log: log, metrics: m, state: state}
}

// Name returns the task's name.
func (a *Alarm) Name() string {
	return "alarm of snapshots"
}

// Run watches until the context ends.
func (a *Alarm) Run(ctx context.Context) error {
	for {
		st, changed := a.state.Watch()
		a.look(st)
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

func (a *Alarm) look(st follower.State) {
	m := journal.MarginOf(st.Oldest, st.End, st.Checkpoint.Next)
	a.metrics.Gauge("log_records_kept", int64(m.Kept))
	a.metrics.Gauge("snapshot_records_covered", int64(m.Covered))
	a.metrics.Gauge("snapshot_records_behind", int64(st.Next-st.Checkpoint.Next))
	a.metrics.Gauge("snapshot_alarm", flag(m.Alarms()))
	a.metrics.Gauge("log_fault", flag(st.Fault != ""))
	if m.Alarms() == a.raised {
		return
	}
	a.raised = m.Alarms()
	l := a.log.WithFields(logrus.Fields{"Kept": m.Kept, "Covered": m.Covered, "Snapshot": st.Checkpoint.Next})
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
