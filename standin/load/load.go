// Package load measures what a task costs the leader: it runs two entry hosts as processes on the
// stand-in of package estate, one that leads and one that takes the jobs, and profiles the leader.
package load

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/entry/clock"
	"github.com/godwitcross/godwitcross/platform"
	"github.com/godwitcross/godwitcross/standin/estate"
	"github.com/godwitcross/godwitcross/standin/local"
)

const (
	// A job has the steps of jobBody, one after the other, of tasks that take taskTime.
	tasksPerJob = 13
	jobBody     = `{"Spec":"load","Steps":[{"Count":1,"Cpu":1000,"EstimateMs":500},{"Count":8,"Cpu":1000,"EstimateMs":500,"After":[0]},{"Count":4,"Cpu":1000,"EstimateMs":500,"After":[1]}]}`
	taskTime    = 500 * time.Millisecond
	// lookupInterval is the pause between two lookups of a job by its caller, maxLookups their number.
	lookupInterval = 500 * time.Millisecond
	maxLookups     = 3
	// coresPerWorker is what a worker has, in tasks.
	coresPerWorker = 16
	// settleTime is how long the load is on before the measurement begins.
	settleTime = 4 * time.Second
	readyTime  = 20 * time.Second
	// cpuShare and memoryMB are the settings of the entry hosts.
	cpuShare, memoryMB = 0.8, 536
	retentionS         = 20
)

// Config configures a measurement.
type Config struct {
	// Starts is the number of tasks that start in a second.
	Starts   int
	Duration time.Duration
	// Capacity is what the workers have, as a multiple of what the load needs. Below 1 jobs accumulate. 0 stands
	// for defaultCapacity.
	Capacity float64
	// Dir gets settings, logs and profiles.
	Dir string
}

// defaultCapacity leaves no task without a worker.
const defaultCapacity = 1.5

// Result is what a leader used for tasks.
type Result struct {
	Usage
	// Tasks is the number of tasks that started, Starts that which was asked for in a second.
	Tasks, Starts int
	Parts         []Part
}

// Microseconds returns the processor time of a task.
func (r Result) Microseconds() float64 {
	return float64(r.Processor.Microseconds()) / float64(r.Tasks)
}

// Allocations returns the allocations of a task.
func (r Result) Allocations() float64 {
	return float64(r.Mallocs) / float64(r.Tasks)
}

// Measure measures a leader. The program must call ServeIfChild when it starts.
func Measure(ctx context.Context, cfg Config) (Result, error) {
	r := Result{Starts: cfg.Starts}
	if cfg.Capacity == 0 {
		cfg.Capacity = defaultCapacity
	}
	workers := int(cfg.Capacity*float64(cfg.Starts)*taskTime.Seconds()/coresPerWorker) + 1
	e, err := estate.New(estate.Config{
		Services: map[string]int{"desk": workers, "spare": 1}, Spare: "spare", TaskTime: taskTime, MaxRuns: coresPerWorker,
		Capacity: map[string]any{"Cpu": coresPerWorker * 1000, "MemMb": 131072, "Gpu": 0}, MoveTime: time.Second,
	})
	if err != nil {
		return r, err
	}
	defer e.Stop()
	e.PublishConfiguration()
	var control [2]string
	for i := range control {
		if control[i], err = local.FreeAddress(); err != nil {
			return r, err
		}
	}
	leader, _, err := startHost(cfg.Dir, e, "leader", control[0], control[0])
	if err != nil {
		return r, err
	}
	defer leader.stop()
	callers, address, err := startHost(cfg.Dir, e, "callers", control[0], control[1])
	if err != nil {
		return r, err
	}
	defer callers.stop()
	loadCtx, stopLoad := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { submit(loadCtx, address, cfg.Starts) })
	defer wg.Wait()
	defer stopLoad()
	clock.Sleep(ctx, settleTime)
	before := len(e.Starts())
	if err := leader.begin(); err != nil {
		return r, err
	}
	clock.Sleep(ctx, cfg.Duration)
	if r.Usage, err = leader.end(); err != nil {
		return r, err
	}
	if r.Tasks = len(e.Starts()) - before; r.Tasks == 0 {
		return r, eris.New("no task started")
	}
	r.Parts, err = Split(filepath.Join(cfg.Dir, cpuProfile))
	return r, err
}

// startHost starts an entry host and waits until it is ready. It returns the address for callers.
func startHost(dir string, e *estate.Estate, name, seed, control string) (*child, string, error) {
	s, err := local.Settings(e, name, []string{seed}, control)
	if err != nil {
		return nil, "", err
	}
	s.Limits.CPUShare, s.Limits.MemoryMb, s.Bounds.StatusS = cpuShare, memoryMB, retentionS
	path := filepath.Join(dir, name+".toml")
	if err := writeSettings(path, s); err != nil {
		return nil, "", err
	}
	c, err := startChild(path, dir)
	if err != nil {
		return nil, "", err
	}
	for end := time.Now().Add(readyTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if status, _ := local.SendRequest(s.Listen.Front, fasthttp.MethodGet, "/desk/", ""); status == fasthttp.StatusOK {
			return c, s.Listen.Front, nil
		}
	}
	c.stop()
	return nil, "", eris.Errorf("%s isn't ready after %s", name, readyTime)
}

func writeSettings(path string, s platform.Settings) error {
	f, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "writing settings")
	}
	defer func() { _ = f.Close() }()
	return eris.Wrap(toml.NewEncoder(f).Encode(s), "writing settings")
}

// submit submits jobs at a steady rate until ctx ends.
func submit(ctx context.Context, address string, starts int) {
	var wg sync.WaitGroup
	defer wg.Wait()
	began := time.Now()
	for n := 0; ctx.Err() == nil; {
		for due := int(time.Since(began).Seconds() * float64(starts) / tasksPerJob); n < due; n++ {
			path := fmt.Sprintf("/desk/%016x", n+1)
			wg.Go(func() { runJob(ctx, address, path) })
		}
		clock.Sleep(ctx, 5*time.Millisecond)
	}
}

// runJob submits a job and looks it up a few times.
func runJob(ctx context.Context, address, path string) {
	local.SendRequest(address, fasthttp.MethodPost, path, jobBody)
	for range maxLookups {
		if !clock.Sleep(ctx, lookupInterval) {
			return
		}
		local.State(address, path)
	}
}

// Print prints the usage per task, in the order of the parts of the table.
func (r Result) Print(w io.Writer) {
	n, seconds := float64(r.Tasks), r.Wall.Seconds()
	fmt.Fprintf(w, "%d starts a second ordered, %.0f measured, %d processors\n", r.Starts, n/seconds, runtime.NumCPU())
	fmt.Fprintf(w, "%-22s %6.1f us a task, %.2f of a core\n", "processor time", r.Microseconds(), r.Processor.Seconds()/seconds)
	fmt.Fprintf(w, "%-22s %6.1f a task, %.1f KB a task\n", "allocations", r.Allocations(), float64(r.Bytes)/n/1024)
	fmt.Fprintf(w, "%-22s %6.2f a task\n", "context switches", float64(r.Switches)/n)
	fmt.Fprintf(w, "%-22s %6.0f a second\n", "scheduler rounds", float64(r.Rounds)/seconds)
	fmt.Fprintf(w, "%-22s %6.2f a second, heap %d MB\n", "collections", float64(r.Collections)/seconds, r.Heap>>20)
	for _, p := range r.Parts {
		fmt.Fprintf(w, "  %-20s %6.1f us a task\n", p.Name, p.Share*r.Microseconds())
	}
}
