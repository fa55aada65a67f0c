package estate

import (
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxEndsPerAnswer is the most ended runs that one answer lists.
	maxEndsPerAnswer = 500
	// maxLease is the longest lease that a worker grants, HoldMaxMs in the settings.
	maxLease = 6 * time.Second
)

// Worker is one incarnation of a minion.
type Worker struct {
	estate    *Estate
	id        string
	service   string
	machine   string
	address   string
	startTime time.Time
	listener  net.Listener
	server    *fasthttp.Server

	mu sync.Mutex
	// The fields below are guarded by mu.
	// fencingToken is the highest one seen.
	fencingToken int64
	// leaseDeadline is the end of all leases, on the worker's clock in ms.
	leaseDeadline int64
	// runs holds the current runs, highestRun the highest number of a task's run that was started
	// or stopped.
	runs       map[runKey]*run
	highestRun map[string]int64
	// ended lists the ended runs that no caller has confirmed, in the order of their numbers;
	// nextEnd numbers the next one.
	ended   []endedRun
	nextEnd int64
	// changed is closed and replaced when a run ends.
	changed chan struct{}
	// lapsedAt is when the lease was last found to have expired.
	lapsedAt time.Time
	// isUnresponsive makes the worker perform each call and answer none, isCutOff makes it perform
	// none either.
	isUnresponsive, isCutOff bool
	isStopped                bool
}

// runKey names a run of a task.
type runKey struct {
	task   string
	number int64
}

// run is a run that hasn't ended.
type run struct {
	start      *Start
	timer      *time.Timer
	checkpoint string
	// percent is the pace that was set; it doesn't change how long the run takes.
	percent int
}

// endedRun is an end that is listed until it is acknowledged.
type endedRun struct {
	number     int64
	end        *End
	checkpoint string
}

// request is the body of any call; each call uses some of the fields.
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

// newWorker starts a worker on a loopback address. A port of 0 stands for any.
func newWorker(e *Estate, id, service, machine, address string) (*Worker, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w := &Worker{
		estate: e, id: id, service: service, machine: machine, address: l.Addr().String(), startTime: time.Now(), listener: l,
		runs: make(map[runKey]*run), highestRun: make(map[string]int64), nextEnd: 1, changed: make(chan struct{}),
	}
	w.server = &fasthttp.Server{Handler: w.handle}
	go func() { _ = w.server.Serve(l) }()
	go w.expireLeases()
	return w, nil
}

// SetUnresponsive makes the worker perform calls without an answer, or answer again.
func (w *Worker) SetUnresponsive(isUnresponsive bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isUnresponsive = isUnresponsive
}

// SetCutOff cuts the worker off, or ends that: calls don't reach it, and answers don't leave it.
func (w *Worker) SetCutOff(isCutOff bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isCutOff = isCutOff
	w.estate.logEvent("%s cut off: %t", w.incarnation(), isCutOff)
}

// incarnation names the worker and its incarnation in the log of events.
func (w *Worker) incarnation() string {
	return w.id + "@" + w.startTime.Format(eventTime)
}

// isSilent reports whether the worker neither performs nor answers calls.
func (w *Worker) isSilent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.isStopped || w.isCutOff
}

// clockMs returns the time since the worker's start in ms, from 1.
func (w *Worker) clockMs() int64 {
	return time.Since(w.startTime).Milliseconds() + 1
}

// leaseCheckInterval is the pause between two checks of the leases.
const leaseCheckInterval = 50 * time.Millisecond

// expireLeases ends the runs whose lease has expired, until the worker is stopped.
func (w *Worker) expireLeases() {
	for range time.Tick(leaseCheckInterval) {
		w.mu.Lock()
		isStopped := w.isStopped
		w.expireLease()
		w.mu.Unlock()
		if isStopped {
			return
		}
	}
}

// expireLease ends all runs if the lease has expired; mu is held. Orders and ends come after it, so that none
// finds a run that outlasts its lease until the next check.
func (w *Worker) expireLease() {
	if w.clockMs() <= w.leaseDeadline {
		return
	}
	w.lapsedAt = time.Now()
	for k, r := range w.runs {
		w.end(k, r, "lapsed")
	}
}

// Outcomes of runs that end with their worker: an order for its machine or a crash.
const (
	endGone    = "gone"
	endCrashed = "crashed"
)

