package job

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// State is what callers are told of a job.
type State string

// States of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether the state never changes again.
func (s State) Final() bool {
	return s == Completed || s == Failed || s == Cancelled
}

// TaskProgress is what must outlast the host that schedules the task.
type TaskProgress struct {
	Occurrence int `json:"O,omitempty"`
	Step       int `json:"S,omitempty"`
	Index      int `json:"I,omitempty"`
	// Done tasks never start again.
	Done bool `json:"D,omitempty"`
	// Failed lists the runs that ended as failed, each once: workers list an end until
	// it is stored, and ends of several workers may be listed in any order.
	Failed []int64 `json:"F,omitempty"`
	// Checkpoint is where a new run resumes.
	Checkpoint string `json:"C,omitempty"`
}

// Progress is the stored record of how far a job is. One record holds all of it.
type Progress struct {
	State State
	// EndedAt is the time of day of a final state, in Unix milliseconds.
	EndedAt int64 `json:",omitempty"`
	// Centres are the data centres beside its home where its tasks may run.
	Centres []string `json:",omitempty"`
	// Tasks lists each task of which anything is to be kept.
	Tasks []TaskProgress `json:",omitempty"`
}

// Encode returns the record's bytes.
func (p Progress) Encode() ([]byte, error) {
	b, err := json.Marshal(p)
	return b, eris.Wrap(err, "encode progress")
}

// DecodeProgress reads a record.
func DecodeProgress(b []byte) (Progress, error) {
	var p Progress
	if err := json.Unmarshal(b, &p); err != nil {
		return p, eris.Wrap(err, "decode progress")
	}
	return p, nil
}

// Encode returns the record's bytes.
func (j Job) Encode() ([]byte, error) {
	b, err := json.Marshal(j)
	return b, eris.Wrap(err, "encode job")
}

// Decode reads an accepted job.
func Decode(b []byte) (Job, error) {
	var j Job
	if err := json.Unmarshal(b, &j); err != nil {
		return j, eris.Wrap(err, "decode job")
	}
	return j, j.Validate()
}
