package placement

import (
	"fmt"
	"time"

	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
)

// State is how far a job is.
type State string

// The states of jobs.
const (
	Queued    State = "Queued"
	Started   State = "Started"
	Done      State = "Done"
	Failed    State = "Failed"
	Cancelled State = "Cancelled"
	// Unknown is a non-idempotent job whose worker is gone. It is never started
	// again.
	Unknown State = "Unknown"
)

// TaskID names one attempt to run a job. A worker runs an identity at most once.
type TaskID string

// Job is an accepted job.
type Job struct {
	configuration.Job
	// Sequence is the order of acceptance.
	Sequence int64
	// AcceptedAt is the time of the submission's record.
	AcceptedAt time.Time
	State      State
	// Attempt counts accepted starts.
	Attempt int `json:",omitzero"`
	// Start is the last accepted start and Epoch that of its record.
	Start Start         `json:",omitzero"`
	Epoch journal.Epoch `json:",omitzero"`
	// StartedAt is the time of the last start record.
	StartedAt time.Time `json:",omitzero"`
	// Cancelling means that a started job is to be stopped.
	Cancelling bool `json:",omitempty"`
	Throttled  bool `json:",omitempty"`
	// Checkpoint is the attempt from whose checkpoint the next one goes on; empty
	// if it begins anew.
	Checkpoint TaskID `json:",omitempty"`
	Reason     string `json:",omitempty"`

	// queue is set exactly while the job is queued; previous and next are its
	// neighbours there.
	queue          *queue
	previous, next *Job
}

// Task returns the identity of the current attempt.
func (j *Job) Task() TaskID {
	return TaskID(fmt.Sprintf("%s.%d", j.ID, j.Attempt))
}

// HasEnded reports whether nothing more happens to the job.
func (j *Job) HasEnded() bool {
	return j.State != Queued && j.State != Started
}

// Reserved returns what a started job holds of its worker.
func (j *Job) Reserved() inventory.Size {
	s := j.Start.Size
	if j.Throttled {
		s.Cores /= 2
	}
	return s
}

// mayRunAgain reports whether another attempt may follow the outcome.
func (j *Job) mayRunAgain(o Outcome) bool {
	switch o {
	case OutcomeNotRun, OutcomeCheckpointed:
		return true
	case OutcomeStopped, OutcomeLost, OutcomeFailed:
		return j.Idempotent
	}
	return false
}

// endState returns the state in which the outcome leaves a job that does not
// run again.
func endState(o Outcome) State {
	switch o {
	case OutcomeDone:
		return Done
	case OutcomeLost, OutcomeStopped:
		return Unknown
	}
	return Failed
}
