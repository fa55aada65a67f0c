package platform

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// DrainState is the state of a host while it is drained and rebooted.
type DrainState string

// The drain states of a host.
const (
	Admitted  DrainState = "Admitted"
	Draining  DrainState = "Draining"
	Drained   DrainState = "Drained"
	Rebooting DrainState = "Rebooting"
)

// TaskState is the state of a task on a worker.
type TaskState string

// The states of a task.
const (
	TaskRunning      TaskState = "Running"
	TaskThrottled    TaskState = "Throttled"
	TaskCheckpointed TaskState = "Checkpointed"
	TaskDone         TaskState = "Done"
	TaskFailed       TaskState = "Failed"
	TaskStopped      TaskState = "Stopped"
)

// StartTask is the request to start a task under a lease.
type StartTask struct {
	// Epoch fences the command: a worker rejects an epoch lower than the highest that it
	// has seen in commands to its tasks.
	Epoch int64
	// Boot is the expected number of the worker's restarts. The worker rejects the start if
	// it differs.
	Boot int
	// Term is the duration of the lease, unless it is renewed.
	Term time.Duration
	// Size is the resources that the task reserves.
	Size inventory.Size
	// RunTime is how long the task runs, unless Command sets another duration.
	RunTime time.Duration
	// Command is what the task executes. "run DURATION" sets the run time, "fail" makes the
	// task fail at its start.
	Command string
	// Resume is the ID of the task from whose checkpoint this one continues.
	Resume string
}

// Task is the state of a task on a worker.
type Task struct {
	ID    string
	State TaskState
	Epoch int64
	Size  inventory.Size
	// Until is when the lease expires.
	Until time.Time
	// Ends is when the task completes unless it is stopped.
	Ends time.Time
	// Starts is the number of times that the task was executed.
	Starts int
	// Peak is the peak usage of the task.
	Peak inventory.Size
	// Used is the processor time so far, in millicore-milliseconds.
	Used int64
	// usedUntil is the time up to which Used is counted.
	usedUntil time.Time
}

// Worker is the state of a worker, its tasks and its host.
type Worker struct {
	Facts inventory.WorkerInfo
	// State is the drain state of the host.
	State DrainState
	// TaskEpoch is the highest epoch seen in any command to a task.
	TaskEpoch int64
	// HostEpoch is the highest epoch seen in any command to the host.
	HostEpoch int64
	// Reboot is the ID of the last reboot that began.
	Reboot string
	// Reboots is the number of completed reboots.
	Reboots int
	// Back is when the reboot in progress ends.
	Back time.Time
	// Tasks holds the tasks by ID, including those that ended.
	Tasks map[string]*Task
	// usage records the worker's usage reports.
	usage usageMeter
}

// Fleet holds the state of all workers. It is safe for concurrent use.
type Fleet struct {
	mu      sync.Mutex
	workers map[inventory.WorkerID]*Worker
	// RebootTime is how long a reboot takes.
	RebootTime time.Duration
	// UsageDelay is the minimum age of a usage report in an answer.
	UsageDelay time.Duration
}

// NewFleet returns a fleet without workers.
func NewFleet() *Fleet {
	return &Fleet{workers: make(map[inventory.WorkerID]*Worker), RebootTime: time.Second, UsageDelay: time.Second}
}

// Put adds a worker, or replaces the one of the same ID and its tasks.
func (f *Fleet) Put(info inventory.WorkerInfo) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[info.ID] = &Worker{Facts: info, State: Admitted, Tasks: make(map[string]*Task)}
}

// Workers returns copies of all workers, sorted by ID.
func (f *Fleet) Workers(now time.Time) []Worker {
	return f.selectWorkers(now, func(*Worker) bool { return true })
}

// selectWorkers returns copies of the workers that match, sorted by ID. It copies no other
// worker.
func (f *Fleet) selectWorkers(now time.Time, matches func(w *Worker) bool) []Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Worker
	for _, w := range f.workers {
		w.advance(now, false)
		if !matches(w) {
			continue
		}
		c := *w
		c.Tasks = make(map[string]*Task, len(w.Tasks))
		for id, t := range w.Tasks {
			tc := *t
			c.Tasks[id] = &tc
		}
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Worker) int { return cmp.Compare(a.Facts.ID, b.Facts.ID) })
	return out
}

// advance brings tasks, reboots and drains up to date. If expireLeases is set, the leases of
// all running tasks expire now.
func (w *Worker) advance(now time.Time, expireLeases bool) {
	if w.State == Admitted && len(w.Tasks) == 0 {
		return
	}
	if w.State == Rebooting && !now.Before(w.Back) {
		w.State = Drained
		w.Reboots++
	}
	running := 0
	for _, t := range w.Tasks {
		t.advance(now, expireLeases)
		if t.State == TaskRunning || t.State == TaskThrottled {
			running++
		}
	}
	if w.State == Draining && running == 0 {
		w.State = Drained
	}
}

// advance brings the state and the usage of a running task up to date.
func (t *Task) advance(now time.Time, expireLease bool) {
	if t.State != TaskRunning && t.State != TaskThrottled {
		return
	}
	end, state := now, t.State
	if !t.Ends.After(now) {
		end, state = t.Ends, TaskDone
	}
	if expireLease || !t.Until.After(end) {
		if t.Until.Before(end) {
			end = t.Until
		}
		state = TaskStopped
	}
	if end.After(t.usedUntil) {
		t.Used += int64(t.reserved().Cores) * end.Sub(t.usedUntil).Milliseconds()
		t.usedUntil = end
	}
	t.State = state
}

// command is the body of a command to a task or host.
type command struct {
	// Epoch fences the command.
	Epoch int64
	// Term is the duration of a renewed lease.
	Term time.Duration `json:",omitempty"`
	// Reboot is the ID of a reboot. A repeated command with the ID of the host's last reboot
	// has no effect.
	Reboot string `json:",omitempty"`
}
