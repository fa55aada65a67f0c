// Package usage keeps the bill of a data centre. On the entry host that holds the duty it
// collects the workers' usage reports and records which owner has which host. Every entry
// host serves the bill and the records behind it.
package usage

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/godwitcross/godwitcross/entry/duty"
	"github.com/godwitcross/godwitcross/entry/follower"
	"github.com/godwitcross/godwitcross/entry/metric"
	"github.com/godwitcross/godwitcross/entry/operator"
	"github.com/godwitcross/godwitcross/entry/platform"
	"github.com/godwitcross/godwitcross/entry/snapshot"
	"github.com/godwitcross/godwitcross/entry/view"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/lease"
	"github.com/godwitcross/godwitcross/fleet/state"
)

// DutyUsage is the duty to collect a data centre's usage.
const DutyUsage lease.Duty = "Usage"

// batchQueueSize is the capacity of the queue of batches; a full queue blocks the reader.
const batchQueueSize = 16

// RecordAppender appends a record to a stream of the log.
type RecordAppender interface {
	Append(ctx context.Context, stream journal.StreamID, r journal.Record) error
}

// WorkerClient is the part of the platform's interface that reports usage.
type WorkerClient interface {
	Usage(w inventory.WorkerID) ([]platform.UsageReport, error)
}

// Config holds the settings and dependencies of the bill of a data centre.
type Config struct {
	Log        logrus.FieldLogger
	Name       inventory.EntryID
	DataCentre inventory.DataCentreID
	Metrics    *metric.Registry
	Records    RecordAppender
	Source     platform.StreamReader
	Workers    WorkerClient
	Fleet      *view.Value[follower.State]
	// EntryHosts returns the entry hosts of the data centre that may hold duties.
	EntryHosts func() []inventory.EntryID
}

// Task is a background task of the bill.
type Task interface {
	Name() string
	Run(ctx context.Context) error
}

// Usage holds the background tasks and operator routes for a data centre's bill.
type Usage struct {
	cfg      Config
	streamID journal.StreamID
	stream   *follower.Stream[*state.Usage]
	tasks    []Task
}

// New returns the bill of a data centre.
func New(cfg Config) *Usage {
	batches := make(chan platform.Batch, batchQueueSize)
	u := &Usage{cfg: cfg, streamID: journal.StreamUsage(cfg.DataCentre)}
	u.stream = follower.NewStream(follower.StreamConfig[*state.Usage]{Log: cfg.Log, Stream: u.streamID, State: state.NewUsage(), In: batches})
	snapshots := snapshot.ForStream(snapshot.StreamConfig{
		Log: cfg.Log, Name: cfg.Name, Stream: u.streamID, Metrics: cfg.Metrics, Source: cfg.Source, Records: cfg.Records,
	}, u.stream)
	u.tasks = []Task{
		platform.NewReader(cfg.Log, cfg.Source, u.streamID, 0, batches).RestoreWith(snapshots.Restore),
		u.stream,
		snapshots.Alarm,
		duty.NewRunner(duty.Config{
			Log: cfg.Log, Name: cfg.Name, Stream: u.streamID, Records: cfg.Records,
			Holdings: func() duty.Holdings { return u.stream.Progress().Holdings },
			Hosts:    cfg.EntryHosts,
			Work:     []duty.Work{newCollector(cfg, u.stream), snapshots.Writer},
		}),
	}
	return u
}

// Tasks returns the background tasks to run.
func (u *Usage) Tasks() []Task {
	return u.tasks
}

// Routes returns the operator routes.
func (u *Usage) Routes() []operator.Route {
	return []operator.Route{
		{Method: "GET", Path: "/bill", Handle: u.bill},
		{Method: "GET", Path: "/bill/records", Handle: u.records},
		{Method: "POST", Path: "/bill/corrections", Handle: u.correct},
	}
}
