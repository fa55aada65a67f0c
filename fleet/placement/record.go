// Package placement decides which worker runs which job. It defines the job records and
// implements the queues, quotas, weighted fair share, learned sizes, quarantine and
// preemption. It belongs to the program entry; the program godwitcross uses
// fleet/scheduling instead.
package placement

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
)

// The record kinds of a data centre's job stream.
const (
	KindSubmit   journal.Kind = "Job.Submit"
	KindCancel   journal.Kind = "Job.Cancel"
	KindStart    journal.Kind = "Job.Start"
	KindThrottle journal.Kind = "Job.Throttle"
	KindEnd      journal.Kind = "Job.End"
	KindAbandon  journal.Kind = "Job.GiveUp"
)

// Errors of applying job records.
var (
	ErrConflict = eris.New("the job ID belongs to another job")
	ErrFull     = eris.New("the data centre holds too many jobs")
	ErrFenced   = eris.New("only the holder of the duty writes this record")
	ErrOwner    = eris.New("the job belongs to another owner")
)

// Submit is the body of a submit record, which queues jobs. An identical job that is
// already known is ignored; a different job under a known ID rejects the whole record.
type Submit struct {
	// Owner is the owner on whose behalf the author writes; a job of another owner
	// rejects the record. It is empty where no operators are configured.
	Owner inventory.OwnerID `json:",omitempty"`
	Jobs  []configuration.Job
}

// Cancel is the body of a cancel record. It ends queued jobs and marks started ones to
// be stopped. Jobs that are unknown or have ended are ignored.
type Cancel struct {
	// Owner is the owner on whose behalf the author writes; a job of another owner
	// rejects the record. It is empty where no operators are configured.
	Owner inventory.OwnerID `json:",omitempty"`
	Jobs  []inventory.JobID
	// Operators are the operators who requested the cancellation.
	Operators []inventory.OperatorID `json:",omitempty"`
}

// Start is the decision to run a job on a worker. It is sent to the worker only after
// its record has been read back from the log.
type Start struct {
	Job    inventory.JobID
	Worker inventory.WorkerID
	Rack   inventory.RackID
	Pool   inventory.PoolID
	// Boot is the worker's restart count at the decision. The worker runs the task only
	// if it has not restarted since, so a task unknown to the worker has never run.
	Boot int
	// Size is the size reserved on the worker.
	Size inventory.Size
}

// Starts is the body of a start record. A start whose job is not queued is ignored.
type Starts struct {
	Starts []Start
}

// Throttle is the body of a throttle record: the started jobs were throttled to half of
// their cores.
type Throttle struct {
	Jobs []inventory.JobID
}

// Abandon is the body of a record that abandons queued jobs which failed on every healthy
// worker of their pool.
type Abandon struct {
	Jobs []inventory.JobID
}

// Outcome is how an attempt to run a job ended.
type Outcome string

// The outcomes of attempts.
const (
	// OutcomeDone means that the job ran to completion.
	OutcomeDone Outcome = "Done"
	// OutcomeFailed means that the worker ran the job and it failed.
	OutcomeFailed Outcome = "Failed"
	// OutcomeNotRun means that the worker never ran the attempt and never will.
	OutcomeNotRun Outcome = "NotRun"
	// OutcomeCheckpointed means that the job saved a checkpoint and can resume from it.
	OutcomeCheckpointed Outcome = "Checkpointed"
	// OutcomeStopped means that the worker stopped the job before it completed.
	OutcomeStopped Outcome = "Stopped"
	// OutcomeLost means that the worker was lost and the progress of the attempt is
	// unknown.
	OutcomeLost Outcome = "Lost"
)

// End is the end of one attempt.
type End struct {
	Job     inventory.JobID
	Attempt int
	Outcome Outcome
	// Used is the size that the attempt actually used; zero if unknown.
	Used inventory.Size
	// RunTime is how long the attempt ran; zero if unknown.
	RunTime time.Duration
	Reason  string `json:",omitempty"`
}

// Ends is the body of an end record. The end of an attempt that is not the job's current
// one is ignored.
type Ends struct {
	Ends []End
}
