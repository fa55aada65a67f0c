package snapshot

import (
	"github.com/sirupsen/logrus"

	"github.com/godwitcross/godwitcross/entry/follower"
	"github.com/godwitcross/godwitcross/entry/metric"
	"github.com/godwitcross/godwitcross/entry/platform"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
)

// StreamConfig configures the snapshots of a data centre's stream.
type StreamConfig struct {
	Log     logrus.FieldLogger
	Name    inventory.EntryID
	Stream  journal.StreamID
	Metrics *metric.Registry
	Source  platform.StreamReader
	Records RecordAppender
}

// Parts are the components that keep a data centre's stream recoverable after the log has
// deleted its oldest records.
type Parts struct {
	// Writer writes snapshots while this host holds the duty.
	Writer *Writer
	// Alarm warns before the log deletes records that no snapshot contains.
	Alarm *Alarm
	// Restore lets the stream's reader start at the newest snapshot.
	Restore platform.RestoreFunc
}

// ForStream returns the snapshot components of a stream.
func ForStream[S follower.StreamState](cfg StreamConfig, s *follower.Stream[S]) Parts {
	status := func() Status {
		p := s.Progress()
		return Status{Next: p.Next, End: p.End, Oldest: p.Oldest, Checkpoint: p.Checkpoint, Fault: p.Fault}
	}
	return Parts{
		Writer: NewWriter(WriterConfig{
			Log: cfg.Log, Name: cfg.Name, Stream: cfg.Stream, Status: status, Source: s, Records: cfg.Records,
			InvalidReason: func() string { return s.Progress().Fault },
		}),
		Alarm:   NewAlarm(AlarmConfig{Log: cfg.Log, Metrics: cfg.Metrics, Stream: cfg.Stream, Status: status}),
		Restore: NewLoader(LoaderConfig{Log: cfg.Log, Stream: cfg.Stream, Source: cfg.Source, Target: s}).Restore,
	}
}
