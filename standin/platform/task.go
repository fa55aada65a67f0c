package platform

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/standin/fault"
)

func (p *Platform) handleWorkers(ctx *fasthttp.RequestCtx, rest []string) {
	if len(rest) == 0 {
		p.listWorkers(ctx)
		return
	}
	_, lapse := p.Faults.Use(fault.LeaseLapse, rest[0])
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
	case len(rest) == 2 && rest[1] == "renew":
		p.renewTasks(ctx, w)
	case len(rest) == 2 && rest[1] == "usage":
		p.reportUsage(ctx, w)
	case len(rest) == 3 && rest[1] == "tasks":
		p.startTask(ctx, w, rest[2])
	case len(rest) == 4 && rest[1] == "tasks":
		p.commandTask(ctx, w, rest[2], rest[3])
	default:
		refuse(ctx, fasthttp.StatusNotFound, "want /workers/{Worker}/tasks/{Task}")
	}
}

// listWorkers answers with all workers or those of one data centre.
func (p *Platform) listWorkers(ctx *fasthttp.RequestCtx) {
	dc := inventory.DataCentreID(ctx.QueryArgs().Peek("DataCentre"))
	out := []Worker{}
	for _, w := range p.Fleet.Workers(p.now()) {
		if dc == "" || w.Facts.DataCentre == dc {
			out = append(out, w)
		}
	}
	answer(ctx, fasthttp.StatusOK, out)
}

// checkEpoch refuses commands under an older epoch than the worker has seen.
func (w *Worker) checkEpoch(ctx *fasthttp.RequestCtx, epoch int64) bool {
	if epoch < w.TaskEpoch {
		refuse(ctx, fasthttp.StatusConflict, "older epoch")
		return false
	}
	w.TaskEpoch = epoch
	return true
}

// renewTasks prolongs the leases of all tasks and answers with the worker.
func (p *Platform) renewTasks(ctx *fasthttp.RequestCtx, w *Worker) {
	var c command
	if err := json.Unmarshal(ctx.PostBody(), &c); err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, "not a command")
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
	answer(ctx, fasthttp.StatusOK, w)
}

func (t *Task) isRunning() bool {
	return t.State == TaskRunning || t.State == TaskThrottled
}

// reserved is what the task takes of its worker. A throttled one takes half the
// cores.
func (t *Task) reserved() inventory.Size {
	s := t.Size
	if t.State == TaskThrottled {
		s.Cores /= 2
	}
	return s
}

func (p *Platform) startTask(ctx *fasthttp.RequestCtx, w *Worker, id string) {
	var s StartTask
	if err := json.Unmarshal(ctx.PostBody(), &s); err != nil || s.Term <= 0 {
		refuse(ctx, fasthttp.StatusBadRequest, "not a task")
		return
	}
	if !w.checkEpoch(ctx, s.Epoch) {
		return
	}
	if t, ok := w.Tasks[id]; ok && t.State != TaskCheckpointed {
		answer(ctx, fasthttp.StatusOK, t)
		return
	}
	if s.Boot != w.Reboots {
		refuse(ctx, fasthttp.StatusConflict, "the worker has restarted since")
		return
	}
	if w.State != Admitted {
		refuse(ctx, fasthttp.StatusServiceUnavailable, "host takes no tasks")
		return
	}
	used := inventory.Size{}
	for _, t := range w.Tasks {
		if t.isRunning() {
			used = used.Add(t.reserved())
		}
	}
	if !used.Add(s.Size).FitsIn(w.Facts.Size) {
		refuse(ctx, fasthttp.StatusInsufficientStorage, "no room")
		return
	}
	answer(ctx, fasthttp.StatusOK, p.runTask(w, id, s))
}

func (p *Platform) runTask(w *Worker, id string, s StartTask) *Task {
	now := p.now()
	runTime := s.RunTime
	// A command "run 300ms" says how long the task really runs.
	if text, ok := strings.CutPrefix(s.Command, "run "); ok {
		if d, err := time.ParseDuration(text); err == nil {
			runTime = d
		}
	}
	if old := p.Fleet.checkpointed(s.Resume); old != nil {
		runTime = old.Ends.Sub(old.from)
	}
	t := &Task{ID: id, State: TaskRunning, Epoch: s.Epoch, Size: s.Size, Peak: s.Size, Until: now.Add(s.Term), Ends: now.Add(runTime), from: now}
	if old, ok := w.Tasks[id]; ok {
		t.Starts, t.Used = old.Starts, old.Used
	}
	t.Starts++
	if _, ok := p.Faults.Use(fault.FailTasks, string(w.Facts.ID)); ok || s.Command == "fail" {
		t.State = TaskFailed
	}
	w.Tasks[id] = t
	return t
}

// checkpointed returns a checkpointed task of any worker; nil if there is none.
func (f *Fleet) checkpointed(id string) *Task {
	for _, w := range f.workers {
		if t, ok := w.Tasks[id]; ok && t.State == TaskCheckpointed {
			return t
		}
	}
	return nil
}

func (p *Platform) commandTask(ctx *fasthttp.RequestCtx, w *Worker, id, verb string) {
	var c command
	if err := json.Unmarshal(ctx.PostBody(), &c); err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, "not a command")
		return
	}
	if !w.checkEpoch(ctx, c.Epoch) {
		return
	}
	t, ok := w.Tasks[id]
	if !ok && verb == "stop" {
		// Stopping a task that was never started keeps a late start from running it.
		t, ok = &Task{ID: id, State: TaskStopped, Epoch: c.Epoch}, true
		w.Tasks[id] = t
	}
	if !ok {
		refuse(ctx, fasthttp.StatusNotFound, "no such task")
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
	answer(ctx, fasthttp.StatusOK, t)
}
