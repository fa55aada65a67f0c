package main

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"math/rand"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

func itoa(n int64) string { return strconv.FormatInt(n, 10) }

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	f     *os.File
	t0    time.Time
	count int
	// isFull lifts the bound of maxDetails.
	isFull bool
}

// maxDetails bounds the lines about single runs.
const maxDetails = 600

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{f: f, t0: time.Now()}, err
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f s  %s\n", time.Since(r.t0).Seconds(), fmt.Sprintf(format, args...))
}

// detail is log for lines that may be many.
func (r *recorder) detail(format string, args ...any) {
	r.mu.Lock()
	r.count++
	n := r.count
	r.mu.Unlock()
	switch {
	case n < maxDetails || r.isFull:
		r.log(format, args...)
	case n == maxDetails:
		r.log("(further lines about single runs are left out)")
	}
}

// stepDef is a step of a job, as its client submits it.
type stepDef struct {
	Count        int
	Cpu          int64
	MemMb        int64 `json:",omitempty"`
	EstimateMs   int64
	After        []int  `json:",omitempty"`
	Gang         bool   `json:",omitempty"`
	AntiAffinity int    `json:",omitempty"`
	LongRunning  bool   `json:",omitempty"`
	MayMiss      int    `json:",omitempty"`
	Affinity     string `json:",omitempty"`
	Requires     string `json:",omitempty"`
	Speculative  bool   `json:",omitempty"`
	// work is how long a task takes; 0 is until it is stopped.
	work time.Duration
}

// jobDef is a job and what its client knows of it.
type jobDef struct {
	id, prefix string
	steps      []stepDef
	times      int
	startAt    int64
	interval   time.Duration

	mu         sync.Mutex
	acceptedAt time.Time
	final      string
	cancelled  bool
}

func (j *jobDef) body() string {
	b, _ := json.Marshal(map[string]any{"Spec": "job " + j.id, "Steps": j.steps})
	if j.times > 0 {
		b, _ = json.Marshal(map[string]any{"Spec": "job " + j.id, "Steps": j.steps, "Times": j.times, "StartAtMs": j.startAt, "IntervalMs": j.interval.Milliseconds()})
	}
	return string(b)
}

// taskRun is a run that a minion has begun.
type taskRun struct {
	task, minion string
	number       int64
	from, to     time.Time
	how          string
	spec         string
	noted        time.Time
}

// world is a small deployment on stand-ins of the platform.
type world struct {
	rec   *recorder
	dir   string
	ip    string
	net   string
	store *logStore
	cloud *cloud
	hosts []*host
	gangs *gangs
	// adviser is the service that decides which minions may run a step.
	adviser *adviser

	cloudAddress, adviceAddress string

	mu   sync.Mutex
	jobs map[string]*jobDef
	runs []*taskRun
	open map[*run]*taskRun
	// lateShare is the share of the orders to minions that get no answer and are carried out 2 to 12 s later.
	lateShare float64
	minions   map[string]*minion
	nextID    int
	version   int
	next      int
}

func newWorld(recordPath string) *world {
	rec, err := newRecorder(recordPath)
	if err != nil {
		cannotRun("%s", err)
	}
	dir, err := os.MkdirTemp("", "trial")
	if err != nil {
		cannotRun("%s", err)
	}
	w := &world{rec: rec, dir: dir, jobs: make(map[string]*jobDef), open: make(map[*run]*taskRun), minions: make(map[string]*minion)}
	w.net = fmt.Sprintf("127.%d.%d.", 10+rand.Intn(200), 1+rand.Intn(250))
	w.ip = w.net + "1"
	w.store = newLogStore(rec)
	w.cloud = &cloud{w: w, machines: make(map[string]*machine), tokens: make(map[string]int64)}
	w.gangs = &gangs{w: w, present: make(map[string]map[string]member)}
	w.cloudAddress = w.serve(w.cloud)
	w.adviser = &adviser{w: w, tickets: make(map[string]ticket)}
	w.adviceAddress = w.serve(w.adviser)
	return w
}

func (w *world) serve(h http.Handler) string {
	l, err := net.Listen("tcp", w.ip+":0")
	if err != nil {
		cannotRun("%s", err)
	}
	s := &http.Server{Handler: h, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = s.Serve(l) }()
	return l.Addr().String()
}

