package main

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/standin/estate"
)

func init() { cases["foreign-entry"] = foreignEntry }

// foreignEntry writes an entry of a service that the configuration doesn't name to the registry, with the machine of a
// worker that runs tasks. The entry names no worker to use, so the worker keeps its tasks.
func foreignEntry(record string, trouble bool) (int, error) {
	const (
		tasks    = 12
		taskTime = 6 * time.Second
		path     = "/desk/00000000000000d1"
		id       = "metering-1"
	)
	b, err := newBed(bedConfig{
		Record: record, Machines: []machine{smallSite, smallSite, smallSite},
		Estate: estate.Config{
			Services: map[string]int{"desk": 3}, TaskTime: taskTime, MaxRuns: 100, MoveTime: 1500 * time.Millisecond,
			Capacity: map[string]any{"Cpu": 64000, "MemMb": 131072, "Gpu": 0},
		},
	})
	if b != nil {
		defer b.close()
	}
	if err != nil {
		return cantRun, err
	}
	time.Sleep(time.Second)
	body := fmt.Sprintf(`{"Spec":"tasks","Steps":[{"Count":%d,"Cpu":5000,"MemMb":64,"EstimateMs":6000}]}`, tasks)
	if status, _ := b.ask(b.hosts[0], fasthttp.MethodPost, path, body); status != fasthttp.StatusOK {
		return cantRun, fmt.Errorf("the job was answered %d", status)
	}
	time.Sleep(time.Second)
	starts := b.estate.Starts()
	if len(starts) != tasks {
		return cantRun, fmt.Errorf("%d of %d tasks have started", len(starts), tasks)
	}
	if trouble {
		stop, err := b.writeForeignEntry(id, b.machineOf(starts[0].Worker))
		if err != nil {
			return cantRun, err
		}
		defer stop()
	}
	state := ""
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline) && state != completed; {
		time.Sleep(time.Second)
		_, state = b.ask(b.hosts[1], fasthttp.MethodGet, path, "")
	}
	time.Sleep(2 * time.Second)
	return b.judgeRuns(tasks), nil
}

// machineOf returns the machine on which an incarnation of a worker runs, by the worker's entry.
func (b *bed) machineOf(incarnation string) string {
	id, _, _ := strings.Cut(incarnation, "@")
	v, _ := b.estate.Log.Get("keyed.servers", id)
	var entry struct{ Machine string }
	_ = json.Unmarshal(v, &entry)
	return entry.Machine
}

// writeForeignEntry writes an entry of the service "metering", and serves its address until stop is called: each call
// is answered 404.
func (b *bed) writeForeignEntry(id, machine string) (stop func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &fasthttp.Server{Handler: func(rc *fasthttp.RequestCtx) {
		b.note("the service metering received %s %s", rc.Method(), rc.Path())
		rc.SetStatusCode(fasthttp.StatusNotFound)
	}}
	go func() { _ = s.Serve(l) }()
	entry, err := json.Marshal(map[string]any{
		"Service": "metering", "Address": l.Addr().String(), "Zone": "z1", "Version": "v3", "Slots": 1, "State": "ready",
		"ColdRemainingMs": 0, "Capacity": map[string]any{"Cpu": 1000, "MemMb": 512, "Gpu": 0}, "Labels": []string{"a", "r1"},
		"Machine": machine, "Seq": 1, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		return nil, err
	}
	b.note("entry %s is written: %s", id, entry)
	b.estate.Log.Put("keyed.servers", id, entry)
	return func() { _ = s.Shutdown() }, nil
}
