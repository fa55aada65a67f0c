package main

import (
	"encoding/json"
	"io"
	"log"
	"math"
	"math/rand"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Bounds of the minions, as the platform's settings name them.
const (
	holdMaxMs     = 6000
	stopTime      = 150 * time.Millisecond // StopMs is 200
	gangTime      = 3000 * time.Millisecond
	heartbeatTime = 1500 * time.Millisecond
	leaseCheck    = 5 * time.Millisecond
)

// minionConfig describes a minion.
type minionConfig struct {
	service, machine, zone, rack string
	// clockRate is the speed of its steady clock; the pages allow 2% less than 1.
	clockRate float64
	// delay is added to each answer: the way there and back.
	delay time.Duration
	// isGrey minions fail all that they start.
	isGrey bool
}

// minion is one life of a machine.
type minion struct {
	cfg   minionConfig
	w     *world
	id    string
	born  time.Time
	gate  *gate
	seq   int
	ended chan struct{}

	mu        sync.Mutex
	isDown    bool
	token     int64
	deadline  int64
	runs      map[string]*run
	highest   map[string]int64
	ends      [][]any
	nextEnd   int64
	changed   chan struct{}
	draining  bool
	isUpkeep  bool
	lastTouch time.Time
}

// run is a run on a minion.
type run struct {
	task   string
	number int64
	since  time.Time
	timer  *time.Timer
	// isStopping is set while the run is being stopped; it goes on until its end is listed.
	isStopping bool
	room       room
	percent    int
}

// room is a request for capacity.
type room struct{ cpu, mem int64 }

var minionRoom = room{64_000, 131_072}

func newMinion(w *world, id string, cfg minionConfig) *minion {
	if cfg.clockRate == 0 {
		cfg.clockRate = 1
	}
	m := &minion{
		cfg: cfg, w: w, id: id, born: time.Now(), runs: make(map[string]*run), highest: make(map[string]int64),
		nextEnd: 1, changed: make(chan struct{}), ended: make(chan struct{}),
	}
	return m
}

// begin lets the minion serve at a gate.
func (m *minion) begin(g *gate) {
	if g == nil {
		g = newGate(m)
	}
	m.gate = g
	go m.expire()
	go m.beat()
}

// clock returns the minion's steady clock in ms.
func (m *minion) clock() int64 {
	return int64(math.Floor(float64(time.Since(m.born).Microseconds())/1000*m.cfg.clockRate)) + 1
}

// beat writes the minion's entry in the store.
func (m *minion) beat() {
	for {
		m.writeEntry()
		select {
		case <-time.After(heartbeatTime):
		case <-m.ended:
			return
		}
	}
}

func (m *minion) writeEntry() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isDown {
		return
	}
	m.seq++
	state := "ready"
	if m.draining {
		state = "draining"
	}
	b, _ := json.Marshal(map[string]any{
		"Service": m.cfg.service, "Address": m.gate.address, "Zone": m.cfg.zone, "Version": "v1", "Slots": 8, "State": state,
		"ColdRemainingMs": 0, "Seq": m.seq, "born": m.born.UnixMilli(), "Machine": m.cfg.machine,
		"Capacity": map[string]int64{"Cpu": minionRoom.cpu, "MemMb": minionRoom.mem}, "Labels": []string{"a", m.cfg.rack},
	})
	m.w.store.put("keyed.servers", m.id, b)
}

// expire ends everything when the lease is over.
func (m *minion) expire() {
	for {
		select {
		case <-time.After(leaseCheck):
		case <-m.ended:
			return
		}
		m.mu.Lock()
		if m.clock() > m.deadline {
			for _, r := range m.runs {
				m.finish(r, "lapsed")
			}
		}
		m.mu.Unlock()
	}
}

// shutDown ends the minion's life, with all that runs on it.
func (m *minion) shutDown(why string) {
	m.mu.Lock()
	if m.isDown {
		m.mu.Unlock()
		return
	}
	m.isDown = true
	for _, r := range m.runs {
		if r.timer != nil {
			r.timer.Stop()
		}
		m.w.runEnded(m, r, why)
	}
	m.runs = nil
	close(m.ended)
	m.mu.Unlock()
	m.gate.close()
	m.w.store.put("keyed.servers", m.id, nil)
}

// crash ends the minion's life without notice. Unless restartAfter is 0, it starts again under its id and address. Without a
// heartbeat its entry expires.
func (m *minion) crash(restartAfter time.Duration) {
	m.mu.Lock()
	if m.isDown {
		m.mu.Unlock()
		return
	}
	m.isDown = true
	for _, r := range m.runs {
		if r.timer != nil {
			r.timer.Stop()
		}
		m.w.runEnded(m, r, "crashed")
	}
	m.runs = nil
	close(m.ended)
	m.mu.Unlock()
	m.gate.cut()
	m.w.rec.detail("minion %s crashes", m.id)
	time.AfterFunc(3*heartbeatTime, func() {
		if m.w.current(m.id) == m {
			m.w.store.put("keyed.servers", m.id, nil)
		}
	})
	if restartAfter == 0 {
		return
	}
	time.AfterFunc(restartAfter, func() { m.w.restart(m) })
}

