package platform

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/standin/fault"
)

// handleWorkers answers with workers or their usage, or executes a command to a worker's tasks.
func (p *Platform) handleWorkers(ctx *fasthttp.RequestCtx, segments []string) {
	if len(segments) == 0 {
		p.listWorkers(ctx)
		return
	}
	_, expireLeases := p.Faults.Use(fault.LeaseLapse, segments[0])
	p.Fleet.mu.Lock()
	defer p.Fleet.mu.Unlock()
	w, ok := p.Fleet.workers[inventory.WorkerID(segments[0])]
	if !ok {
		writeError(ctx, fasthttp.StatusNotFound, "no such worker")
		return
	}
	w.advance(p.now(), expireLeases)
	switch {
	case len(segments) == 1:
		writeJSON(ctx, fasthttp.StatusOK, w)
	case len(segments) == 2 && segments[1] == "renew":
		p.renewTasks(ctx, w)
	case len(segments) == 2 && segments[1] == "usage":
		p.listUsageReports(ctx, w)
	case len(segments) == 3 && segments[1] == "tasks":
		p.startTask(ctx, w, segments[2])
	case len(segments) == 4 && segments[1] == "tasks":
		p.handleTaskCommand(ctx, w, segments[2], segments[3])
	default:
		writeError(ctx, fasthttp.StatusNotFound, "want /workers/{Worker}/tasks/{Task}")
	}
}

// listWorkers answers with all workers, or those of the query parameter DataCentre.
func (p *Platform) listWorkers(ctx *fasthttp.RequestCtx) {
	dc := inventory.DataCentreID(ctx.QueryArgs().Peek("DataCentre"))
	out := []Worker{}
	for _, w := range p.Fleet.Workers(p.now()) {
		if dc == "" || w.Facts.DataCentre == dc {
			out = append(out, w)
		}
	}
	writeJSON(ctx, fasthttp.StatusOK, out)
}

// checkEpoch rejects a command with a lower epoch than the worker has seen, and reports
// whether it accepted the command.
func (w *Worker) checkEpoch(ctx *fasthttp.RequestCtx, epoch int64) bool {
	if epoch < w.TaskEpoch {
		writeError(ctx, fasthttp.StatusConflict, "older epoch")
		return false
	}
	w.TaskEpoch = epoch
	return true
}

// renewTasks renews the leases of all running tasks and answers with the worker.
func (p *Platform) renewTasks(ctx *fasthttp.RequestCtx, w *Worker) {
	var c command
	if err := json.Unmarshal(ctx.PostBody(), &c); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "not a command")
		return
	}
	if !w.checkEpoch(ctx, c.Epoch) {
		return
	}
	for _, t := range w.Tasks {
		if t.isRunning() {
			t.Until, t.Epoch = p.now().Add(c.Term), c.Epoch
		}
	}
	writeJSON(ctx, fasthttp.StatusOK, w)
}

func (t *Task) isRunning() bool {
	return t.State == TaskRunning || t.State == TaskThrottled
}

// reserved returns the resources that the task reserves. A throttled task reserves half of its
// cores.
func (t *Task) reserved() inventory.Size {
	s := t.Size
	if t.State == TaskThrottled {
		s.Cores /= 2
	}
	return s
}

// startTask starts a task. Repeating the start of a task that isn't checkpointed has no effect
// and is answered with the task's state.
func (p *Platform) startTask(ctx *fasthttp.RequestCtx, w *Worker, id string) {
	var s StartTask
	if err := json.Unmarshal(ctx.PostBody(), &s); err != nil || s.Term <= 0 {
		writeError(ctx, fasthttp.StatusBadRequest, "not a task")
		return
	}
	if !w.checkEpoch(ctx, s.Epoch) {
		return
	}
	if t, ok := w.Tasks[id]; ok && t.State != TaskCheckpointed {
		writeJSON(ctx, fasthttp.StatusOK, t)
		return
	}
	if s.Boot != w.Reboots {
		writeError(ctx, fasthttp.StatusConflict, "the worker has restarted since")
		return
	}
	if w.State != Admitted {
		writeError(ctx, fasthttp.StatusServiceUnavailable, "host takes no tasks")
		return
	}
	reserved := inventory.Size{}
	for _, t := range w.Tasks {
		if t.isRunning() {
			reserved = reserved.Add(t.reserved())
		}
	}
	if !reserved.Add(s.Size).FitsIn(w.Facts.Size) {
		writeError(ctx, fasthttp.StatusInsufficientStorage, "no room")
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, p.runTask(w, id, s))
}

// runTask adds a running task to the worker.
func (p *Platform) runTask(w *Worker, id string, s StartTask) *Task {
	now := p.now()
	runTime := s.RunTime
	// A command such as "run 300ms" sets the run time.
	if text, ok := strings.CutPrefix(s.Command, "run "); ok {
		if d, err := time.ParseDuration(text); err == nil {
			runTime = d
		}
	}
	if checkpoint := p.Fleet.checkpointedTask(s.Resume); checkpoint != nil {
		runTime = checkpoint.Ends.Sub(checkpoint.usedUntil)
	}
	t := &Task{ID: id, State: TaskRunning, Epoch: s.Epoch, Size: s.Size, Peak: s.Size, Until: now.Add(s.Term), Ends: now.Add(runTime), usedUntil: now}
	if previous, ok := w.Tasks[id]; ok {
		t.Starts, t.Used = previous.Starts, previous.Used
	}
	t.Starts++
	if _, ok := p.Faults.Use(fault.FailTasks, string(w.Facts.ID)); ok || s.Command == "fail" {
		t.State = TaskFailed
	}
	w.Tasks[id] = t
	return t
}

// checkpointedTask returns the checkpointed task of the ID on any worker, or nil if there is
// none.
func (f *Fleet) checkpointedTask(id string) *Task {
	for _, w := range f.workers {
		if t, ok := w.Tasks[id]; ok && t.State == TaskCheckpointed {
			return t
		}
	}
	return nil
}

// handleTaskCommand renews, checkpoints, throttles or stops a task. It has no effect on a task
// that isn't running.
func (p *Platform) handleTaskCommand(ctx *fasthttp.RequestCtx, w *Worker, id, verb string) {
	var c command
	if err := json.Unmarshal(ctx.PostBody(), &c); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "not a command")
		return
	}
	if !w.checkEpoch(ctx, c.Epoch) {
		return
	}
	t, ok := w.Tasks[id]
	if !ok && verb == "stop" {
		// Recording the stop of a task that was never started prevents a delayed start from
		// running it.
		t, ok = &Task{ID: id, State: TaskStopped, Epoch: c.Epoch}, true
		w.Tasks[id] = t
	}
	if !ok {
		writeError(ctx, fasthttp.StatusNotFound, "no such task")
		return
	}
	switch {
	case !t.isRunning():
	case verb == "renew":
		t.Until, t.Epoch = p.now().Add(c.Term), c.Epoch
	case verb == "checkpoint":
		t.State = TaskCheckpointed
	case verb == "throttle":
		t.State = TaskThrottled
	case verb == "stop":
		t.State = TaskStopped
	}
	writeJSON(ctx, fasthttp.StatusOK, t)
}
