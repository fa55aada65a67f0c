package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/entry/clock"
	"github.com/godwitcross/godwitcross/standin/estate"
	"github.com/godwitcross/godwitcross/standin/local"
)

// ErrViolation is returned if the soak found a violated guarantee.
var ErrViolation = eris.New("a guarantee was violated")

const (
	// submitInterval is the pause between two submissions; states are read twice as often.
	submitInterval = 60 * time.Millisecond
	// readyTime bounds the time until all hosts are ready. finishTime bounds the time until
	// all jobs have ended after the last fault: a lease, a grace period and two takeovers.
	readyTime  = 20 * time.Second
	finishTime = 40 * time.Second
	// configTime is when a configuration is in force on all hosts at the latest, after its acknowledgement.
	configTime = 3 * time.Second
	// maxFaultGap is the longest pause between the starts of two faults, so faults overlap.
	maxFaultGap = 1500 * time.Millisecond
	// maxFaultTime is the longest duration of a fault before the least one, 200 ms, is added.
	maxFaultTime = 4 * time.Second
	taskTime     = 200 * time.Millisecond
	// One in longTaskShare tasks takes longTaskTime, so that it outlasts the fault that hits its worker.
	longTaskTime  = 4 * time.Second
	longTaskShare = 12
	// One in repeatShare submissions arrives again, minRepeatDelay to maxRepeatDelay after it was
	// accepted.
	repeatShare    = 8
	minRepeatDelay = time.Second
	// waitingInterval is the pause between two reads of the number of waiting jobs.
	waitingInterval = 20 * time.Millisecond
	maxRepeatDelay  = 6 * time.Second
	// minCrashes is under how many crashed workers a task may be given up, by the users' rules.
	minCrashes   = 2
	stepsPerJob  = 2
	tasksPerStep = 3
	// timeFormat is the format of times in the output and in the log of the workers.
	timeFormat = "15:04:05.000"
)

// Config configures a soak.
type Config struct {
	// Seed seeds the random choice of faults, jobs and hosts.
	Seed int64
	// Duration is how long faults are injected.
	Duration time.Duration
	Hosts    int
	Workers  int
	// RestartWorkers adds workers that restart under their ids and are cut off soon after, and long tasks.
	RestartWorkers bool
	// LateOrders is the share of orders that workers leave unanswered and carry out seconds later.
	LateOrders float64
	// Retention is how long the state of an ended job can be read. It must be longer than submissions
	// are repeated, maxRepeatDelay, and then stored, or a repeated job may run again.
	Retention time.Duration
	// Keys has the callers use the keys of workspaces, and adds and removes keys.
	Keys bool
	// Binary is the path of an entry host's program.
	Binary string
	// Dir holds settings and logs. It is removed if the soak found no violation.
	Dir string
	Out io.Writer
}

// job is a job as its caller sees it.
type job struct {
	path string
	id   string
	// workspace is the one that submits it, and key its key, which is empty if no keys are used.
	workspace int
	key       string
	// isRepeated is set if its submission is repeated after it was accepted.
	isRepeated bool
	// accepted, rejected and unknown count the answers to its submissions.
	accepted, rejected, unknown int
	// submittedAt is when it was first submitted.
	submittedAt time.Time
	// cancelled is set if a cancellation was answered with 200, cancelSent if one was sent.
	cancelled, cancelSent bool
	// isForgotten is set if the job was unknown after the retention.
	isForgotten bool
	// lastState is the last final state that was read, or empty.
	lastState string
}

// body returns the body of the job's submission.
func (j *job) body() string {
	return fmt.Sprintf(`{"Spec":"job %s","Steps":[{"Count":%d,"Cpu":1000,"EstimateMs":200},{"Count":%d,"Cpu":1000,"EstimateMs":200,"After":[0]}]}`, j.id, tasksPerStep, tasksPerStep)
}

// soak is one run of a soak test.
type soak struct {
	cfg       Config
	rng       *rand.Rand
	estate    *estate.Estate
	processes []*process
	// events is the log of the workers.
	events *os.File
	// keyring is nil if no keys are used.
	keyring *keyring

	mu sync.Mutex
	// jobs, with their fields, and violations are guarded by mu while clients or faults run.
	jobs       []*job
	violations []string
	// faults are the disturbances of hosts, probes counts the requests with all sorts of keys, and forbidden holds the
	// jobs that were submitted with a key that isn't valid; guarded by mu.
	faults    []*fault
	probes    probes
	forbidden map[string]string
}

