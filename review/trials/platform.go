package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	moveTime   = 1500 * time.Millisecond
	upkeepTime = 2 * time.Second
)

// plat is a stand-in for the platform: its store, machines and minions.
type plat struct {
	store        *logStore
	record       *record
	capacity     resources
	spare        string
	storeAddress string
	cloudAddress string
	mu           sync.Mutex
	machines     map[string]*machine
	order        []string
	lastID       int
	fencing      map[string]int64
	version      int
}

type machine struct {
	id, pool, state, zone, rack string
	minion                      *minion
}

// route is a queue of the configuration.
type route struct {
	Name, Host, PathPrefix, Service string
	Priority, MaxAttempts           int
	Stretch                         float64
	TargetLatencyMs                 int
	TimeoutMs                       int
	Kind                            string
}

func newRoute(name, service string) route {
	return route{
		Name: "r-" + name, Host: "jobs.example", PathPrefix: "/" + name + "/", Service: service, MaxAttempts: 4, Stretch: 1.6, TargetLatencyMs: 600,
		TimeoutMs: 3000, Kind: "unsafe",
	}
}

// pool is a service with its number of machines.
type pool struct {
	name     string
	machines int
}

func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String(), nil
}

// newPlatform starts the store and the machines of each pool in three zones. The spare pool's machines
// run no minion.
func newPlatform(rec *record, pools []pool, spare string) (*plat, error) {
	p := &plat{
		store: newLogStore(), record: rec, capacity: resources{Cpu: 64000, MemMb: 131072}, spare: spare,
		machines: make(map[string]*machine), fencing: make(map[string]int64),
	}
	var err error
	if p.storeAddress, err = serve(p.store); err != nil {
		return nil, err
	}
	if p.cloudAddress, err = serve(http.HandlerFunc(p.cloud)); err != nil {
		return nil, err
	}
	for _, s := range pools {
		for i := range s.machines {
			p.lastID++
			m := &machine{
				id: fmt.Sprintf("m-%03d", p.lastID), pool: s.name, state: "up", zone: zones[i%len(zones)], rack: fmt.Sprintf("r%d-%d", i%len(zones), i/12),
			}
			p.machines[m.id] = m
			p.order = append(p.order, m.id)
			if s.name != spare {
				if err := p.startMinion(m); err != nil {
					return nil, err
				}
			}
		}
	}
	go p.heartbeats()
	return p, nil
}

// startMinion starts a minion on a machine and registers it; mu is held once newPlatform has returned.
func (p *plat) startMinion(m *machine) error {
	p.lastID++
	w, err := newMinion(p, fmt.Sprintf("i-%08x", 0x7f3a0000+p.lastID), m)
	if err != nil {
		return err
	}
	m.minion, m.state = w, "up"
	p.store.put("keyed.servers", w.id, w.registration())
	return nil
}

// heartbeats writes the records of all minions at each interval.
func (p *plat) heartbeats() {
	for range time.Tick(heartbeat) {
		p.mu.Lock()
		for _, m := range p.machines {
			if w := m.minion; w != nil {
				p.store.put("keyed.servers", w.id, w.registration())
			}
		}
		p.mu.Unlock()
	}
}

// publish publishes a configuration.
func (p *plat) publish(routes []route, pools []pool) {
	p.mu.Lock()
	p.version += 3
	version := p.version
	p.mu.Unlock()
	services := []map[string]any{}
	for _, s := range pools {
		services = append(services, map[string]any{"Name": s.name, "AdmissionControl": true, "Spare": s.name == p.spare})
	}
	b, _ := json.Marshal(map[string]any{
		"Version": version, "Routes": routes, "Services": services,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	p.store.put("keyed.op", "config", b)
	p.record.note("the operator published version %d: %s", version, routeNames(routes))
}

func routeNames(routes []route) string {
	s := ""
	for _, r := range routes {
		s += r.Name + " to " + r.Service + "; "
	}
	return s
}

// minions returns the minions of a pool in the order of their machines.
func (p *plat) minions(service string) []*minion {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*minion
	for _, id := range p.order {
		if m := p.machines[id]; m.minion != nil && (service == "" || m.pool == service) {
			out = append(out, m.minion)
		}
	}
	return out
}

// cloud lists machines, or moves one or takes it down for its upkeep.
func (p *plat) cloud(w http.ResponseWriter, r *http.Request) {
	time.Sleep(2 * time.Millisecond)
	if r.URL.Path == "/v1/machines" {
		p.listMachines(w)
		return
	}
	var body struct {
		Machine, Pool string
		Wave          int
	}
	token, err := strconv.ParseInt(r.Header.Get("X-Godwitcross-Fencing-Token"), 10, 64)
	if json.NewDecoder(r.Body).Decode(&body) != nil || err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.machines[body.Machine]
	switch {
	case m == nil:
		w.WriteHeader(http.StatusBadRequest)
		return
	case token < p.fencing[m.id]:
		reply(w, http.StatusConflict, map[string]string{"Reason": "fence"})
		return
	case m.state != "up":
		p.fencing[m.id] = token
		reply(w, http.StatusConflict, map[string]string{"Reason": "busy"})
		return
	}
	p.fencing[m.id] = token
	down := upkeepTime
	m.state = "upkeep"
	if body.Pool != "" {
		m.state, m.pool, down = "moving", body.Pool, moveTime
	}
	if old := m.minion; old != nil {
		m.minion = nil
		old.die()
		p.store.put("keyed.servers", old.id, nil)
	}
	time.AfterFunc(down, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		m.state = "up"
		if m.pool != p.spare {
			_ = p.startMinion(m)
		}
	})
	reply(w, http.StatusOK, map[string]any{})
}

func (p *plat) listMachines(w http.ResponseWriter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := []map[string]any{}
	for _, id := range p.order {
		m := p.machines[id]
		row := map[string]any{"Machine": m.id, "Pool": m.pool, "State": m.state, "Zone": m.zone, "Labels": []string{"a", m.rack}, "Capacity": p.capacity, "Id": ""}
		if m.minion != nil {
			row["Id"] = m.minion.id
		}
		list = append(list, row)
	}
	reply(w, http.StatusOK, map[string]any{"Machines": list, "NextToken": nil})
}
