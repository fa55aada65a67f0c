package placement

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
	"github.com/godwitcross/godwitcross/fleet/placement"
)

// DutyPlacement is the duty to place jobs on the data centre's workers.
const DutyPlacement lease.Duty = "Placement"

// RecordAppender appends a record to a stream of the log.
type RecordAppender interface {
	Append(ctx context.Context, stream journal.StreamID, r journal.Record) error
}

// WorkerClient is the part of the platform's interface that runs tasks.
type WorkerClient interface {
	Workers(dc inventory.DataCentreID) ([]platform.WorkerStatus, error)
	StartTask(w inventory.WorkerID, id placement.TaskID, s platform.TaskStart) (platform.Task, error)
	CommandTask(w inventory.WorkerID, id placement.TaskID, verb placement.Verb, c platform.TaskCommand) (platform.Task, error)
	RenewTasks(w inventory.WorkerID, c platform.TaskCommand) (platform.WorkerStatus, error)
}

// Config holds the settings and dependencies of the placement of a data centre.
type Config struct {
	Log        logrus.FieldLogger
	Name       inventory.EntryID
	DataCentre inventory.DataCentreID
	Metrics    *metric.Registry
	Records    RecordAppender
	Source     platform.StreamReader
	Workers    WorkerClient
	Fleet      *view.Value[follower.State]
	Hosts      *view.Value[inventory.HostList]
	// EntryHosts returns the entry hosts of the data centre that may hold duties.
	EntryHosts func() []inventory.EntryID
}

// Task is a background task of placement.
type Task interface {
	Name() string
	Run(ctx context.Context) error
}

// Placement holds the background tasks and operator routes for a data centre's jobs.
type Placement struct {
	cfg       Config
	streamID  journal.StreamID
	stream    *JobStream
	canceller *canceller
	tasks     []Task
}

// New returns the placement of a data centre.
func New(cfg Config) *Placement {
	batches := make(chan platform.Batch, batchQueueSize)
	stream := journal.StreamJobs(cfg.DataCentre)
	p := &Placement{cfg: cfg, streamID: stream, stream: newJobStream(cfg, stream, batches)}
	p.canceller = newCanceller(cfg, p.stream)
	snapshots := snapshot.ForStream(snapshot.StreamConfig{
		Log: cfg.Log, Name: cfg.Name, Stream: stream, Metrics: cfg.Metrics, Source: cfg.Source, Records: cfg.Records,
	}, p.stream.Stream)
	p.tasks = []Task{
		platform.NewReader(cfg.Log, cfg.Source, p.streamID, 0, batches).RestoreWith(snapshots.Restore),
		p.stream,
		p.canceller,
		newRenewer(cfg, p.stream),
		snapshots.Alarm,
		duty.NewRunner(duty.Config{
			Log: cfg.Log, Name: cfg.Name, Stream: p.streamID, Records: cfg.Records,
			Holdings: func() duty.Holdings { return p.stream.Progress().Holdings },
			Hosts:    cfg.EntryHosts,
			Work:     []duty.Work{newDispatcher(cfg, p.stream), snapshots.Writer},
		}),
	}
	return p
}

// Tasks returns the background tasks to run.
func (p *Placement) Tasks() []Task {
	return p.tasks
}

// Routes returns the operator routes.
func (p *Placement) Routes() []operator.Route {
	return []operator.Route{
		{Method: "POST", Path: "/jobs", Handle: p.submit},
		{Method: "POST", Path: "/jobs/cancel", Handle: p.cancel},
		{Method: "GET", Path: "/jobs", Handle: p.list},
		{Method: "GET", Path: "/jobs/explain", Handle: p.explain},
	}
}