// crashForGood ends the minion's life without notice. Another minion starts on its machine after a time.
func (m *minion) crashForGood(after time.Duration) {
	m.crash(0)
	time.AfterFunc(after, func() {
		c := m.w.cloud
		c.mu.Lock()
		defer c.mu.Unlock()
		if mc := c.machines[m.cfg.machine]; mc.m == m {
			mc.m = m.w.addMinion(mc.cfg)
			m.w.rec.detail("minion %s starts on the machine of %s", mc.m.id, m.id)
		}
	})
}

// finish lists the end of a run; mu is held.
func (m *minion) finish(r *run, how string) {
	if m.isDown || m.runs[r.task] != r {
		return
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(m.runs, r.task)
	m.ends = append(m.ends, []any{m.nextEnd, r.task, r.number, how, ""})
	m.nextEnd++
	m.w.runEnded(m, r, how)
	close(m.changed)
	m.changed = make(chan struct{})
	if how != "done" {
		m.w.gangs.left(r)
	}
}

// end ends a run after its time.
func (m *minion) end(r *run, how string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.isStopping && how != "stopped" {
		return
	}
	m.finish(r, how)
}

type order struct {
	Task                                                     string
	Run, DeadlineMs, FencingToken, SeenUpto, WaitMs, Percent int64
	Spec, Ticket                                             string
}

func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.WriteHeader(http.StatusOK)
		return
	}
	if e := r.Header.Get("X-Godwitcross-Expect-Instance"); e != "" && e != m.id {
		w.Header().Set("X-Godwitcross-Instance-Id", m.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(m.cfg.delay)
	var o order
	if json.Unmarshal(b, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if m.w.isLate() && r.URL.Path != "/v1/hold" {
		time.AfterFunc(2*time.Second+time.Duration(rand.Int63n(int64(10*time.Second))), func() { m.carryOut(r.URL.Path, o) })
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case "/v1/run-start":
		m.answer(w, m.start(o))
	case "/v1/run-stop":
		m.answer(w, m.stop(o))
	case "/v1/pace":
		m.answer(w, m.pace(o))
	case "/v1/hold":
		m.hold(w, r, o)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// carryOut carries out a late order, if the minion's life goes on.
func (m *minion) carryOut(path string, o order) {
	m.mu.Lock()
	isDown := m.isDown
	m.mu.Unlock()
	switch {
	case isDown:
	case path == "/v1/run-start":
		defer func() { _ = recover() }() // its life may end meanwhile
		m.start(o)
	case path == "/v1/run-stop":
		m.stop(o)
	}
}

func (m *minion) answer(w http.ResponseWriter, reason string) {
	if reason == "" {
		reply(w, http.StatusOK, map[string]any{"ClockMs": m.clock(), "born": m.born.UnixMilli()})
		return
	}
	reply(w, http.StatusConflict, map[string]any{"ClockMs": m.clock(), "born": m.born.UnixMilli(), "Reason": reason})
}

func (m *minion) isFenced(o order) bool {
	if o.FencingToken < m.token {
		return true
	}
	m.token = o.FencingToken
	return false
}

// extend takes a deadline; it never shortens, and no lease is longer than HoldMaxMs.
func (m *minion) extend(deadline int64) {
	m.deadline = max(m.deadline, min(deadline, m.clock()+holdMaxMs))
}

func (m *minion) used() room {
	var u room
	for _, r := range m.runs {
		u.cpu += r.room.cpu
		u.mem += r.room.mem
	}
	return u
}

func (m *minion) start(o order) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isDown {
		panic(http.ErrAbortHandler)
	}
	if m.isFenced(o) {
		return "fence"
	}
	if r := m.runs[o.Task]; r != nil && r.number == o.Run {
		m.extend(o.DeadlineMs)
		return ""
	}
	if o.Run <= m.highest[o.Task] {
		m.extend(o.DeadlineMs)
		return "old"
	}
	if o.DeadlineMs <= m.clock() {
		return "late"
	}
	if !m.w.adviser.isValid(m, o.Task, o.Ticket) {
		return "ticket"
	}
	need := m.w.roomOf(o.Task)
	u := m.used()
	if m.runs[o.Task] != nil || u.cpu+need.cpu > minionRoom.cpu || u.mem+need.mem > minionRoom.mem {
		m.extend(o.DeadlineMs)
		return "room"
	}
	m.extend(o.DeadlineMs)
	m.highest[o.Task] = o.Run
	r := &run{task: o.Task, number: o.Run, since: time.Now(), room: need, percent: 100}
	m.runs[o.Task] = r
	m.w.runStarted(m, r, o.Spec, o.FencingToken)
	work := m.w.workOf(o.Task)
	switch {
	case m.cfg.isGrey:
		r.timer = time.AfterFunc(work, func() { m.end(r, "failed") })
	case m.w.gangs.join(m, r):
		// The run works once all members are present.
	case work > 0 && m.runs != nil:
		r.timer = time.AfterFunc(work, func() { m.end(r, "done") })
	}
	return ""
}

func (m *minion) stop(o order) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isFenced(o) {
		return "fence"
	}
	m.highest[o.Task] = max(m.highest[o.Task], o.Run)
	if r := m.runs[o.Task]; r != nil && r.number == o.Run && !r.isStopping {
		r.isStopping = true
		m.w.rec.detail("stop of %s run %d reaches %s", o.Task, o.Run, m.id)
		time.AfterFunc(stopTime, func() { m.end(r, "stopped") })
	}
	return ""
}

func (m *minion) pace(o order) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isFenced(o) {
		return "fence"
	}
	if r := m.runs[o.Task]; r != nil && r.number == o.Run {
		r.percent = int(o.Percent)
	}
	return ""
}

func (m *minion) hold(w http.ResponseWriter, r *http.Request, o order) {
	m.mu.Lock()
	if m.isFenced(o) {
		m.mu.Unlock()
		m.answer(w, "fence")
		return
	}
	if o.DeadlineMs > 0 {
		m.extend(o.DeadlineMs)
	}
	m.ends = slices.DeleteFunc(m.ends, func(e []any) bool {
		if e[0].(int64) > o.SeenUpto {
			return false
		}
		m.w.endNoted(e[1].(string), e[2].(int64), e[3].(string))
		return true
	})
	changed, shouldWait := m.changed, len(m.ends) == 0 && o.WaitMs > 0
	m.mu.Unlock()
	if shouldWait {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	m.mu.Lock()
	running, ends := [][]any{}, [][]any{}
	for _, r := range m.runs {
		running = append(running, []any{r.task, r.number, "", r.percent, r.room.cpu})
	}
	ends = append(ends, m.ends[:min(len(m.ends), 500)]...)
	body := map[string]any{"ClockMs": m.clock(), "born": m.born.UnixMilli(), "Running": running, "Ended": ends}
	m.mu.Unlock()
	reply(w, http.StatusOK, body)
}

// gangs knows which members of gangs are present.
type gangs struct {
	w  *world
	mu sync.Mutex
	// present holds the members of a run of a gang by step and run.
	present map[string]map[string]member
}

type member struct {
	m *minion
	r *run
}

func gangKey(r *run) string {
	return r.task[:strings.LastIndex(r.task, ".")] + "/" + itoa(r.number)
}

// join adds a run to its gang, and reports false if its step is none. mu of m is held.
func (g *gangs) join(m *minion, r *run) bool {
	st := g.w.stepOf(r.task)
	if st == nil || !st.Gang {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	key := gangKey(r)
	if g.present[key] == nil {
		g.present[key] = make(map[string]member)
	}
	g.present[key][r.task] = member{m, r}
	if len(g.present[key]) < st.Count {
		r.timer = time.AfterFunc(gangTime, func() { m.end(r, "alone") })
		return true
	}
	for _, x := range g.present[key] {
		if x.r.timer != nil {
			x.r.timer.Stop()
		}
		x.r.timer = time.AfterFunc(st.work, func() { x.m.end(x.r, "done") })
	}
	return true
}

// left ends the other members of a run's gang as broken; mu of the run's minion is held.
func (g *gangs) left(r *run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := gangKey(r)
	for task, x := range g.present[key] {
		if task != r.task {
			time.AfterFunc(time.Millisecond, func() { x.m.end(x.r, "broken") })
		}
	}
	delete(g.present, key)
}

// gate is a minion's address: a proxy that can be cut off.
type gate struct {
	m       *minion
	address string
	server  *http.Server

	mu       sync.Mutex
	listener net.Listener
	open     map[net.Conn]bool
	isClosed bool
	isCut    bool
}

func newGate(m *minion) *gate {
	g := &gate{m: m, open: make(map[net.Conn]bool)}
	g.listen(m.w.ip + ":0")
	return g
}

func (g *gate) listen(address string) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		panic(err)
	}
	g.mu.Lock()
	g.listener, g.address = l, l.Addr().String()
	g.server = &http.Server{Handler: http.HandlerFunc(g.serve), ConnState: g.observe, ErrorLog: log.New(io.Discard, "", 0)}
	s := g.server
	g.mu.Unlock()
	go func() { _ = s.Serve(l) }()
}

func (g *gate) observe(c net.Conn, s http.ConnState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s == http.StateClosed {
		delete(g.open, c)
		return
	}
	g.open[c] = true
}

// cut cuts the minion off: connections are reset and new ones refused. The minion runs on.
func (g *gate) cut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isCut = true
	_ = g.listener.Close()
	for c := range g.open {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// heal ends a cut.
func (g *gate) heal() {
	g.mu.Lock()
	isOpen, address := g.isClosed || !g.isCut, g.address
	g.isCut = false
	g.mu.Unlock()
	if !isOpen {
		g.listen(address)
	}
}

func (g *gate) close() {
	g.mu.Lock()
	g.isClosed = true
	g.mu.Unlock()
	g.cut()
}

// serve passes a call on to the present life of the minion.
func (g *gate) serve(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	m := g.m
	g.mu.Unlock()
	m.ServeHTTP(w, r)
}
