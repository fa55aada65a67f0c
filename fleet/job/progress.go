package job

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/fleet/workspace"
)

// State is the state of a job as callers see it.
type State string

// The states of a job. Completed, Failed and Cancelled are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether the state can't change any more.
func (s State) Final() bool {
	return s == Completed || s == Failed || s == Cancelled
}

// TaskProgress is the stored progress of a task, from which a new leader continues.
type TaskProgress struct {
	Occurrence int `json:"O,omitempty"`
	Step       int `json:"S,omitempty"`
	Index      int `json:"I,omitempty"`
	// Done tasks never start again.
	Done bool `json:"D,omitempty"`
	// Failed lists the numbers of the failed runs, each once. Workers repeat an end until
	// it is stored, and the ends of several workers may be reported in any order.
	Failed []int64 `json:"F,omitempty"`
	// Crashed lists the numbers of the runs that may have crashed their workers, each once.
	Crashed []int64 `json:"K,omitempty"`
	// LateCrashed lists the numbers of those that had gone on for some time, and CrashAgeMs is the highest age, in
	// milliseconds, that one of them had.
	LateCrashed []int64 `json:"L,omitempty"`
	CrashAgeMs  int64   `json:"A,omitempty"`
	// Unproven lists the runs that may crash their workers, or may have crashed them. A new
	// leader counts such a crash once it learns of it.
	Unproven []UnprovenRun `json:"R,omitempty"`
	// Checkpoint is the checkpoint from which a new run resumes.
	Checkpoint string `json:"C,omitempty"`
}

// UnprovenRun is a run that has just begun, or is about to, on an incarnation of a worker.
type UnprovenRun struct {
	Run    int64  `json:"N"`
	Worker string `json:"W"`
	// StartedAt is the start time of the worker's incarnation in Unix milliseconds, 0 if unknown.
	StartedAt int64 `json:"B,omitempty"`
	// Isolated is set if no other run that may crash the worker began beside it.
	Isolated bool `json:"I,omitempty"`
	// Begun is set once the worker has accepted the run, or once an isolated run's start broke the
	// connection to the worker. Without it, the run may never have begun.
	Begun bool `json:"G,omitempty"`
	// AgeMs is set if the run had gone on for that long, in milliseconds, when the connection to its worker broke.
	AgeMs int64 `json:"A,omitempty"`
	// Reset is set beside AgeMs if the connection was reset, which may also happen on the way to the worker.
	Reset bool `json:"X,omitempty"`
}

// Age returns AgeMs as a duration.
func (u UnprovenRun) Age() time.Duration {
	return time.Duration(u.AgeMs) * time.Millisecond
}

// Progress is the stored progress of a job, in one record, or in several if it is large; see Split.
//
// A job has up to three records: its accepted one, a Job, its cancelled one, and its
// progress. Other workspaces may add accepted and cancelled records with the same ID. Hosts write the first two when callers ask for it, also again for a job that has
// ended; the leader writes the progress and drops all three. While the store can hold an
// accepted or cancelled record of a job that has ended, it holds the progress with the final
// state, by which every leader knows that no task of the job may start. The leader therefore
// drops the progress last: after the retention, which is longer than submissions are repeated
// or appended late, and after the store has answered that it dropped the other two, once
// more for each that the leader has read again since.
type Progress struct {
	State State
	// EndedAt is when a final state was decided, by the wall clock in Unix milliseconds.
	EndedAt int64 `json:",omitempty"`
	// Workspace is the job's. Of several workspaces that submitted jobs with the same ID it names
	// the one whose job runs.
	Workspace workspace.Name `json:",omitempty"`
	// DataCentres are the data centres other than the home data centre where the tasks may
	// run.
	DataCentres []string `json:"Centres,omitempty"`
	// Pools are the pools other than the one at the job's acceptance where the tasks may run, as
	// its queue may get another pool.
	Pools []string `json:",omitempty"`
	// Tasks lists the tasks whose progress isn't empty, except those in Done.
	Tasks []TaskProgress `json:",omitempty"`
	// Done holds the done tasks of a job with many of them. Their number grows with each occurrence,
	// and a record has a limit.
	Done []TaskRange `json:",omitempty"`
}

// TaskRange is a range of the tasks of a job, which are numbered from 0 in the order of occurrences,
// steps and indexes.
type TaskRange struct {
	First int `json:"T"`
	Count int `json:"N"`
}

// AppendTask returns the ranges with one more task, whose number is above all others.
func AppendTask(ranges []TaskRange, number int) []TaskRange {
	if n := len(ranges); n > 0 && ranges[n-1].First+ranges[n-1].Count == number {
		ranges[n-1].Count++
		return ranges
	}
	return append(ranges, TaskRange{First: number, Count: 1})
}

// DoneTasks returns the identities of the tasks in Done, which are tasks of j. Numbers beyond the
// last occurrence are left out.
func (p Progress) DoneTasks(j Job) []Task {
	var out []Task
	perOccurrence := j.tasksPerOccurrence()
	for _, r := range p.Done {
		for n := r.First; n < min(r.First+r.Count, j.Occurrences()*perOccurrence); n++ {
			t := Task{Job: j.ID, Occurrence: n / perOccurrence, Index: n % perOccurrence}
			for t.Index >= j.Steps[t.Step].Count {
				t.Index -= j.Steps[t.Step].Count
				t.Step++
			}
			out = append(out, t)
		}
	}
	return out
}

// Encode returns the encoded record.
func (p Progress) Encode() ([]byte, error) {
	b, err := json.Marshal(p)
	return b, eris.Wrap(err, "encode progress")
}

// DecodeProgress decodes a job's progress record.
func DecodeProgress(b []byte) (Progress, error) {
	var p Progress
	if err := json.Unmarshal(b, &p); err != nil {
		return p, eris.Wrap(err, "decode progress")
	}
	return p, nil
}

// Encode returns the encoded record.
func (j Job) Encode() ([]byte, error) {
	b, err := json.Marshal(j)
	return b, eris.Wrap(err, "encode job")
}

// Decode decodes an accepted job and validates it.
func Decode(b []byte) (Job, error) {
	var j Job
	if err := json.Unmarshal(b, &j); err != nil {
		return j, eris.Wrap(err, "decode job")
	}
	return j, j.Validate()
}
