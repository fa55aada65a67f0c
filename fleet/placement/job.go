package placement

import (
	"fmt"
	"time"

	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
)

// State is the state of a job.
type State string

// The job states.
const (
	Queued    State = "Queued"
	Started   State = "Started"
	Done      State = "Done"
	Failed    State = "Failed"
	Cancelled State = "Cancelled"
	// Unknown is the state of a non-idempotent job whose attempt was stopped or whose
	// worker was lost. It is never started again.
	Unknown State = "Unknown"
)

// TaskID identifies one attempt to run a job. A worker runs a task ID at most once.
type TaskID string

// Job is an accepted job.
type Job struct {
	configuration.Job
	// Sequence is the job's position in the order of acceptance.
	Sequence int64
	// AcceptedAt is the time of the submit record.
	AcceptedAt time.Time
	State      State
	// Attempt is the number of accepted starts.
	Attempt int `json:",omitzero"`
	// Start is the last accepted start, and Epoch the epoch of its record.
	Start Start         `json:",omitzero"`
	Epoch journal.Epoch `json:",omitzero"`
	// StartedAt is the time of the last start record.
	StartedAt time.Time `json:",omitzero"`
	// Cancelling is true while a started job is to be stopped.
	Cancelling bool `json:",omitempty"`
	Throttled  bool `json:",omitempty"`
	// Checkpoint is the attempt whose checkpoint the next attempt resumes from; empty if
	// it starts from the beginning.
	Checkpoint TaskID `json:",omitempty"`
	Reason     string `json:",omitempty"`

	// queue is non-nil only while the job is queued; previous and next are its neighbours
	// in that queue.
	queue          *queue
	previous, next *Job
}

// Task returns the task ID of the current attempt.
func (j *Job) Task() TaskID {
	return TaskID(fmt.Sprintf("%s.%d", j.ID, j.Attempt))
}

// HasEnded reports whether the job is in a final state.
func (j *Job) HasEnded() bool {
	return j.State != Queued && j.State != Started
}

// Reserved returns the size that a started job reserves on its worker. A throttled job
// reserves half of its cores.
func (j *Job) Reserved() inventory.Size {
	s := j.Start.Size
	if j.Throttled {
		s.Cores /= 2
	}
	return s
}

// mayRunAgain reports whether another attempt may follow an attempt with the outcome.
func (j *Job) mayRunAgain(o Outcome) bool {
	switch o {
	case OutcomeNotRun, OutcomeCheckpointed:
		return true
	case OutcomeStopped, OutcomeLost, OutcomeFailed:
		return j.Idempotent
	}
	return false
}

// endState returns the final state of a job that is not run again after the outcome.
func endState(o Outcome) State {
	switch o {
	case OutcomeDone:
		return Done
	case OutcomeLost, OutcomeStopped:
		return Unknown
	}
	return Failed
}