// addMinion starts a minion on a machine.
func (w *world) addMinion(cfg minionConfig) *minion {
	w.mu.Lock()
	w.nextID++
	id := fmt.Sprintf("i-%010x", 0x4f00000000+w.nextID*0x10101)
	w.mu.Unlock()
	m := newMinion(w, id, cfg)
	m.begin(nil)
	w.mu.Lock()
	w.minions[id] = m
	w.mu.Unlock()
	return m
}

// current returns the present life of a minion.
func (w *world) current(id string) *minion {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.minions[id]
}

// restart starts a minion again under the id and the address that it had, unless its machine has moved meanwhile.
func (w *world) restart(old *minion) {
	w.cloud.mu.Lock()
	defer w.cloud.mu.Unlock()
	mc := w.cloud.machines[old.cfg.machine]
	if mc.m != old {
		return
	}
	m := newMinion(w, old.id, old.cfg)
	g := old.gate
	g.mu.Lock()
	g.m = m
	g.mu.Unlock()
	g.heal()
	w.mu.Lock()
	w.minions[m.id] = m
	w.mu.Unlock()
	mc.m = m
	w.rec.detail("minion %s starts again", m.id)
	m.begin(g)
}

func (w *world) stepOf(task string) *stepDef {
	p := strings.Split(task, ".")
	w.mu.Lock()
	j := w.jobs[p[0]]
	w.mu.Unlock()
	if j == nil {
		return nil
	}
	n, _ := strconv.Atoi(p[2])
	return &j.steps[n]
}

// isSpeculative reports whether a task may run more than once; mu is held.
func (w *world) isSpeculative(task string) bool {
	p := strings.Split(task, ".")
	n, _ := strconv.Atoi(p[2])
	j := w.jobs[p[0]]
	return j != nil && j.steps[n].Speculative
}

func (w *world) roomOf(task string) room {
	if st := w.stepOf(task); st != nil {
		return room{st.Cpu, st.MemMb}
	}
	return room{}
}

func (w *world) workOf(task string) time.Duration {
	if st := w.stepOf(task); st != nil {
		return st.work
	}
	return time.Second
}

func (w *world) runStarted(m *minion, r *run, spec string, token int64) {
	w.mu.Lock()
	tr := &taskRun{task: r.task, minion: m.id, number: r.number, from: time.Now(), spec: spec}
	w.runs = append(w.runs, tr)
	w.open[r] = tr
	w.mu.Unlock()
	w.rec.detail("%s starts %s run %d (token %d, lease for %d ms of its clock)", m.id, r.task, r.number, token, m.deadline-m.clock())
}

func (w *world) runEnded(m *minion, r *run, how string) {
	w.mu.Lock()
	tr := w.open[r]
	delete(w.open, r)
	if tr != nil {
		tr.to, tr.how = time.Now(), how
	}
	w.mu.Unlock()
	w.rec.detail("%s ends %s run %d: %s", m.id, r.task, r.number, how)
}

func (w *world) endNoted(task string, number int64, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := len(w.runs) - 1; i >= 0; i-- {
		if tr := w.runs[i]; tr.task == task && tr.number == number && tr.how == how && tr.noted.IsZero() {
			tr.noted = time.Now()
			return
		}
	}
}

// runsOf returns the runs of a job's tasks.
func (w *world) runsOf(id string) []taskRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []taskRun
	for _, r := range w.runs {
		if strings.HasPrefix(r.task, id) {
			out = append(out, *r)
		}
	}
	return out
}

// running counts the runs of a job that go on.
func (w *world) running(id string) int {
	n := 0
	for _, r := range w.runsOf(id) {
		if r.to.IsZero() {
			n++
		}
	}
	return n
}

