// Package usage keeps the bill of a data centre: on the host that holds the
// duty it collects workers' usage reports and records who owns which host; every
// host answers with the bill and the records behind it.
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

// batchQueue is how many batches wait; a full queue holds the reader back.
const batchQueue = 16

// RecordAppender adds a record to a stream of the log.
type RecordAppender interface {
	Append(ctx context.Context, stream journal.StreamID, r journal.Record) error
}

// WorkerClient is the part of the platform that reports usage.
type WorkerClient interface {
	Usage(w inventory.WorkerID) ([]platform.UsageReport, error)
}

// Config is what the bill of a data centre is built from.
type Config struct {
	Log        logrus.FieldLogger
	Name       inventory.EntryID
	DataCentre inventory.DataCentreID
	Metrics    *metric.Registry
	Records    RecordAppender
	Source     platform.StreamReader
	Workers    WorkerClient
	Fleet      *view.Box[follower.State]
	// EntryHosts returns the entry hosts of the data centre that may hold duties.
	EntryHosts func() []inventory.EntryID
}

// Task is one task of the bill.
type Task interface {
	Name() string
	Run(ctx context.Context) error
}

// Usage is the tasks and operators' paths of a data centre's bill.
type Usage struct {
	cfg    Config
	stream journal.StreamID
	book   *follower.Stream[*state.Usage]
	tasks  []Task
}

// New returns the bill of a data centre.
func New(cfg Config) *Usage {
	batches := make(chan platform.Batch, batchQueue)
	u := &Usage{cfg: cfg, stream: journal.StreamUsage(cfg.DataCentre)}
	u.book = follower.NewStream(follower.StreamConfig[*state.Usage]{Log: cfg.Log, Stream: u.stream, State: state.NewUsage(), In: batches})
	kept := snapshot.ForStream(snapshot.StreamConfig{
		Log: cfg.Log, Name: cfg.Name, Stream: u.stream, Metrics: cfg.Metrics, Source: cfg.Source, Records: cfg.Records,
	}, u.book)
	u.tasks = []Task{
		platform.NewReader(cfg.Log, cfg.Source, u.stream, 0, batches).RestoreWith(kept.Restore),
		u.book,
		kept.Alarm,
		duty.NewRunner(duty.Config{
			Log: cfg.Log, Name: cfg.Name, Stream: u.stream, Records: cfg.Records,
			Holdings: func() duty.Holdings { return u.book.Progress().Holdings },
			Hosts:    cfg.EntryHosts,
			Work:     []duty.Work{newCollector(cfg, u.book), kept.Writer},
		}),
	}
	return u
}

// Tasks returns the tasks to run.
func (u *Usage) Tasks() []Task {
	return u.tasks
}

// Routes returns the operators' paths.
func (u *Usage) Routes() []operator.Route {
	return []operator.Route{
		{Method: "GET", Path: "/bill", Handle: u.bill},
		{Method: "GET", Path: "/bill/records", Handle: u.records},
		{Method: "POST", Path: "/bill/corrections", Handle: u.correct},
	}
}
