package snapshot

import (
	"github.com/sirupsen/logrus"

	"github.com/godwitcross/godwitcross/entry/follower"
	"github.com/godwitcross/godwitcross/entry/metric"
	"github.com/godwitcross/godwitcross/entry/platform"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
)

// StreamConfig is what the snapshots of a data centre's stream are built from.
type StreamConfig struct {
	Log     logrus.FieldLogger
	Name    inventory.EntryID
	Stream  journal.StreamID
	Metrics *metric.Registry
	Source  platform.StreamReader
	Records RecordAppender
}

// Parts are what keeps a data centre's stream beyond what the log remembers.
type Parts struct {
	// Writer is the work that writes snapshots.
	Writer *Writer
	// Alarm is the task that warns before records are lost.
	Alarm *Alarm
	// Restore starts the stream's reader from the newest snapshot.
	Restore platform.RestoreFunc
}

// ForStream returns the parts for a stream.
func ForStream[S follower.StreamState](cfg StreamConfig, s *follower.Stream[S]) Parts {
	status := func() Status {
		p := s.Progress()
		return Status{Next: p.Next, End: p.End, Oldest: p.Oldest, Checkpoint: p.Checkpoint, Fault: p.Fault}
	}
	return Parts{
		Writer: NewWriter(WriterConfig{
			Log: cfg.Log, Name: cfg.Name, Stream: cfg.Stream, Status: status, Source: s, Records: cfg.Records,
			Doubt: func() string { return s.Progress().Fault },
		}),
		Alarm:   NewAlarm(AlarmConfig{Log: cfg.Log, Metrics: cfg.Metrics, Stream: cfg.Stream, Status: status}),
		Restore: NewLoader(LoaderConfig{Log: cfg.Log, Stream: cfg.Stream, Source: cfg.Source, Target: s}).Restore,
	}
}
