// Package job is the model of the work that callers submit: jobs consist of steps, steps
// of tasks. It holds their constraints and their progress.
package job

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/fleet/workspace"
)

// ErrInvalid reports that a job is malformed and can't be accepted.
var ErrInvalid = eris.New("invalid job")

// Limits of a job.
const (
	// MaxTextBytes is the maximum size of a job's text, as set by the callers' interface.
	MaxTextBytes = 4000
	// MaxTasks bounds the tasks of all steps of one occurrence, so that one job can't
	// exhaust a host's memory.
	MaxTasks = 20_000
	// idLength is the length of an ID.
	idLength = 16
)

// ID identifies a job. The caller chooses it; it has 16 hexadecimal digits.
type ID string

// Validate checks the form of an ID.
func (id ID) Validate() error {
	if len(id) != idLength {
		return eris.Wrapf(ErrInvalid, "id %q is not %d digits long", string(id), idLength)
	}
	for _, c := range id {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return eris.Wrapf(ErrInvalid, "id %q is not hexadecimal", string(id))
		}
	}
	return nil
}

// Resources is an amount of each resource that a worker provides or a task requests.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU int64 `json:",omitempty"`
	// MemMB is memory in mebibytes.
	MemMB int64 `json:",omitempty"`
	// GPU is a number of accelerators.
	GPU int64 `json:",omitempty"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, MemMB: r.MemMB + o.MemMB, GPU: r.GPU + o.GPU}
}

// Sub returns the difference of r and o. Its amounts may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, MemMB: r.MemMB - o.MemMB, GPU: r.GPU - o.GPU}
}

// Max returns the larger amount of each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{CPU: max(r.CPU, o.CPU), MemMB: max(r.MemMB, o.MemMB), GPU: max(r.GPU, o.GPU)}
}

// Fits reports whether o fits in r.
func (r Resources) Fits(o Resources) bool {
	return o.CPU <= r.CPU && o.MemMB <= r.MemMB && o.GPU <= r.GPU
}

// Step is a set of identical tasks.
type Step struct {
	// Count is the number of tasks.
	Count int
	// Resources is what each task requests.
	Resources Resources `json:"Room"`
	// Estimate is the caller's rough estimate of how long a task takes.
	Estimate time.Duration `json:",omitempty"`
	// After lists the earlier steps that must be done first.
	After []int `json:",omitempty"`
	// Checkpointing tasks resume from their last checkpoint.
	Checkpointing bool `json:",omitempty"`
	// Gang tasks progress only together: all start at once and share one run number.
	Gang bool `json:",omitempty"`
	// SameRack tasks are slow unless all of them run on one rack.
	SameRack bool `json:",omitempty"`
	// Requires is a label that the worker must have.
	Requires string `json:",omitempty"`
	// Affinity is the rack on which the tasks are fast.
	Affinity string `json:",omitempty"`
	// AntiAffinity is how many tasks of the step may share a worker; 0 means no limit.
	AntiAffinity int `json:",omitempty"`
	// Speculative tasks may have more than one run at the same time.
	Speculative bool `json:",omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `json:",omitempty"`
	// Image names the image that the tasks run.
	Image string `json:",omitempty"`
	// Target is the response time that a serving task must stay below.
	Target time.Duration `json:",omitempty"`
	// Backfill marks backfill tasks: they use the processor time that other tasks leave, and
	// their CPU isn't counted.
	Backfill bool `json:"Fills,omitempty"`
	// MaxUnavailable is how many tasks the scheduler's orders may make unavailable at once.
	MaxUnavailable int `json:"MayMiss,omitempty"`
}

// Requests returns what a task takes of a worker's capacity. The CPU of backfill tasks
// isn't counted.
func (s Step) Requests() Resources {
	r := s.Resources
	if s.Backfill {
		r.CPU = 0
	}
	return r
}

// HasTarget reports whether the step's tasks have a response time target.
func (s Step) HasTarget() bool {
	return s.Target > 0 && !s.Backfill
}

