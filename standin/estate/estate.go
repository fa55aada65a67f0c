package estate

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// maxAttempts is MaxAttempts of each queue.
const maxAttempts = 3

// Config sets the size and the timing of an estate.
type Config struct {
	// Services maps each service to its number of machines.
	Services map[string]int
	// Spare names the service whose machines are off and run no worker.
	Spare string
	// TaskTime is the duration of each run that ends. One task in LongTaskShare takes LongTaskTime;
	// 0 stands for none.
	TaskTime, LongTaskTime time.Duration
	LongTaskShare          uint32
	// MaxRuns is the most runs that one worker has at a time.
	MaxRuns int
	// Capacity is the capacity that each worker and machine reports.
	Capacity any
	// MoveTime is how long a machine is down for a move or for maintenance.
	MoveTime time.Duration
	// Events receives a line for each event of the workers and their runs; nil stands for none.
	Events io.Writer
}

// Estate is the stand-in platform: its store, machines, workers and adviser.
type Estate struct {
	cfg Config
	// Log is the store.
	Log     *Log
	store   listener
	cloud   listener
	adviser listener

	mu sync.Mutex
	// The fields below are guarded by mu.
	machines map[string]*machine
	workers  map[string]*Worker
	// lastID is the number of the last id given to a machine or worker.
	lastID int
	// runs records the runs and what became of them.
	runs record
	// late delays orders.
	late lateOrders
	// version is the version of the configuration published last.
	version int
	// workspaces are those of the next configurations.
	workspaces []Workspace
	// fencingTokens holds the highest token seen for each machine.
	fencingTokens map[string]int64

	// eventMu guards the writer of events. It is locked last.
	eventMu sync.Mutex
}

// listener is an HTTP server and its address.
type listener struct {
	address string
	server  *fasthttp.Server
}

// machine is a machine of a pool; worker is nil while none runs on it.
type machine struct {
	id, pool, state string
	worker          *Worker
}

// New starts an estate on loopback addresses, with a worker on each machine but the spare
// ones.
func New(cfg Config) (*Estate, error) {
	e := &Estate{cfg: cfg, Log: NewLog(), machines: make(map[string]*machine), workers: make(map[string]*Worker), fencingTokens: make(map[string]int64), runs: newRecord()}
	var err error
	if e.store, err = listen(e.Log.Handle); err != nil {
		return nil, err
	}
	if e.cloud, err = listen(e.handleCloud); err != nil {
		return nil, err
	}
	if e.adviser, err = listen(e.handleAdvice); err != nil {
		return nil, err
	}
	for service, n := range cfg.Services {
		for range n {
			e.lastID++
			m := &machine{id: fmt.Sprintf("m-%03d", e.lastID), pool: service, state: "up"}
			e.machines[m.id] = m
			if service != cfg.Spare {
				if err := e.startWorker(m); err != nil {
					return nil, err
				}
			}
		}
	}
	return e, nil
}

// listen starts a server on a free loopback port.
func listen(h fasthttp.RequestHandler) (listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return listener{}, err
	}
	s := &fasthttp.Server{Handler: h, MaxRequestBodySize: 8 << 20}
	go func() { _ = s.Serve(l) }()
	return listener{address: l.Addr().String(), server: s}, nil
}

// Stop shuts down all servers and workers.
func (e *Estate) Stop() {
	for _, l := range []listener{e.store, e.cloud, e.adviser} {
		_ = l.server.Shutdown()
	}
	for _, w := range e.Workers() {
		w.shutDown(endGone)
	}
}

// StoreAddress returns the address of the store.
func (e *Estate) StoreAddress() string { return e.store.address }

// CloudAddress returns the address of the API that lists, moves and maintains machines.
func (e *Estate) CloudAddress() string { return e.cloud.address }

// AdviceAddress returns the address of the adviser.
func (e *Estate) AdviceAddress() string { return e.adviser.address }

// startWorker starts a worker on a machine and registers it; mu is held once New has
// returned.
func (e *Estate) startWorker(m *machine) error {
	e.lastID++
	w, err := newWorker(e, fmt.Sprintf("i-%03d", e.lastID), m.pool, m.id, "127.0.0.1:0")
	if err != nil {
		return err
	}
	m.worker, m.state = w, "up"
	e.workers[w.id] = w
	e.Log.Put("keyed.servers", w.id, w.registration("ready"))
	return nil
}