// Run runs a soak and returns ErrBroken if it found a violation.
func Run(ctx context.Context, cfg Config) error {
	s := &soak{cfg: cfg, rng: rand.New(rand.NewSource(cfg.Seed)), forbidden: make(map[string]string)}
	if err := s.setUp(); err != nil {
		return err
	}
	defer s.tearDown()
	if err := s.waitReady(); err != nil {
		return err
	}
	s.estate.DelayOrders(cfg.LateOrders, rand.New(rand.NewSource(cfg.Seed+4)))
	clientCtx, stopClients := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { s.submitJobs(clientCtx, rand.New(rand.NewSource(cfg.Seed+1))) })
	wg.Go(func() { s.readStates(clientCtx, rand.New(rand.NewSource(cfg.Seed+2))) })
	wg.Go(func() { s.readWaiting(clientCtx, rand.New(rand.NewSource(cfg.Seed+3))) })
	if s.keyring != nil {
		wg.Go(func() { s.keyring.change(clientCtx, rand.New(rand.NewSource(cfg.Seed+5))) })
		wg.Go(func() { s.probeKeys(clientCtx, rand.New(rand.NewSource(cfg.Seed+6))) })
	}
	s.injectFaults(ctx)
	if s.keyring != nil {
		clock.Sleep(ctx, calmTime+keyTime)
	}
	s.estate.DelayOrders(0, nil)
	stopClients()
	wg.Wait()
	s.awaitFinalStates(ctx)
	s.awaitLateOrders(ctx)
	return s.evaluate()
}