// Job is an accepted job. It never changes once it is stored.
type Job struct {
	ID ID
	// Queue is the name of the queue that took the job.
	Queue string
	// Pool is the pool that ran the queue's tasks when the job was accepted.
	Pool string
	// Workspace is the workspace whose key the submission carried. It is empty for jobs of public
	// queues and in records of programs that knew no workspaces.
	Workspace workspace.Name `json:",omitempty"`
	// Home is the home data centre. Only its workers run the tasks, unless the job's
	// progress lists more data centres. If it is empty, all data centres may.
	Home string `json:",omitempty"`
	// Version is the configuration under which the job was accepted.
	Version int64
	// MaxAttempts is that of the queue in this configuration, for a leader that knows the
	// queue no more; 0 in records of older programs.
	MaxAttempts int `json:",omitempty"`
	// Text is passed to the workers unchanged.
	Text  string `json:",omitempty"`
	Steps []Step
	// Times is how often a scheduled job runs; 0 is a job that runs once, at once.
	Times int `json:",omitempty"`
	// StartAt is the time of occurrence 0 in Unix milliseconds.
	StartAt int64 `json:",omitempty"`
	// Interval separates the occurrences.
	Interval time.Duration `json:",omitempty"`
	// AcceptedAt is when a host accepted the job, by that host's wall clock in Unix
	// milliseconds.
	AcceptedAt int64
}

// Occurrences returns how often the job runs.
func (j Job) Occurrences() int {
	return max(j.Times, 1)
}

// DueAt returns when an occurrence may start, in Unix milliseconds; 0 means at once.
func (j Job) DueAt(occurrence int) int64 {
	if j.Times == 0 {
		return 0
	}
	return j.StartAt + int64(occurrence)*j.Interval.Milliseconds()
}

// LongRunning reports whether a step of the job has long-running tasks.
func (j Job) LongRunning() bool {
	return slices.ContainsFunc(j.Steps, func(s Step) bool { return s.LongRunning })
}

// HasAffinity reports whether a step of the job names the rack on which it is fast.
func (j Job) HasAffinity() bool {
	return slices.ContainsFunc(j.Steps, func(s Step) bool { return s.Affinity != "" })
}

// Validate checks a job as a caller wrote it.
func (j Job) Validate() error {
	if err := j.ID.Validate(); err != nil {
		return err
	}
	if len(j.Text) > MaxTextBytes {
		return eris.Wrapf(ErrInvalid, "text of %d bytes, at most %d", len(j.Text), MaxTextBytes)
	}
	if len(j.Steps) == 0 {
		return eris.Wrap(ErrInvalid, "no steps")
	}
	if j.Times < 0 || j.Interval < 0 {
		return eris.Wrap(ErrInvalid, "negative number of times or interval")
	}
	tasks := 0
	for i, s := range j.Steps {
		if err := s.validate(i); err != nil {
			return eris.Wrapf(err, "step %d", i)
		}
		if tasks += s.Count; tasks > MaxTasks {
			return eris.Wrapf(ErrInvalid, "more than %d tasks", MaxTasks)
		}
	}
	return nil
}

func (s Step) validate(index int) error {
	if s.Count <= 0 || s.Count > MaxTasks {
		return eris.Wrapf(ErrInvalid, "count %d", s.Count)
	}
	if s.Resources.CPU < 0 || s.Resources.MemMB < 0 || s.Resources.GPU < 0 {
		return eris.Wrap(ErrInvalid, "negative room")
	}
	if s.AntiAffinity < 0 || s.MaxUnavailable < 0 || s.Estimate < 0 || s.Target < 0 {
		return eris.Wrap(ErrInvalid, "negative bound")
	}
	for _, a := range s.After {
		if a < 0 || a >= index {
			return eris.Wrapf(ErrInvalid, "after step %d, which is not an earlier one", a)
		}
	}
	return nil
}
