// Package placement decides which worker runs which job: the records of jobs,
// the queue, quotas and fair share, learned sizes, quarantine, and what gives
// way under pressure.
package placement

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
)

// Kinds of the records of a data centre's job stream.
const (
	KindSubmit   journal.Kind = "Job.Submit"
	KindCancel   journal.Kind = "Job.Cancel"
	KindStart    journal.Kind = "Job.Start"
	KindThrottle journal.Kind = "Job.Throttle"
	KindEnd      journal.Kind = "Job.End"
	KindGiveUp   journal.Kind = "Job.GiveUp"
)

// Errors of folding job records.
var (
	ErrConflict = eris.New("the job ID belongs to another job")
	ErrFull     = eris.New("the data centre holds too many jobs")
	ErrFenced   = eris.New("only the holder of the duty writes this record")
)

// Submit adds jobs to the queue. A job that is known already is passed over if
// it is the same; another job under its ID rejects the whole record.
type Submit struct {
	Jobs []configuration.Job
}

// Cancel ends queued jobs at once and asks for the stop of started ones. A job
// that is unknown or has ended is passed over.
type Cancel struct {
	Jobs []inventory.JobID
	// Operators asked for it.
	Operators []inventory.OperatorID `json:",omitempty"`
}

// Start is the decision to run a job. A worker is told only after the record
// was read back.
type Start struct {
	Job    inventory.JobID
	Worker inventory.WorkerID
	Rack   inventory.RackID
	Pool   inventory.PoolID
	// Boot is the worker's count of restarts. The worker runs the task only while
	// it has not restarted since, so a task that it does not know never ran.
	Boot int
	// Size is what the decision reserves at the worker.
	Size inventory.Size
}

// Starts is the body of a start record. A start whose job is not queued is
// passed over.
type Starts struct {
	Starts []Start
}

// Throttle says that started jobs were slowed down and use half their cores.
type Throttle struct {
	Jobs []inventory.JobID
}

// GiveUp ends queued jobs that failed on every sound worker of their pool.
type GiveUp struct {
	Jobs []inventory.JobID
}

// Outcome is how an attempt to run a job ended.
type Outcome string

// The outcomes of attempts.
const (
	// OutcomeDone means that the job ran to its end.
	OutcomeDone Outcome = "Done"
	// OutcomeFailed means that the worker ran the job and it failed.
	OutcomeFailed Outcome = "Failed"
	// OutcomeNotRun means that the worker never ran the attempt and never will.
	OutcomeNotRun Outcome = "NotRun"
	// OutcomeCheckpointed means that the job can go on where it stopped.
	OutcomeCheckpointed Outcome = "Checkpointed"
	// OutcomeStopped means that the worker stopped the job before its end.
	OutcomeStopped Outcome = "Stopped"
	// OutcomeLost means that the worker is gone and nobody knows how far it came.
	OutcomeLost Outcome = "Lost"
)

// End is how one attempt ended.
type End struct {
	Job     inventory.JobID
	Attempt int
	Outcome Outcome
	// Used is the size that the attempt really used; zero if it is not known.
	Used inventory.Size
	// RunTime is how long the attempt ran; 0 if it is not known.
	RunTime time.Duration
	Reason  string `json:",omitempty"`
}

// Ends is the body of an end record. An end of another attempt than the job's
// current one is passed over.
type Ends struct {
	Ends []End
}
