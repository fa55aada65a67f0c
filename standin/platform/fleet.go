package platform

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// DrainState is how far a host is in being drained and rebooted.
type DrainState string

// The states of a host in the platform's pools.
const (
	Admitted  DrainState = "Admitted"
	Draining  DrainState = "Draining"
	Drained   DrainState = "Drained"
	Rebooting DrainState = "Rebooting"
)

// TaskState is how far a task is.
type TaskState string

// The states of a task on a worker.
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
	// Epoch fences: a worker refuses a lower one than it has seen for tasks.
	Epoch int64
	// Boot is the number of restarts after which the worker is expected to be.
	Boot int
	// Term is how long the lease holds without being renewed.
	Term time.Duration
	// Size is what the task may use.
	Size inventory.Size
	// RunTime is how long the stand-in lets the task run.
	RunTime time.Duration
	Command string
	// Resume is the task whose checkpoint this one goes on from.
	Resume string
}

// Task is a task on a worker.
type Task struct {
	ID    string
	State TaskState
	Epoch int64
	Size  inventory.Size
	// Until is when the lease lapses.
	Until time.Time
	// Ends is when the task is done by itself.
	Ends time.Time
	// Starts counts how often the task was executed.
	Starts int
	// Peak is the most that the task really used.
	Peak inventory.Size
	// Used is the processor time so far, in thousandths of a core times
	// milliseconds.
	Used int64
	// from is the moment up to which Used is counted.
	from time.Time
}

// Worker is a worker with its tasks, and its host's state in the platform's pools.
type Worker struct {
	Facts inventory.WorkerInfo
	State DrainState
	// TaskEpoch is the highest epoch seen in any command to a task.
	TaskEpoch int64
	// HostEpoch is the highest epoch seen in any command to the host.
	HostEpoch int64
	// Reboot is the identity of the last reboot that began.
	Reboot string
	// Reboots counts completed reboots.
	Reboots int
	// Back is when a running reboot ends.
	Back  time.Time
	Tasks map[string]*Task
	// usage is what the worker's tasks used, by the moments of its reports.
	usage usageMeter
}

// Fleet is all workers. It is safe for concurrent use.
type Fleet struct {
	mu      sync.Mutex
	workers map[inventory.WorkerID]*Worker
	// RebootTime is how long a reboot takes.
	RebootTime time.Duration
	// UsageDelay is how old a usage report is.
	UsageDelay time.Duration
}

// NewFleet returns a fleet without workers.
func NewFleet() *Fleet {
	return &Fleet{workers: make(map[inventory.WorkerID]*Worker), RebootTime: time.Second, UsageDelay: time.Second}
}

// Put adds a worker.
func (f *Fleet) Put(facts inventory.WorkerInfo) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[facts.ID] = &Worker{Facts: facts, State: Admitted, Tasks: make(map[string]*Task)}
}

// Workers returns copies of all workers, in order of their names.
func (f *Fleet) Workers(now time.Time) []Worker {
	return f.workersThat(now, func(*Worker) bool { return true })
}

// workersThat returns copies of the workers that are wanted, in order of their
// names. Only these are copied.
func (f *Fleet) workersThat(now time.Time, isWanted func(w *Worker) bool) []Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Worker
	for _, w := range f.workers {
		w.advance(now, false)
		if !isWanted(w) {
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

// advance moves tasks and reboots on to the moment.
func (w *Worker) advance(now time.Time, lapse bool) {
	if w.State == Admitted && len(w.Tasks) == 0 {
		return
	}
	if w.State == Rebooting && !now.Before(w.Back) {
		w.State = Drained
		w.Reboots++
	}
	running := 0
	for _, t := range w.Tasks {
		t.advance(now, lapse)
		if t.State == TaskRunning || t.State == TaskThrottled {
			running++
		}
	}
	if w.State == Draining && running == 0 {
		w.State = Drained
	}
}

func (t *Task) advance(now time.Time, lapse bool) {
	if t.State != TaskRunning && t.State != TaskThrottled {
		return
	}
	end, state := now, t.State
	if !t.Ends.After(now) {
		end, state = t.Ends, TaskDone
	}
	if lapse || !t.Until.After(end) {
		if t.Until.Before(end) {
			end = t.Until
		}
		state = TaskStopped
	}
	if end.After(t.from) {
		t.Used += int64(t.reserved().Cores) * end.Sub(t.from).Milliseconds()
		t.from = end
	}
	t.State = state
}

// command is a change of a worker's task or host under an epoch.
type command struct {
	Epoch int64
	Term  time.Duration `json:",omitempty"`
	// Reboot is the identity of a reboot. One that was begun is not begun again.
	Reboot string `json:",omitempty"`
}
