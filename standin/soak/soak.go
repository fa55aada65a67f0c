package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/entry/clock"
	"github.com/godwitcross/godwitcross/standin/estate"
	"github.com/godwitcross/godwitcross/standin/local"
)

// ErrBroken says that a promise was broken.
var ErrBroken = eris.New("a promise was broken")

const (
	// submitInterval is the pause between two submissions.
	submitInterval = 60 * time.Millisecond
	// readTime is how long all hosts have to become ready, and how long all jobs have
	// after the last fault: a lease, a grace and two takeovers.
	readyTime  = 20 * time.Second
	finishTime = 40 * time.Second
	// maxFaultGap is the longest pause between two faults; they overlap.
	maxFaultGap = 1500 * time.Millisecond
	// maxFaultTime is the longest that a fault lasts.
	maxFaultTime = 4 * time.Second
	taskTime     = 200 * time.Millisecond
	stepsPerJob  = 2
	tasksPerStep = 3
)

// Config is what a soak is built from.
type Config struct {
	// Seed decides the faults and jobs.
	Seed int64
	// Duration is how long faults are injected.
	Duration time.Duration
	Hosts    int
	Workers  int
	// Binary is the program of an entry host.
	Binary string
	// Dir keeps settings and logs.
	Dir string
	Out io.Writer
}

// job is what the soak knows of a job as its caller.
type job struct {
	path string
	id   string
	// accepted, rejected and unknown count the answers to its submissions.
	accepted, rejected, unknown int
	cancelled                   bool
	lastState                   string
}

// soak is one run.
type soak struct {
	cfg       Config
	rng       *rand.Rand
	estate    *estate.Estate
	processes []*process

	mu sync.Mutex
	// jobs and broken are guarded by mu.
	jobs       []*job
	violations []string
}

// Run runs a soak and returns ErrBroken if a promise was.
func Run(ctx context.Context, cfg Config) error {
	s := &soak{cfg: cfg, rng: rand.New(rand.NewSource(cfg.Seed))}
	if err := s.setUp(); err != nil {
		return err
	}
	defer s.tearDown()
	if err := s.waitReady(); err != nil {
		return err
	}
	cctx, stopClients := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { s.submitJobs(cctx, rand.New(rand.NewSource(cfg.Seed+1))) })
	wg.Go(func() { s.readStates(cctx, rand.New(rand.NewSource(cfg.Seed+2))) })
	s.injectFaults(ctx)
	stopClients()
	wg.Wait()
	s.awaitFinalStates(ctx)
	return s.evaluate()
}

// setUp starts the platform and the entry hosts.
func (s *soak) setUp() error {
	var err error
	s.estate, err = estate.New(estate.Config{
		Services: map[string]int{"desk": s.cfg.Workers, "spare": s.cfg.Workers / 2}, Spare: "spare", TaskTime: taskTime, MaxRuns: 12,
		Capacity: map[string]any{"Cpu": 64000, "MemMb": 131072, "Gpu": 0}, MoveTime: 300 * time.Millisecond,
	})
	if err != nil {
		return err
	}
	s.estate.Publish()
	var control []string
	for range s.cfg.Hosts {
		a, err := local.FreeAddress()
		if err != nil {
			return err
		}
		control = append(control, a)
	}
	for i := range s.cfg.Hosts {
		p, err := newProxy(s.estate.StoreAddress())
		if err != nil {
			return err
		}
		settings, err := local.Settings(s.estate, fmt.Sprintf("entry-%d", i+1), control[:min(3, len(control))], control[i])
		if err != nil {
			return err
		}
		proc, err := newProcess(s.cfg.Binary, s.cfg.Dir, settings, p)
		if err != nil {
			return err
		}
		if err := proc.start(); err != nil {
			return err
		}
		s.processes = append(s.processes, proc)
	}
	return nil
}

func (s *soak) tearDown() {
	for _, p := range s.processes {
		p.signal(syscall.SIGCONT)
		p.kill()
		_ = p.proxy.listener.Close()
	}
	s.estate.Stop()
}