// Workers returns the workers that run now.
func (e *Estate) Workers() []*Worker {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []*Worker
	for _, w := range e.workers {
		out = append(out, w)
	}
	return out
}

// Crash stops a worker without notice and removes its registration.
func (e *Estate) Crash(w *Worker) {
	w.shutDown(endCrashed)
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.workers, w.id)
	e.Log.Put("keyed.servers", w.id, nil)
}

// Restart crashes a worker and starts it again after a time, under its id and at its address. The registry
// shows the next incarnation after a further time. It returns the next incarnation, or nil if the worker has
// ended already, or its machine was ordered away meanwhile.
func (e *Estate) Restart(w *Worker, down, unregistered time.Duration) (*Worker, error) {
	if !w.stopRuns(endCrashed) {
		return nil, nil
	}
	// The next incarnation needs the address. Shutdown waits for open calls, which may take longer.
	_ = w.listener.Close()
	release, err := reserveAddress(w.address)
	if err != nil {
		return nil, err
	}
	defer release()
	go func() { _ = w.server.Shutdown() }()
	time.Sleep(down)
	next, err := newWorker(e, w.id, w.service, w.machine, w.address)
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	if e.workers[w.id] != w || e.machines[w.machine].worker != w {
		e.mu.Unlock()
		next.shutDown(endGone)
		return nil, nil
	}
	e.workers[w.id], e.machines[w.machine].worker = next, next
	e.mu.Unlock()
	e.logEvent("%s restarted, after %s", next.incarnation(), w.incarnation())
	time.AfterFunc(unregistered, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.workers[w.id] == next {
			e.Log.Put("keyed.servers", next.id, next.registration("ready"))
		}
	})
	return next, nil
}

// taskTime returns the duration of a task's runs.
func (e *Estate) taskTime(task string) time.Duration {
	if e.cfg.LongTaskShare == 0 {
		return e.cfg.TaskTime
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(task))
	if h.Sum32()%e.cfg.LongTaskShare == 0 {
		return e.cfg.LongTaskTime
	}
	return e.cfg.TaskTime
}

// Workspace is a workspace of the configuration.
type Workspace struct {
	Name string
	Keys []string
	// Weight is its share, and MaxCount its quota; an empty quota has no limit.
	Weight   float64
	MaxCount map[string]any
}

// SetWorkspaces sets the workspaces of the configurations that are published from now on.
func (e *Estate) SetWorkspaces(workspaces []Workspace) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.workspaces = workspaces
}

// PublicPath is what the path of a service's public queue has before the service's name.
const PublicPath = "/open-"

// PublishConfiguration publishes a configuration with a queue for each service but the spare one, at
// the host "jobs.example" and the path of the service's name. If there are workspaces, each service also has a
// public queue. The adviser decides on the steps of the services in advised.
func (e *Estate) PublishConfiguration(advised ...string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version++
	var routes, services []map[string]any
	for service := range e.cfg.Services {
		services = append(services, map[string]any{"Name": service, "AdmissionControl": true, "Spare": service == e.cfg.Spare})
		if service == e.cfg.Spare {
			continue
		}
		r := map[string]any{
			"Name": "r-" + service, "Host": "jobs.example", "PathPrefix": "/" + service + "/", "Kind": "unsafe", "TimeoutMs": 3000,
			"TargetLatencyMs": 600, "Priority": 0, "Service": service, "MaxAttempts": maxAttempts, "Stretch": 1.6,
		}
		for _, a := range advised {
			if a == service {
				r["Advice"] = map[string]any{"DecideMs": 1, "EachMs": 0.1, "ValidMs": 3000}
			}
		}
		routes = append(routes, r)
		if len(e.workspaces) > 0 {
			public := maps.Clone(r)
			public["Name"], public["PathPrefix"], public["Public"] = "r-open-"+service, PublicPath+service+"/", true
			routes = append(routes, public)
		}
	}
	c := map[string]any{
		"Version": e.version, "Routes": routes, "Services": services,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 65536, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
	if len(e.workspaces) > 0 {
		var tenants []map[string]any
		for _, w := range e.workspaces {
			t := map[string]any{"Name": w.Name, "ApiKeys": w.Keys, "Priority": 1, "Weight": w.Weight}
			if w.MaxCount != nil {
				t["MaxCount"] = w.MaxCount
			}
			tenants = append(tenants, t)
		}
		c["Tenants"] = tenants
	}
	b, err := json.Marshal(c)
	if err != nil {
		panic(fmt.Sprintf("encoding a configuration failed: %s", err))
	}
	e.Log.Put("keyed.op", "config", b)
}

// RequestMaintenance stores a request of maintenance (a wave) that names all machines.
func (e *Estate) RequestMaintenance(wave int, duration float64, maxCount int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var ids []string
	for id := range e.machines {
		ids = append(ids, id)
	}
	b, err := json.Marshal(map[string]any{"Wave": wave, "Machines": ids, "DurationS": duration, "MaxCount": maxCount})
	if err != nil {
		panic(fmt.Sprintf("encoding a maintenance wave failed: %s", err))
	}
	e.Log.Put("keyed.op", fmt.Sprintf("wave/%d", wave), b)
}

// Pools counts the machines of each pool.
func (e *Estate) Pools() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := make(map[string]int)
	for _, m := range e.machines {
		counts[m.pool]++
	}
	return counts
}

