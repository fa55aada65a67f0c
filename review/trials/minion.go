package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// minAnswerTime and maxAnswerTime bound the time that a minion takes for an order.
	minAnswerTime, maxAnswerTime = 2 * time.Millisecond, 25 * time.Millisecond
	// stopTime is the time that a stop takes, below the bound StopMs.
	stopTime = 150 * time.Millisecond
	// holdMax bounds a lease.
	holdMax      = 6 * time.Second
	maxEndsAtOne = 500
	heartbeat    = 1500 * time.Millisecond
)

// minion is one life of a machine.
type minion struct {
	p                             *plat
	id, service, machine, address string
	zone, rack                    string
	capacity                      resources
	born                          time.Time
	server                        *http.Server

	mu         sync.Mutex
	token      int64
	deadlineMs int64
	runs       map[string]*run
	highest    map[string]int64
	ended      [][]any
	nextEnd    int64
	changed    chan struct{}
	isDead     bool
	seq        int
}

type resources struct{ Cpu, MemMb, Gpu int64 }

type run struct {
	number     int64
	began      time.Time
	duration   time.Duration
	isStopping bool
	checkpoint string
	timer      *time.Timer
	need       resources
}

type order struct {
	Task, Spec, Checkpoint, Ticket string
	Run                            int64
	DeadlineMs                     int64
	FencingToken                   int64
	SeenUpto                       int64
	WaitMs                         int64
	Percent                        int
}