// setUp starts the platform and the entry hosts, each with a proxy in front of the store.
func (s *soak) setUp() error {
	var err error
	if s.events, err = os.Create(filepath.Join(s.cfg.Dir, "workers.log")); err != nil {
		return eris.Wrap(err, "creating the log of the workers")
	}
	cfg := estate.Config{
		Services: map[string]int{"desk": s.cfg.Workers, "spare": s.cfg.Workers / 2}, Spare: "spare", MaxRuns: 12,
		TaskTime: taskTime,
		Capacity: map[string]any{"Cpu": 64000, "MemMb": 131072, "Gpu": 0}, MoveTime: 300 * time.Millisecond,
		Events: s.events,
	}
	if s.cfg.RestartWorkers {
		cfg.LongTaskTime, cfg.LongTaskShare = longTaskTime, longTaskShare
	}
	s.estate, err = estate.New(cfg)
	if err != nil {
		return err
	}
	if s.cfg.Keys {
		s.keyring = &keyring{estate: s.estate}
		s.keyring.publish()
	} else {
		s.estate.PublishConfiguration()
	}
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
		settings.Bounds.StatusS = s.cfg.Retention.Seconds()
		if s.cfg.Keys {
			settings.Contracts = []string{"tenants"}
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

// tearDown ends all processes, proxies and the platform. A paused process is resumed first.
func (s *soak) tearDown() {
	for _, p := range s.processes {
		p.signal(syscall.SIGCONT)
		p.kill()
		_ = p.proxy.listener.Close()
	}
	s.estate.Stop()
	_ = s.events.Close()
}

func (s *soak) waitReady() error {
	deadline := time.Now().Add(readyTime)
	for _, p := range s.processes {
		for {
			if status, _ := p.ask(s.key(0), fasthttp.MethodGet, "/desk/", ""); status == fasthttp.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return eris.Errorf("an entry host isn't ready after %s; see %s", readyTime, p.logPath)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// key returns the key with which a workspace's jobs are submitted, or nothing if no keys are used.
func (s *soak) key(workspace int) string {
	if s.keyring == nil {
		return ""
	}
	return stableKey(workspace)
}

// ask sends a request about a job with its key, which is always valid.
func (s *soak) ask(p *process, j *job, method, body string) int {
	status, _ := p.ask(j.key, method, j.path, body)
	if status == fasthttp.StatusUnauthorized || status == fasthttp.StatusForbidden || status == fasthttp.StatusNotFound {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.recordViolation("%s %s was answered %d by %s", method, j.id, status, p.callerAddress)
	}
	return status
}

func (s *soak) randomHost(rng *rand.Rand) *process {
	return s.processes[rng.Intn(len(s.processes))]
}

// submitJobs submits jobs until the context ends, each to up to three random hosts until one
// accepts it. Every tenth job on average is cancelled.
func (s *soak) submitJobs(ctx context.Context, rng *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 1; ctx.Err() == nil; n++ {
		j := &job{id: fmt.Sprintf("%016x", n), workspace: n % workspaceCount, key: s.key(n % workspaceCount), submittedAt: time.Now()}
		j.path = "/desk/" + j.id
		hosts := []*process{s.randomHost(rng), s.randomHost(rng), s.randomHost(rng)}
		shouldCancel := rng.Intn(10) == 0
		repeatAfter := time.Duration(0)
		if rng.Intn(repeatShare) == 0 {
			repeatAfter = minRepeatDelay + time.Duration(rng.Int63n(int64(maxRepeatDelay-minRepeatDelay)))
			j.isRepeated = true
		}
		wg.Go(func() {
			s.submitJob(j, hosts, shouldCancel)
			if repeatAfter > 0 && clock.Sleep(ctx, repeatAfter) {
				s.submitAgain(j, hosts[1])
			}
		})
		clock.Sleep(ctx, submitInterval)
	}
}

// submitAgain repeats the submission of a job that was accepted, which remains one job.
func (s *soak) submitAgain(j *job, p *process) {
	s.mu.Lock()
	wasAccepted := j.accepted > 0
	s.mu.Unlock()
	if wasAccepted {
		s.ask(p, j, fasthttp.MethodPost, j.body())
	}
}

// submitJob submits one job to the hosts in turn until one accepts it, and then cancels it if
// shouldCancel is set.
func (s *soak) submitJob(j *job, hosts []*process, shouldCancel bool) {
	s.mu.Lock()
	s.jobs = append(s.jobs, j)
	s.mu.Unlock()
	for _, p := range hosts {
		status := s.ask(p, j, fasthttp.MethodPost, j.body())
		s.mu.Lock()
		switch status {
		case fasthttp.StatusOK:
			j.accepted++
		case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
			j.rejected++
		default:
			j.unknown++
		}
		isAccepted := j.accepted > 0
		s.mu.Unlock()
		if isAccepted {
			break
		}
	}
	if !shouldCancel {
		return
	}
	s.mu.Lock()
	j.cancelSent = true
	s.mu.Unlock()
	if s.ask(hosts[0], j, fasthttp.MethodDelete, "") == fasthttp.StatusOK {
		s.mu.Lock()
		j.cancelled = true
		s.mu.Unlock()
	}
}

// readStates reads and checks the states of random jobs until the context ends.
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

// readWaiting reads the number of waiting jobs until the context ends, without waiting for the answers.
func (s *soak) readWaiting(ctx context.Context, rng *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		p := s.randomHost(rng)
		wg.Go(func() { p.ask(s.key(0), fasthttp.MethodGet, "/desk/", "") })
		clock.Sleep(ctx, waitingInterval)
	}
}

// checkState reads a job's state once and checks it: a final state never changes, and an
// accepted job is never unknown.
func (s *soak) checkState(j *job, p *process) {
	s.mu.Lock()
	wasAccepted := j.accepted > 0
	previous := j.lastState
	s.mu.Unlock()
	state := local.StateWithKey(p.callerAddress, j.key, j.path)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case "completed", "failed", "cancelled":
		if isFinal(previous) && previous != state {
			s.recordViolation("job %s was %s and is %s", j.id, previous, state)
		}
		j.lastState = state
	case "queued", "running":
		if isFinal(previous) {
			s.recordViolation("job %s was %s and is %s", j.id, previous, state)
		}
	case "401", "403", "404":
		s.recordViolation("a lookup of job %s was answered %s by %s", j.id, state, p.callerAddress)
	case "410":
		if wasAccepted && time.Since(j.submittedAt) < s.cfg.Retention {
			s.recordViolation("job %s was accepted and is unknown", j.id)
		}
		j.isForgotten = wasAccepted
	}
}

func isFinal(state string) bool {
	return state == "completed" || state == "failed" || state == "cancelled"
}

// recordViolation records a violated guarantee; mu is held.
func (s *soak) recordViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// awaitFinalStates waits until each accepted job has a final state, at most finishTime.
func (s *soak) awaitFinalStates(ctx context.Context) {
	deadline := time.Now().Add(finishTime)
	for _, j := range s.jobs {
		if j.accepted == 0 {
			continue
		}
		for !s.hasEnded(j) && time.Now().Before(deadline) && ctx.Err() == nil {
			s.checkState(j, s.randomHost(s.rng))
			if !s.hasEnded(j) {
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
}

// awaitLateOrders waits until no order is delayed any more, so that the checks cover all of them.
func (s *soak) awaitLateOrders(ctx context.Context) {
	for s.estate.PendingOrders() > 0 && ctx.Err() == nil {
		clock.Sleep(ctx, 50*time.Millisecond)
	}
}

// hasEnded reports whether a final state of the job was read, or the job is unknown after the retention.
func (s *soak) hasEnded(j *job) bool {
	return isFinal(j.lastState) || j.isForgotten
}

// evaluate checks the final state and the runs of each job, prints the result and returns an
// error if there was a violation.
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
		case j.accepted > 0 && !s.hasEnded(j):
			s.recordViolation("job %s was accepted and is %q at the end", j.id, j.lastState)
		case j.cancelled && j.lastState != "cancelled" && j.lastState != "completed" && j.accepted > 0 && !j.isForgotten:
			s.recordViolation("job %s was cancelled and is %s", j.id, j.lastState)
		case j.lastState == "cancelled" && !j.cancelSent:
			s.recordViolation("job %s is cancelled, and its caller has not cancelled it", j.id)
		case j.lastState == "failed" && s.mostCrashes(j) < minCrashes:
			s.recordViolation("job %s failed without a cause", j.id)
		case isStarted && j.accepted == 0 && j.unknown == 0:
			s.recordViolation("job %s was rejected and ran", j.id)
		case isStarted && spec != "job "+j.id:
			s.recordViolation("job %s ran with the spec %q", j.id, spec)
		case j.lastState == "completed":
			s.checkTasks(j)
		}
	}
	for _, r := range s.estate.RunsAgain() {
		s.recordViolation("task %s run %d started on %s at %s after its end was acknowledged: run %d ended as %s on %s at %s, acknowledged at %s",
			r.Start.Task, r.Start.Run, r.Start.Worker, r.Start.At.Format(timeFormat),
			r.End.Run, r.End.Outcome, r.End.Worker, r.End.At.Format(timeFormat), r.End.AcknowledgedAt.Format(timeFormat))
	}
	for _, o := range s.estate.Overlaps() {
		s.recordViolation("task %s had two runs at the same time: run %d on %s from %s, run %d on %s from %s", o.First.Task,
			o.First.Run, o.First.Worker, o.First.At.Format(timeFormat), o.Second.Run, o.Second.Worker, o.Second.At.Format(timeFormat))
	}
	if s.keyring != nil {
		s.checkKeys()
	}
	late := s.estate.LateOrders()
	fmt.Fprintf(s.cfg.Out, "seed %d: %d jobs, %d completed, %d cancelled, %d starts, %d late orders carried out, %d of them by a later incarnation, %d violations\n",
		s.cfg.Seed, len(s.jobs), counts["completed"], counts["cancelled"], len(s.estate.Starts()), late.Accepted, late.ByLater, len(s.violations))
	for _, v := range s.violations {
		fmt.Fprintln(s.cfg.Out, "  violation:", v)
	}
	if len(s.violations) > 0 {
		return eris.Wrapf(ErrViolation, "%d violations, logs in %s", len(s.violations), s.cfg.Dir)
	}
	return os.RemoveAll(s.cfg.Dir)
}

// mostCrashes returns the most workers that crashed under a task of the job.
func (s *soak) mostCrashes(j *job) int {
	n := 0
	for st := range stepsPerJob {
		for i := range tasksPerStep {
			n = max(n, s.estate.Crashes(fmt.Sprintf("%s.0.%d.%d", j.id, st, i)))
		}
	}
	return n
}

// checkTasks checks that each task of a completed job was done; mu is held.
func (s *soak) checkTasks(j *job) {
	for st := range stepsPerJob {
		for i := range tasksPerStep {
			if t := fmt.Sprintf("%s.0.%d.%d", j.id, st, i); s.estate.Done(t) == 0 {
				s.recordViolation("job %s completed without its task %s", j.id, t)
			}
		}
	}
}