// duplicates returns a line for each breach of TWICE: two runs of a task at the same time, or a start after an end
// as done that is taken note of.
func (w *world) duplicates() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	byTask := make(map[string][]*taskRun)
	for _, r := range w.runs {
		if w.isSpeculative(r.task) {
			continue
		}
		byTask[r.task] = append(byTask[r.task], r)
	}
	var out []string
	at := func(t time.Time) float64 { return t.Sub(w.rec.t0).Seconds() }
	for task, rs := range byTask {
		for i, a := range rs {
			for _, b := range rs[i+1:] {
				if a.to.IsZero() || a.to.After(b.from) {
					end := time.Now()
					if !a.to.IsZero() {
						end = a.to
					}
					out = append(out, fmt.Sprintf("%s: run %d on %s from %.3f s to %.3f s (%s), run %d on %s from %.3f s: together for %.0f ms",
						task, a.number, a.minion, at(a.from), at(end), a.how, b.number, b.minion, at(b.from), end.Sub(b.from).Seconds()*1000))
				} else if a.how == "done" && !a.noted.IsZero() {
					out = append(out, fmt.Sprintf("%s: run %d on %s ended done at %.3f s, which was taken note of, run %d on %s began at %.3f s",
						task, a.number, a.minion, at(a.to), b.number, b.minion, at(b.from)))
				}
			}
		}
	}
	slices.Sort(out)
	return out
}

// cloud lists and moves machines.
type cloud struct {
	w        *world
	mu       sync.Mutex
	machines map[string]*machine
	tokens   map[string]int64
	spare    string
}

type machine struct {
	id, pool, state string
	cfg             minionConfig
	m               *minion
}

// add adds a machine; one of the spare pool is off.
func (c *cloud) add(pool string, cfg minionConfig) *machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	mc := &machine{id: fmt.Sprintf("m-%03d", len(c.machines)+1), pool: pool, state: "up", cfg: cfg}
	mc.cfg.machine, mc.cfg.service = mc.id, pool
	c.machines[mc.id] = mc
	if pool != c.spare {
		mc.m = c.w.addMinion(mc.cfg)
	}
	return mc
}

func (c *cloud) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/machines" {
		c.list(rw)
		return
	}
	var b struct {
		Machine, Pool string
		Wave          int
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	token, _ := strconv.ParseInt(r.Header.Get("X-Godwitcross-Fencing-Token"), 10, 64)
	c.mu.Lock()
	defer c.mu.Unlock()
	mc := c.machines[b.Machine]
	switch {
	case mc == nil || r.URL.Path != "/v1/machine-move":
		rw.WriteHeader(http.StatusBadRequest)
	case token < c.tokens[mc.id]:
		reply(rw, http.StatusConflict, map[string]string{"Reason": "fence"})
	case mc.state != "up":
		reply(rw, http.StatusConflict, map[string]string{"Reason": "busy"})
	default:
		c.tokens[mc.id] = token
		if mc.pool != b.Pool {
			c.move(mc, b.Pool)
		}
		reply(rw, http.StatusOK, map[string]string{})
	}
}

// move moves a machine; mu is held.
func (c *cloud) move(mc *machine, pool string) {
	c.w.rec.detail("machine %s moves from %s to %s", mc.id, mc.pool, pool)
	if mc.m != nil {
		mc.m.shutDown("moved")
		mc.m = nil
	}
	mc.pool, mc.state, mc.cfg.service = pool, "moving", pool
	time.AfterFunc(1500*time.Millisecond, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		mc.state = "up"
		if pool != c.spare {
			mc.m = c.w.addMinion(mc.cfg)
		}
	})
}

func (c *cloud) list(rw http.ResponseWriter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rows := []map[string]any{}
	for _, mc := range c.machines {
		row := map[string]any{
			"Machine": mc.id, "Pool": mc.pool, "State": mc.state, "Zone": mc.cfg.zone, "Labels": []string{"a", mc.cfg.rack},
			"Capacity": map[string]int64{"Cpu": minionRoom.cpu, "MemMb": minionRoom.mem},
		}
		if mc.m != nil {
			row["Id"] = mc.m.id
		}
		rows = append(rows, row)
	}
	reply(rw, http.StatusOK, map[string]any{"Machines": rows})
}

// inPool returns the minions that are in a pool now.
func (c *cloud) inPool(pool string) []*minion {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*minion
	for _, mc := range c.machines {
		if mc.pool == pool && mc.m != nil {
			out = append(out, mc.m)
		}
	}
	slices.SortFunc(out, func(a, b *minion) int { return strings.Compare(a.id, b.id) })
	return out
}

// route is a queue of a configuration.
type route struct {
	name, prefix, service string
	maxAttempts           int
	// isAdvised routes have an adviser.
	isAdvised bool
}

