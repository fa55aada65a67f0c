package estate

import (
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// endsPage is how many ends one answer lists at most.
const endsPage = 500

// Start is a task that a worker has begun.
type Start struct {
	Worker string
	Task   string
	Run    int64
	Spec   string
	Ticket string
}

// Worker is one life of a minion.
type Worker struct {
	e       *Estate
	id      string
	service string
	machine string
	address string
	born    time.Time
	server  *fasthttp.Server

	mu sync.Mutex
	// All below is guarded by mu.
	token    int64
	deadline int64
	runs     map[string]*run
	highest  map[string]int64
	ended    [][]any
	nextEnd  int64
	changed  chan struct{}
	// mute workers do what they are told and answer nothing.
	mute bool
	gone bool
}

type run struct {
	number int64
	timer  *time.Timer
	saved  string
	// percent is how fast it works.
	percent int
}

// order is the body of any order.
type order struct {
	Task         string
	Run          int64
	Spec         string
	DeadlineMs   int64
	FencingToken int64
	Checkpoint   string
	Ticket       string
	SeenUpto     int64
	WaitMs       int64
	Percent      int
}

func newWorker(e *Estate, id, service, machine string) (*Worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &Worker{
		e: e, id: id, service: service, machine: machine, address: l.Addr().String(), born: time.Now(),
		runs: make(map[string]*run), highest: make(map[string]int64), nextEnd: 1, changed: make(chan struct{}),
	}
	w.server = &fasthttp.Server{Handler: w.handle}
	go func() { _ = w.server.Serve(l) }()
	go w.lapse()
	return w, nil
}

// SetMute makes the worker answer nothing, or answer again.
func (w *Worker) SetMute(mute bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mute = mute
}

func (w *Worker) clock() int64 {
	return time.Since(w.born).Milliseconds() + 1
}

// lapseEvery is how often leases are looked at.
const lapseEvery = 50 * time.Millisecond

// lapse ends what has no lease any more.
func (w *Worker) lapse() {
	for range time.Tick(lapseEvery) {
		w.mu.Lock()
		if w.gone {
			w.mu.Unlock()
			return
		}
		lapsed := make(map[string]*run)
		if w.clock() > w.deadline {
			for task, r := range w.runs {
				lapsed[task] = r
			}
		}
		w.mu.Unlock()
		for task, r := range lapsed {
			r.timer.Stop()
			w.finish(task, r, "lapsed")
		}
	}
}

// leave ends the life with all that runs.
func (w *Worker) leave() {
	w.mu.Lock()
	w.gone = true
	for task, r := range w.runs {
		r.timer.Stop()
		w.e.recordEnd(task, "gone")
	}
	w.runs = make(map[string]*run)
	w.mu.Unlock()
	_ = w.server.Shutdown()
}

func (w *Worker) handle(rc *fasthttp.RequestCtx) {
	if want := string(rc.Request.Header.Peek("X-Godwitcross-Expect-Instance")); want != "" && want != w.id {
		rc.Response.Header.Set("X-Godwitcross-Instance-Id", w.id)
		rc.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		return
	}
	var o order
	if err := json.Unmarshal(rc.PostBody(), &o); err != nil {
		rc.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	w.mu.Lock()
	mute := w.mute
	w.mu.Unlock()
	switch string(rc.Path()) {
	case "/v1/run-start":
		w.answer(rc, w.start(o))
	case "/v1/run-stop":
		w.answer(rc, w.stop(o))
	case "/v1/pace":
		w.answer(rc, w.pace(o))
	case "/v1/hold":
		w.hold(rc, o)
	default:
		rc.SetStatusCode(fasthttp.StatusNotFound)
	}
	if mute {
		closeWithoutAnswer(rc)
	}
}

func (w *Worker) answer(rc *fasthttp.RequestCtx, reason string) {
	body := map[string]any{"ClockMs": w.clock()}
	if reason != "" {
		body["Reason"] = reason
		reply(rc, fasthttp.StatusConflict, body)
		return
	}
	reply(rc, fasthttp.StatusOK, body)
}

// admit takes a token unless a higher one was seen.
func (w *Worker) admit(token int64) bool {
	if token < w.token {
		return false
	}
	w.token = token
	return true
}

func (w *Worker) start(o order) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case !w.admit(o.FencingToken):
		return "fence"
	case w.runs[o.Task] != nil && w.runs[o.Task].number == o.Run:
		w.deadline = max(w.deadline, o.DeadlineMs)
		return ""
	case o.DeadlineMs <= w.clock():
		return "late"
	case o.Run <= w.highest[o.Task]:
		return "old"
	case len(w.runs) >= w.e.cfg.MaxRuns:
		return "room"
	}
	w.deadline = max(w.deadline, o.DeadlineMs)
	w.highest[o.Task] = o.Run
	r := &run{number: o.Run, saved: o.Checkpoint, percent: 100}
	how := w.e.recordStart(Start{Worker: w.id, Task: o.Task, Run: o.Run, Spec: o.Spec, Ticket: o.Ticket})
	r.timer = time.AfterFunc(w.e.cfg.TaskTime, func() { w.finish(o.Task, r, how) })
	w.runs[o.Task] = r
	return ""
}