// handleCloud lists machines, or moves or maintains one. It rejects a call with an older
// fencing token than the machine has seen.
func (e *Estate) handleCloud(rc *fasthttp.RequestCtx) {
	if string(rc.Path()) == "/v1/machines" {
		e.listMachines(rc)
		return
	}
	var body struct {
		Machine string
		Pool    string
		Wave    int
	}
	if err := json.Unmarshal(rc.PostBody(), &body); err != nil {
		rc.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	token, err := strconv.ParseInt(string(rc.Request.Header.Peek("X-Godwitcross-Fencing-Token")), 10, 64)
	if err != nil || len(rc.Request.Header.Peek("X-Godwitcross-Lease-Holder")) == 0 {
		rc.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.machines[body.Machine]
	switch {
	case m == nil:
		rc.SetStatusCode(fasthttp.StatusBadRequest)
	case token < e.fencingTokens[m.id]:
		reply(rc, fasthttp.StatusConflict, map[string]string{"Reason": "fence"})
	case m.state != "up":
		e.fencingTokens[m.id] = token
		reply(rc, fasthttp.StatusConflict, map[string]string{"Reason": "busy"})
	default:
		e.fencingTokens[m.id] = token
		e.takeDown(m, body.Pool)
		rc.SetStatusCode(fasthttp.StatusOK)
	}
}

// takeDown takes a machine down for a move to a pool, or for maintenance if pool is empty;
// mu is held. The machine is up again after MoveTime.
func (e *Estate) takeDown(m *machine, pool string) {
	m.state = "upkeep"
	if pool != "" {
		m.state, m.pool = "moving", pool
	}
	if w := m.worker; w != nil {
		m.worker = nil
		delete(e.workers, w.id)
		e.Log.Put("keyed.servers", w.id, nil)
		// In a goroutine, as shutDown waits for the worker's lock: a call that starts a run may
		// hold that lock and wait for mu.
		go w.shutDown(endGone)
	}
	time.AfterFunc(e.cfg.MoveTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		m.state = "up"
		if m.pool != e.cfg.Spare {
			_ = e.startWorker(m)
		}
	})
}

// listMachines answers with all machines on one page.
func (e *Estate) listMachines(rc *fasthttp.RequestCtx) {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := []map[string]any{}
	for _, m := range e.machines {
		row := map[string]any{"Machine": m.id, "Pool": m.pool, "State": m.state, "Zone": "z1", "Labels": []string{"a", "r1"}, "Capacity": e.cfg.Capacity}
		if m.worker != nil {
			row["Id"] = m.worker.id
		}
		list = append(list, row)
	}
	reply(rc, fasthttp.StatusOK, map[string]any{"Machines": list, "NextToken": nil})
}

// handleAdvice allows the first of the workers that a request names and every second one
// after it.
func (e *Estate) handleAdvice(rc *fasthttp.RequestCtx) {
	var body struct {
		Step    string
		Workers []string
	}
	if err := json.Unmarshal(rc.PostBody(), &body); err != nil || body.Step == "" {
		rc.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	allowed := [][2]string{}
	for i, w := range body.Workers {
		if i%2 == 0 {
			allowed = append(allowed, [2]string{w, "t-" + body.Step + "-" + w})
		}
	}
	reply(rc, fasthttp.StatusOK, map[string]any{"Good": allowed, "ValidMs": 3000})
}
