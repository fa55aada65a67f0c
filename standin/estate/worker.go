package estate

import (
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// maxEndsPerAnswer is how many ends one answer lists at most.
const maxEndsPerAnswer = 500

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
	estate    *Estate
	id        string
	service   string
	machine   string
	address   string
	startTime time.Time
	server    *fasthttp.Server

	mu sync.Mutex
	// All below is guarded by mu.
	fencingToken  int64
	leaseDeadline int64
	runs          map[string]*run
	highestRun    map[string]int64
	ended         [][]any
	nextEnd       int64
	changed       chan struct{}
	// isUnresponsive workers do what they are told and answer nothing.
	isUnresponsive bool
	isStopped      bool
}

type run struct {
	number     int64
	timer      *time.Timer
	checkpoint string
	// percent is how fast it works.
	percent int
}

// request is the body of any order.
type request struct {
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
		estate: e, id: id, service: service, machine: machine, address: l.Addr().String(), startTime: time.Now(),
		runs: make(map[string]*run), highestRun: make(map[string]int64), nextEnd: 1, changed: make(chan struct{}),
	}
	w.server = &fasthttp.Server{Handler: w.handle}
	go func() { _ = w.server.Serve(l) }()
	go w.expireLeases()
	return w, nil
}

// SetMute makes the worker answer nothing, or answer again.
func (w *Worker) SetMute(mute bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isUnresponsive = mute
}

func (w *Worker) clockMs() int64 {
	return time.Since(w.startTime).Milliseconds() + 1
}

// leaseCheckInterval is how often leases are looked at.
const leaseCheckInterval = 50 * time.Millisecond

// expireLeases ends what has no lease any more.
func (w *Worker) expireLeases() {
	for range time.Tick(leaseCheckInterval) {
		w.mu.Lock()
		if w.isStopped {
			w.mu.Unlock()
			return
		}
		lapsed := make(map[string]*run)
		if w.clockMs() > w.leaseDeadline {
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

// shutDown ends the life with all that runs.
func (w *Worker) shutDown() {
	w.mu.Lock()
	w.isStopped = true
	for task, r := range w.runs {
		r.timer.Stop()
		w.estate.recordEnd(task, "gone")
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
	var o request
	if err := json.Unmarshal(rc.PostBody(), &o); err != nil {
		rc.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	w.mu.Lock()
	mute := w.isUnresponsive
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
	body := map[string]any{"ClockMs": w.clockMs()}
	if reason != "" {
		body["Reason"] = reason
		reply(rc, fasthttp.StatusConflict, body)
		return
	}
	reply(rc, fasthttp.StatusOK, body)
}

// acceptToken takes a token unless a higher one was seen.
func (w *Worker) acceptToken(token int64) bool {
	if token < w.fencingToken {
		return false
	}
	w.fencingToken = token
	return true
}

func (w *Worker) start(o request) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case !w.acceptToken(o.FencingToken):
		return "fence"
	case w.runs[o.Task] != nil && w.runs[o.Task].number == o.Run:
		w.leaseDeadline = max(w.leaseDeadline, o.DeadlineMs)
		return ""
	case o.DeadlineMs <= w.clockMs():
		return "late"
	case o.Run <= w.highestRun[o.Task]:
		return "old"
	case len(w.runs) >= w.estate.cfg.MaxRuns:
		return "room"
	}
	w.leaseDeadline = max(w.leaseDeadline, o.DeadlineMs)
	w.highestRun[o.Task] = o.Run
	r := &run{number: o.Run, checkpoint: o.Checkpoint, percent: 100}
	how := w.estate.recordStart(Start{Worker: w.id, Task: o.Task, Run: o.Run, Spec: o.Spec, Ticket: o.Ticket})
	r.timer = time.AfterFunc(w.estate.cfg.TaskTime, func() { w.finish(o.Task, r, how) })
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
	w.estate.recordEnd(task, how)
	w.ended = append(w.ended, []any{w.nextEnd, task, r.number, how, r.checkpoint})
	w.nextEnd++
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Worker) stop(o request) string {
	w.mu.Lock()
	if !w.acceptToken(o.FencingToken) {
		w.mu.Unlock()
		return "fence"
	}
	r := w.runs[o.Task]
	w.highestRun[o.Task] = max(w.highestRun[o.Task], o.Run)
	w.mu.Unlock()
	if r == nil || r.number != o.Run {
		return "old"
	}
	r.timer.Stop()
	w.finish(o.Task, r, "stopped")
	return ""
}

func (w *Worker) pace(o request) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.acceptToken(o.FencingToken) {
		return "fence"
	}
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		r.percent = o.Percent
		return ""
	}
	return "old"
}

func (w *Worker) hold(rc *fasthttp.RequestCtx, o request) {
	w.mu.Lock()
	if !w.acceptToken(o.FencingToken) {
		w.mu.Unlock()
		w.answer(rc, "fence")
		return
	}
	w.leaseDeadline = max(w.leaseDeadline, o.DeadlineMs)
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
		running = append(running, []any{task, r.number, r.checkpoint, r.percent, 0})
	}
	ended := w.ended[:min(len(w.ended), maxEndsPerAnswer)]
	if ended == nil {
		ended = [][]any{}
	}
	reply(rc, fasthttp.StatusOK, map[string]any{"ClockMs": w.clockMs(), "born": w.startTime.UnixMilli(), "Running": running, "Ended": ended})
}

// registration is what the worker registers.
func (w *Worker) registration(state string) []byte {
	b, err := json.Marshal(map[string]any{
		"Service": w.service, "Address": w.address, "Zone": "z1", "Version": "v1", "Slots": 8, "State": state,
		"ColdRemainingMs": 0, "Capacity": w.estate.cfg.Capacity, "Labels": []string{"a", "r1"}, "ClockMs": w.clockMs(),
		"Machine": w.machine, "Seq": 1, "born": w.startTime.UnixMilli(),
	})
	if err != nil {
		panic(fmt.Sprintf("an entry of fixed fields is not encoded: %s", err))
	}
	return b
}