// finish ends a run. A run without a way to end lasts.
func (w *Worker) finish(task string, r *run, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runs[task] != r || how == "" {
		return
	}
	delete(w.runs, task)
	w.e.recordEnd(task, how)
	w.ended = append(w.ended, []any{w.nextEnd, task, r.number, how, r.saved})
	w.nextEnd++
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Worker) stop(o order) string {
	w.mu.Lock()
	if !w.admit(o.FencingToken) {
		w.mu.Unlock()
		return "fence"
	}
	r := w.runs[o.Task]
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	w.mu.Unlock()
	if r == nil || r.number != o.Run {
		return "old"
	}
	r.timer.Stop()
	w.finish(o.Task, r, "stopped")
	return ""
}

func (w *Worker) pace(o order) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.admit(o.FencingToken) {
		return "fence"
	}
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		r.percent = o.Percent
		return ""
	}
	return "old"
}

func (w *Worker) hold(rc *fasthttp.RequestCtx, o order) {
	w.mu.Lock()
	if !w.admit(o.FencingToken) {
		w.mu.Unlock()
		w.answer(rc, "fence")
		return
	}
	w.deadline = max(w.deadline, o.DeadlineMs)
	for len(w.ended) > 0 && w.ended[0][0].(int64) <= o.SeenUpto {
		w.ended = w.ended[1:]
	}
	changed, waits := w.changed, len(w.ended) == 0 && o.WaitMs > 0
	w.mu.Unlock()
	if waits {
		select {
		case <-changed:
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	running := [][]any{}
	for task, r := range w.runs {
		running = append(running, []any{task, r.number, r.saved, r.percent, 0})
	}
	ended := w.ended[:min(len(w.ended), endsPage)]
	if ended == nil {
		ended = [][]any{}
	}
	reply(rc, fasthttp.StatusOK, map[string]any{"ClockMs": w.clock(), "born": w.born.UnixMilli(), "Running": running, "Ended": ended})
}

// entry is what the worker registers.
func (w *Worker) entry(state string) []byte {
	b, err := json.Marshal(map[string]any{
		"Service": w.service, "Address": w.address, "Zone": "z1", "Version": "v1", "Slots": 8, "State": state,
		"ColdRemainingMs": 0, "Capacity": w.e.cfg.Capacity, "Labels": []string{"a", "r1"}, "ClockMs": w.clock(),
		"Machine": w.machine, "Seq": 1, "born": w.born.UnixMilli(),
	})
	if err != nil {
		panic(fmt.Sprintf("an entry of fixed fields is not encoded: %s", err))
	}
	return b
}