func (s *soak) waitReady() error {
	end := time.Now().Add(readyTime)
	for _, p := range s.processes {
		for {
			if status, _ := p.ask(fasthttp.MethodGet, "/desk/", ""); status == fasthttp.StatusOK {
				break
			}
			if time.Now().After(end) {
				return eris.Errorf("an entry host didn't become ready within %s, see %s", readyTime, p.logPath)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (s *soak) randomHost(rng *rand.Rand) *process {
	return s.processes[rng.Intn(len(s.processes))]
}

// submitJobs sends jobs to any host; what has no answer is sent again elsewhere.
func (s *soak) submitJobs(ctx context.Context, rng *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 1; ctx.Err() == nil; n++ {
		j := &job{id: fmt.Sprintf("%016x", n)}
		j.path = "/desk/" + j.id
		tries := []*process{s.randomHost(rng), s.randomHost(rng), s.randomHost(rng)}
		isCancelled := rng.Intn(10) == 0
		wg.Go(func() { s.submitJob(j, tries, isCancelled) })
		clock.Sleep(ctx, submitInterval)
	}
}

// submitJob submits one job, and cancels it if it is to be.
func (s *soak) submitJob(j *job, tries []*process, isCancelled bool) {
	body := fmt.Sprintf(`{"Spec":"job %s","Steps":[{"Count":%d,"Cpu":1000,"EstimateMs":200},{"Count":%d,"Cpu":1000,"EstimateMs":200,"After":[0]}]}`, j.id, tasksPerStep, tasksPerStep)
	s.mu.Lock()
	s.jobs = append(s.jobs, j)
	s.mu.Unlock()
	for _, p := range tries {
		status, _ := p.ask(fasthttp.MethodPost, j.path, body)
		s.mu.Lock()
		switch status {
		case fasthttp.StatusOK:
			j.accepted++
		case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
			j.rejected++
		default:
			j.unknown++
		}
		isDone := j.accepted > 0
		s.mu.Unlock()
		if isDone {
			break
		}
	}
	if !isCancelled {
		return
	}
	if status, _ := tries[0].ask(fasthttp.MethodDelete, j.path, ""); status == fasthttp.StatusOK {
		s.mu.Lock()
		j.cancelled = true
		s.mu.Unlock()
	}
}

// readStates asks for states while faults go on: a final state never changes.
func (s *soak) readStates(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		s.mu.Lock()
		var j *job
		if len(s.jobs) > 0 {
			j = s.jobs[rng.Intn(len(s.jobs))]
		}
		s.mu.Unlock()
		if j != nil {
			s.checkState(j, s.randomHost(rng))
		}
		clock.Sleep(ctx, submitInterval/2)
	}
}

// checkState reads a job's state once and judges it by what is known.
func (s *soak) checkState(j *job, p *process) {
	s.mu.Lock()
	wasAccepted := j.accepted > 0
	before := j.lastState
	s.mu.Unlock()
	state := local.State(p.callerAddress, j.path)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case "completed", "failed", "cancelled":
		if isFinal(before) && before != state {
			s.recordViolation("%s was %s and is %s", j.id, before, state)
		}
		j.lastState = state
	case "queued", "running":
		if isFinal(before) {
			s.recordViolation("%s was %s and is %s", j.id, before, state)
		}
	case "410":
		if wasAccepted {
			s.recordViolation("%s was accepted and isn't known", j.id)
		}
	}
}

func isFinal(state string) bool {
	return state == "completed" || state == "failed" || state == "cancelled"
}

// recordViolation notes a broken promise; mu is held.
func (s *soak) recordViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// awaitFinalStates lets the work end without faults.
func (s *soak) awaitFinalStates(ctx context.Context) {
	end := time.Now().Add(finishTime)
	for _, j := range s.jobs {
		if j.accepted == 0 {
			continue
		}
		for !isFinal(j.lastState) && time.Now().Before(end) && ctx.Err() == nil {
			s.checkState(j, s.randomHost(s.rng))
			if !isFinal(j.lastState) {
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
}

// evaluate counts what was promised and what came.
func (s *soak) evaluate() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	started := make(map[string]string)
	for _, st := range s.estate.Starts() {
		started[st.Task[:16]] = st.Spec
	}
	counts := make(map[string]int)
	for _, j := range s.jobs {
		counts[j.lastState]++
		spec, isStarted := started[j.id]
		switch {
		case j.accepted > 0 && !isFinal(j.lastState):
			s.recordViolation("%s was accepted and is %q at the end", j.id, j.lastState)
		case j.cancelled && j.lastState != "cancelled" && j.lastState != "completed" && j.accepted > 0:
			s.recordViolation("%s was cancelled and is %s", j.id, j.lastState)
		case j.lastState == "failed":
			s.recordViolation("%s is failed without cause", j.id)
		case isStarted && j.accepted == 0 && j.unknown == 0:
			s.recordViolation("%s was rejected and runs", j.id)
		case isStarted && spec != "job "+j.id:
			s.recordViolation("%s runs with the text %q", j.id, spec)
		case j.lastState == "completed":
			s.checkTasks(j)
		}
	}
	for _, t := range s.estate.Doubles() {
		s.recordViolation("%s ran twice at a time", t)
	}
	fmt.Fprintf(s.cfg.Out, "seed %d: %d jobs, %d completed, %d cancelled, %d starts, %d promises broken\n",
		s.cfg.Seed, len(s.jobs), counts["completed"], counts["cancelled"], len(s.estate.Starts()), len(s.violations))
	for _, b := range s.violations {
		fmt.Fprintln(s.cfg.Out, "  broken:", b)
	}
	if len(s.violations) > 0 {
		return eris.Wrapf(ErrBroken, "%d times, logs in %s", len(s.violations), s.cfg.Dir)
	}
	return os.RemoveAll(s.cfg.Dir)
}

func (s *soak) checkTasks(j *job) {
	for st := range stepsPerJob {
		for i := range tasksPerStep {
			if t := fmt.Sprintf("%s.0.%d.%d", j.id, st, i); s.estate.Done(t) == 0 {
				s.recordViolation("%s is completed and %s never was", j.id, t)
			}
		}
	}
}