// publish publishes a configuration.
func (w *world) publish(routes []route, services ...string) {
	w.mu.Lock()
	w.version += 3
	v := w.version
	w.mu.Unlock()
	var rs, ss []map[string]any
	for _, r := range routes {
		attempts := r.maxAttempts
		if attempts == 0 {
			attempts = 4
		}
		row := map[string]any{
			"Name": r.name, "Host": "jobs.example", "PathPrefix": r.prefix, "Kind": "unsafe", "TimeoutMs": 3000, "TargetLatencyMs": 600,
			"Priority": 0, "Service": r.service, "MaxAttempts": attempts, "Stretch": 1.6,
		}
		if r.isAdvised {
			row["Advice"] = map[string]any{"DecideMs": decideTime.Milliseconds(), "EachMs": 1, "ValidMs": ticketTime.Milliseconds()}
		}
		rs = append(rs, row)
	}
	for _, s := range services {
		ss = append(ss, map[string]any{"Name": s, "HealthPath": "/health", "MaxConns": 64, "Protocol": "h1", "Tls": false, "AdmissionControl": true, "Spare": s == w.cloud.spare})
	}
	b, _ := json.Marshal(map[string]any{
		"Version": v, "Routes": rs, "Services": ss,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	w.store.put("keyed.op", "config", b)
	w.rec.log("operator: configuration %d: %s", v, describe(routes))
}

func describe(routes []route) string {
	var out []string
	for _, r := range routes {
		out = append(out, fmt.Sprintf("route %s, prefix %s, service %s", r.name, r.prefix, r.service))
	}
	return strings.Join(out, "; ")
}

var httpClient = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// ask sends one request of a client to a host and returns the status, 0 without an answer, and the body.
func (w *world) ask(h *host, method, path, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+h.front+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = "jobs.example"
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Godwitcross-Timeout-Ms", "3000")
	resp, err := httpClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(b)
}

// nextHost returns a host that is ready, each in turn.
func (w *world) nextHost() *host {
	w.mu.Lock()
	w.next++
	n := w.next
	w.mu.Unlock()
	for i := range w.hosts {
		if h := w.hosts[(n+i)%len(w.hosts)]; h.isReady() {
			return h
		}
	}
	return w.hosts[n%len(w.hosts)]
}

// submit hands a job in, with retries as a client makes them, and reports whether it was accepted.
func (w *world) submit(j *jobDef) bool {
	w.mu.Lock()
	w.jobs[j.id] = j
	w.mu.Unlock()
	for try := range 5 {
		h := w.nextHost()
		status, _ := w.ask(h, http.MethodPost, j.prefix+j.id, j.body())
		w.rec.log("client: POST %s%s to %s: %s", j.prefix, j.id, h.name, statusName(status))
		if status/100 == 2 {
			j.mu.Lock()
			j.acceptedAt = time.Now()
			j.mu.Unlock()
			return true
		}
		if try < 4 {
			time.Sleep(time.Second)
		}
	}
	return false
}

// submitQuietly hands a job in once.
func (w *world) submitQuietly(j *jobDef) {
	w.mu.Lock()
	w.jobs[j.id] = j
	w.mu.Unlock()
	h := w.nextHost()
	status, _ := w.ask(h, http.MethodPost, j.prefix+j.id, j.body())
	w.rec.detail("client: POST %s%s to %s: %s", j.prefix, j.id, h.name, statusName(status))
}

func statusName(status int) string {
	if status == 0 {
		return "no answer"
	}
	return strconv.Itoa(status)
}

// state asks for a job's state.
func (w *world) state(j *jobDef) (int, string) {
	h := w.nextHost()
	status, body := w.ask(h, http.MethodGet, j.prefix+j.id, "")
	var b struct{ State string }
	_ = json.Unmarshal([]byte(body), &b)
	j.mu.Lock()
	if b.State == "completed" || b.State == "failed" || b.State == "cancelled" {
		j.final = b.State
	}
	j.mu.Unlock()
	return status, b.State
}

// await asks for a job's state until it is final or the time is over.
func (w *world) await(j *jobDef, limit time.Duration) string {
	state := ""
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		_, s := w.state(j)
		if s != state && s != "" {
			w.rec.log("client: job %s is %s", j.id, s)
			state = s
		}
		if j.final != "" {
			return j.final
		}
	}
	return state
}

func (w *world) tearDown() {
	for _, h := range w.hosts {
		h.end()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
}

func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "can't run: "+format+"\n", args...)
	os.Exit(2)
}

func logPath(dir, name string) string { return filepath.Join(dir, name+".log") }