func newMinion(p *plat, id string, m *machine) (*minion, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &minion{
		p: p, id: id, service: m.pool, machine: m.id, address: l.Addr().String(), zone: m.zone, rack: m.rack, capacity: p.capacity,
		born: time.Now(), runs: make(map[string]*run), highest: make(map[string]int64), nextEnd: 1, changed: make(chan struct{}),
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	go w.watchLeases()
	return w, nil
}

func (w *minion) clockMs() int64 { return time.Since(w.born).Milliseconds() + 1 }

// watchLeases ends all runs once the lease has expired.
func (w *minion) watchLeases() {
	for range time.Tick(20 * time.Millisecond) {
		w.mu.Lock()
		if w.isDead {
			w.mu.Unlock()
			return
		}
		if w.clockMs() > w.deadlineMs {
			for task := range w.runs {
				w.end(task, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// end ends a run; mu is held.
func (w *minion) end(task, how string) {
	r := w.runs[task]
	if r == nil {
		return
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(w.runs, task)
	w.p.record.ended(w, task, r.number, how)
	w.ended = append(w.ended, []any{w.nextEnd, task, r.number, how, r.checkpoint})
	w.nextEnd++
	close(w.changed)
	w.changed = make(chan struct{})
}

// die ends the minion and everything on it at once.
func (w *minion) die() {
	w.mu.Lock()
	w.isDead = true
	for task, r := range w.runs {
		if r.timer != nil {
			r.timer.Stop()
		}
		w.p.record.ended(w, task, r.number, "gone")
	}
	w.runs = make(map[string]*run)
	w.mu.Unlock()
	_ = w.server.Close()
}

func (w *minion) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	time.Sleep(minAnswerTime + time.Duration(rand.Int63n(int64(maxAnswerTime-minAnswerTime))))
	if e := r.Header.Get("X-Godwitcross-Expect-Instance"); e != "" && e != w.id {
		rw.Header().Set("X-Godwitcross-Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	if o.FencingToken < w.token {
		w.mu.Unlock()
		w.answer(rw, "fence")
		return
	}
	w.token = o.FencingToken
	w.mu.Unlock()
	switch r.URL.Path {
	case "/v1/run-start":
		w.answer(rw, w.start(o))
	case "/v1/run-stop":
		w.answer(rw, w.stop(o))
	case "/v1/pace":
		w.answer(rw, "")
	case "/v1/hold":
		w.hold(rw, o, r)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (w *minion) answer(rw http.ResponseWriter, reason string) {
	body := map[string]any{"ClockMs": w.clockMs()}
	if reason == "" {
		reply(rw, http.StatusOK, body)
		return
	}
	body["Reason"] = reason
	reply(rw, http.StatusConflict, body)
}

// extend extends the lease, at most to the bound; mu is held.
func (w *minion) extend(deadlineMs int64) {
	w.deadlineMs = max(w.deadlineMs, min(deadlineMs, w.clockMs()+holdMax.Milliseconds()))
}

// start carries out a start. The Spec of the trials' jobs tells the duration and the size of a task:
// "ms=2000 cpu=8000 text".
func (w *minion) start(o order) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		w.extend(o.DeadlineMs)
		return ""
	}
	if o.DeadlineMs <= w.clockMs() {
		return "late"
	}
	if o.Run <= w.highest[o.Task] {
		w.extend(o.DeadlineMs)
		return "old"
	}
	need, duration := parseSpec(o.Spec)
	used := resources{}
	for _, r := range w.runs {
		used.Cpu += r.need.Cpu
	}
	w.extend(o.DeadlineMs)
	if used.Cpu+need.Cpu > w.capacity.Cpu || w.isDead {
		return "room"
	}
	w.highest[o.Task] = o.Run
	r := &run{number: o.Run, began: time.Now(), need: need, duration: duration}
	w.runs[o.Task] = r
	w.p.record.started(w, o.Task, o.Run, o.FencingToken)
	if duration > 0 {
		r.timer = time.AfterFunc(duration, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.runs[o.Task] == r {
				w.end(o.Task, "done")
			}
		})
	}
	return ""
}

func parseSpec(spec string) (resources, time.Duration) {
	need, ms := resources{}, 0
	for _, f := range strings.Fields(spec) {
		if v, ok := strings.CutPrefix(f, "cpu="); ok {
			need.Cpu, _ = strconv.ParseInt(v, 10, 64)
		}
		if v, ok := strings.CutPrefix(f, "ms="); ok {
			ms, _ = strconv.Atoi(v)
		}
	}
	return need, time.Duration(ms) * time.Millisecond
}

// stop stops a run, which takes stopTime, and rejects later starts of that run.
func (w *minion) stop(o order) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	r := w.runs[o.Task]
	if r == nil || r.number != o.Run || r.isStopping {
		return ""
	}
	r.isStopping = true
	time.AfterFunc(stopTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.runs[o.Task] == r {
			w.end(o.Task, "stopped")
		}
	})
	return ""
}

func (w *minion) hold(rw http.ResponseWriter, o order, req *http.Request) {
	w.mu.Lock()
	if o.DeadlineMs > 0 {
		w.extend(o.DeadlineMs)
	}
	for len(w.ended) > 0 && w.ended[0][0].(int64) <= o.SeenUpto {
		w.ended = w.ended[1:]
	}
	changed, shouldWait := w.changed, len(w.ended) == 0 && o.WaitMs > 0
	w.mu.Unlock()
	if shouldWait {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
		case <-req.Context().Done():
		}
	}
	w.mu.Lock()
	running := [][]any{}
	for task, r := range w.runs {
		running = append(running, []any{task, r.number, r.checkpoint, 100, r.need.Cpu})
	}
	ended := append([][]any{}, w.ended[:min(len(w.ended), maxEndsAtOne)]...)
	body := map[string]any{"ClockMs": w.clockMs(), "born": w.born.UnixMilli(), "Running": running, "Ended": ended}
	w.mu.Unlock()
	reply(rw, http.StatusOK, body)
}

// registration is the minion's record in the store.
func (w *minion) registration() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	e := map[string]any{
		"Service": w.service, "Address": w.address, "Zone": w.zone, "Version": "v1", "Slots": 8, "State": "ready", "ColdRemainingMs": 0,
		"Seq": w.seq, "Capacity": w.capacity, "Labels": []string{"a", w.rack}, "Machine": w.machine, "ClockMs": w.clockMs(), "born": w.born.UnixMilli(),
	}
	b, err := json.Marshal(e)
	if err != nil {
		panic(fmt.Sprint(err))
	}
	return b
}

// used returns the processor capacity in use.
func (w *minion) used() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := int64(0)
	for _, r := range w.runs {
		n += r.need.Cpu
	}
	return n
}
