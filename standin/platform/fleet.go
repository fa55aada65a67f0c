package platform

import (
	"cmp"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/standin/fault"
	"github.com/valyala/fasthttp"
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
	// Epoch fences: a worker refuses a lower one than it has seen.
	Epoch int64
	// Term is how long the lease holds without being renewed.
	Term time.Duration
	// Size is what the task may use.
	Size inventory.Size
	// RunTime is how long the stand-in lets the task run.
	RunTime time.Duration
	Command string
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
	// Used is the processor time so far, in thousandths of a core times
	// milliseconds.
	Used int64
	// from is the moment up to which Used is counted.
	from time.Time
}

// Worker is a worker with its tasks, and its host's state in the platform's pools.
type Worker struct {
	Facts inventory.WorkerFacts
	State DrainState
	// Epoch is the highest epoch seen in any command to a task.
	Epoch int64
	// HostEpoch is the highest epoch seen in any command to the host.
	HostEpoch int64
	// Reboot is the identity of the last reboot that began.
	Reboot string
	// Reboots counts completed reboots.
	Reboots int
	// Back is when a running reboot ends.
	Back  time.Time
	Tasks map[string]*Task
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
func (f *Fleet) Put(facts inventory.WorkerFacts) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[facts.ID] = &Worker{Facts: facts, State: Admitted, Tasks: make(map[string]*Task)}
}

// Workers returns copies of all workers, in order of their names.
func (f *Fleet) Workers(now time.Time) []Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Worker
	for _, w := range f.workers {
		w.advance(now, false)
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
		t.Used += int64(t.Size.Cores) * end.Sub(t.from).Milliseconds()
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

func (p *Platform) handleWorkers(ctx *fasthttp.RequestCtx, rest []string) {
	if len(rest) == 0 {
		answer(ctx, fasthttp.StatusOK, p.Fleet.Workers(p.now()))
		return
	}
	_, lapse := p.Faults.Take(fault.LeaseLapse, rest[0])
	p.Fleet.mu.Lock()
	defer p.Fleet.mu.Unlock()
	w, ok := p.Fleet.workers[inventory.WorkerID(rest[0])]
	if !ok {
		refuse(ctx, fasthttp.StatusNotFound, "no such worker")
		return
	}
	w.advance(p.now(), lapse)
	switch {
	case len(rest) == 1:
		answer(ctx, fasthttp.StatusOK, w)
	case len(rest) == 3 && rest[1] == "tasks":
		p.startTask(ctx, w, rest[2])
	case len(rest) == 4 && rest[1] == "tasks":
		p.commandTask(ctx, w, rest[2], rest[3])
	default:
		refuse(ctx, fasthttp.StatusNotFound, "want /workers/{Worker}/tasks/{Task}")
	}
}

func (p *Platform) startTask(ctx *fasthttp.RequestCtx, w *Worker, id string) {
	var s StartTask
	if err := json.Unmarshal(ctx.PostBody(), &s); err != nil || s.Term <= 0 {
		refuse(ctx, fasthttp.StatusBadRequest, "not a task")
		return
	}
	now := p.now()
	if s.Epoch < w.Epoch {
		refuse(ctx, fasthttp.StatusConflict, "older epoch")
		return
	}
	w.Epoch = s.Epoch
	if t, ok := w.Tasks[id]; ok && t.State != TaskCheckpointed {
		answer(ctx, fasthttp.StatusOK, t)
		return
	}
	if w.State != Admitted {
		refuse(ctx, fasthttp.StatusServiceUnavailable, "host takes no tasks")
		return
	}
	used := inventory.Size{}
	for _, t := range w.Tasks {
		if t.State == TaskRunning || t.State == TaskThrottled {
			used = used.Add(t.Size)
		}
	}
	if !used.Add(s.Size).Fits(w.Facts.Size) {
		refuse(ctx, fasthttp.StatusInsufficientStorage, "no room")
		return
	}
	t := &Task{ID: id, State: TaskRunning, Epoch: s.Epoch, Size: s.Size, Until: now.Add(s.Term), Ends: now.Add(s.RunTime), from: now}
	if old, ok := w.Tasks[id]; ok {
		t.Starts, t.Used = old.Starts, old.Used
	}
	t.Starts++
	if _, ok := p.Faults.Take(fault.FailTasks, string(w.Facts.ID)); ok {
		t.State = TaskFailed
	}
	w.Tasks[id] = t
	answer(ctx, fasthttp.StatusOK, t)
}

func (p *Platform) commandTask(ctx *fasthttp.RequestCtx, w *Worker, id, verb string) {
	var c command
	if err := json.Unmarshal(ctx.PostBody(), &c); err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, "not a command")
		return
	}
	t, ok := w.Tasks[id]
	if !ok {
		refuse(ctx, fasthttp.StatusNotFound, "no such task")
		return
	}
	if c.Epoch < w.Epoch {
		refuse(ctx, fasthttp.StatusConflict, "older epoch")
		return
	}
	w.Epoch = c.Epoch
	running := t.State == TaskRunning || t.State == TaskThrottled
	switch {
	case verb == "renew" && running:
		t.Until = p.now().Add(c.Term)
		t.Epoch = c.Epoch
	case verb == "checkpoint" && running:
		t.State = TaskCheckpointed
	case verb == "throttle" && running:
		t.State = TaskThrottled
	case verb == "stop" && running:
		t.State = TaskStopped
	}
	answer(ctx, fasthttp.StatusOK, t)
}