// shutDown stops the worker and all its runs, and waits for its open calls.
func (w *Worker) shutDown(outcome string) {
	w.stopRuns(outcome)
	_ = w.server.Shutdown()
}

// stopRuns ends the worker's runs; it answers no further calls. It returns false if the worker has ended before.
func (w *Worker) stopRuns(outcome string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isStopped {
		return false
	}
	w.expireLease()
	w.isStopped = true
	for _, r := range w.runs {
		r.timer.Stop()
		w.estate.recordEnd(r.start, outcome)
	}
	w.runs = make(map[runKey]*run)
	w.estate.logEvent("%s stopped: %s", w.incarnation(), outcome)
	return true
}

// handle serves the calls to a worker; calls meant for another instance are rejected.
func (w *Worker) handle(rc *fasthttp.RequestCtx) {
	if w.isSilent() {
		closeWithoutAnswer(rc)
		return
	}
	if expected := string(rc.Request.Header.Peek("X-Godwitcross-Expect-Instance")); expected != "" && expected != w.id {
		rc.Response.Header.Set("X-Godwitcross-Instance-Id", w.id)
		rc.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		return
	}
	var req request
	if err := json.Unmarshal(rc.PostBody(), &req); err != nil {
		rc.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	order := string(rc.Path())
	if delay, isLate := w.estate.drawDelay(); isLate {
		w.estate.delayOrder(w, order, req, delay)
		stayWithoutAnswer(rc)
		return
	}
	w.mu.Lock()
	isUnresponsive := w.isUnresponsive
	reason, isKnown := w.perform(order, req)
	w.mu.Unlock()
	switch {
	case !isKnown:
		rc.SetStatusCode(fasthttp.StatusNotFound)
	case reason == "" && order == pathHold:
		w.awaitEnd(req)
		w.report(rc)
	default:
		w.answer(rc, reason)
	}
	if isUnresponsive || w.isSilent() {
		closeWithoutAnswer(rc)
	}
}

// Paths of the orders.
const (
	pathStart = "/v1/run-start"
	pathStop  = "/v1/run-stop"
	pathPace  = "/v1/pace"
	pathHold  = "/v1/hold"
)

// perform carries out an order; mu is held. It returns the reason of a rejection, or nothing; so do start, stop,
// pace and hold. It reports false for a path that names no order.
func (w *Worker) perform(path string, req request) (reason string, isKnown bool) {
	if w.isStopped {
		return "late", true
	}
	w.expireLease()
	switch path {
	case pathStart:
		return w.start(req), true
	case pathStop:
		return w.stop(req), true
	case pathPace:
		return w.pace(req), true
	case pathHold:
		return w.hold(req), true
	}
	return "", false
}

// extendLease extends the lease to a deadline, or by maxLease if that is less; mu is held.
func (w *Worker) extendLease(deadlineMs int64) {
	w.leaseDeadline = max(w.leaseDeadline, min(deadlineMs, w.clockMs()+maxLease.Milliseconds()))
}

// answer answers a call: with 200, or with 409 and the reason of a rejection.
func (w *Worker) answer(rc *fasthttp.RequestCtx, reason string) {
	body := map[string]any{"ClockMs": w.clockMs()}
	if reason != "" {
		body["Reason"] = reason
		reply(rc, fasthttp.StatusConflict, body)
		return
	}
	reply(rc, fasthttp.StatusOK, body)
}

// acceptToken records a fencing token; it reports false for one lower than the highest seen.
func (w *Worker) acceptToken(token int64) bool {
	if token < w.fencingToken {
		return false
	}
	w.fencingToken = token
	return true
}

// start starts a run, or extends the lease if the run exists. A rejection for an old run or for want of room
// extends the lease as well.
func (w *Worker) start(req request) string {
	key := runKey{req.Task, req.Run}
	switch {
	case !w.acceptToken(req.FencingToken):
		return "fence"
	case w.runs[key] != nil:
		w.extendLease(req.DeadlineMs)
		return ""
	case req.DeadlineMs <= w.clockMs():
		return "late"
	}
	w.extendLease(req.DeadlineMs)
	switch {
	case req.Run <= w.highestRun[req.Task]:
		return "old"
	case len(w.runs) >= w.estate.cfg.MaxRuns:
		return "room"
	}
	w.highestRun[req.Task] = req.Run
	start, outcome := w.estate.recordStart(Start{Worker: w.incarnation(), Task: req.Task, Run: req.Run, Spec: req.Spec, Ticket: req.Ticket})
	r := &run{start: start, checkpoint: req.Checkpoint, percent: 100}
	w.runs[key] = r
	r.timer = time.AfterFunc(w.estate.taskTime(req.Task), func() { w.finish(key, r, outcome) })
	return ""
}

// finish ends a run whose time is over. A run with an empty outcome goes on.
func (w *Worker) finish(k runKey, r *run, outcome string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expireLease()
	if w.runs[k] == r && outcome != "" {
		w.end(k, r, outcome)
	}
}

// end ends a run and wakes the calls that wait for ends; mu is held.
func (w *Worker) end(k runKey, r *run, outcome string) {
	r.timer.Stop()
	delete(w.runs, k)
	w.ended = append(w.ended, endedRun{w.nextEnd, w.estate.recordEnd(r.start, outcome), r.checkpoint})
	w.nextEnd++
	close(w.changed)
	w.changed = make(chan struct{})
}

// stop stops a run. It also rejects later starts of that run or an older one.
func (w *Worker) stop(req request) string {
	if !w.acceptToken(req.FencingToken) {
		return "fence"
	}
	w.highestRun[req.Task] = max(w.highestRun[req.Task], req.Run)
	key := runKey{req.Task, req.Run}
	r := w.runs[key]
	if r == nil {
		return "old"
	}
	w.end(key, r, "stopped")
	return ""
}

// pace records a run's pace.
func (w *Worker) pace(req request) string {
	if !w.acceptToken(req.FencingToken) {
		return "fence"
	}
	if r := w.runs[runKey{req.Task, req.Run}]; r != nil {
		r.percent = req.Percent
		return ""
	}
	return "old"
}

// hold extends the lease and drops the ended runs that the caller has seen.
func (w *Worker) hold(req request) string {
	if !w.acceptToken(req.FencingToken) {
		return "fence"
	}
	w.extendLease(req.DeadlineMs)
	for len(w.ended) > 0 && w.ended[0].number <= req.SeenUpto {
		// An end isn't taken note of if the lease has expired since.
		if e := w.ended[0].end; !w.lapsedAt.After(e.At) {
			w.estate.recordAcknowledged(e)
		}
		w.ended = w.ended[1:]
	}
	return ""
}

// awaitEnd waits for an ended run as long as the call asks for, if there is none.
func (w *Worker) awaitEnd(req request) {
	w.mu.Lock()
	changed, shouldWait := w.changed, len(w.ended) == 0 && req.WaitMs > 0
	w.mu.Unlock()
	if !shouldWait {
		return
	}
	select {
	case <-changed:
	case <-time.After(time.Duration(req.WaitMs) * time.Millisecond):
	}
}

// report answers a hold with the current and the ended runs.
func (w *Worker) report(rc *fasthttp.RequestCtx) {
	w.mu.Lock()
	defer w.mu.Unlock()
	running, ended := [][]any{}, [][]any{}
	for k, r := range w.runs {
		running = append(running, []any{k.task, k.number, r.checkpoint, r.percent, 0})
	}
	for _, n := range w.ended[:min(len(w.ended), maxEndsPerAnswer)] {
		ended = append(ended, []any{n.number, n.end.Task, n.end.Run, n.end.Outcome, n.checkpoint})
	}
	reply(rc, fasthttp.StatusOK, map[string]any{"ClockMs": w.clockMs(), "born": w.startTime.UnixMilli(), "Running": running, "Ended": ended})
}

// registration returns the worker's record in the registry.
func (w *Worker) registration(state string) []byte {
	b, err := json.Marshal(map[string]any{
		"Service": w.service, "Address": w.address, "Zone": "z1", "Version": "v1", "Slots": 8, "State": state,
		"ColdRemainingMs": 0, "Capacity": w.estate.cfg.Capacity, "Labels": []string{"a", "r1"}, "ClockMs": w.clockMs(),
		"Machine": w.machine, "Seq": 1, "born": w.startTime.UnixMilli(),
	})
	if err != nil {
		panic(fmt.Sprintf("encoding a registration failed: %s", err))
	}
	return b
}
