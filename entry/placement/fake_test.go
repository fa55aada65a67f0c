package placement

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/entry/follower"
	"github.com/godwitcross/godwitcross/entry/metric"
	"github.com/godwitcross/godwitcross/entry/platform"
	"github.com/godwitcross/godwitcross/entry/view"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/label"
	"github.com/godwitcross/godwitcross/fleet/lease"
	"github.com/godwitcross/godwitcross/fleet/placement"
	"github.com/godwitcross/godwitcross/fleet/pool"
)

// fakeLog is a log whose records reach the job stream at once.
type fakeLog struct {
	mu   sync.Mutex
	next journal.Offset
	out  chan platform.Batch
	// lostAnswers is how many appends take effect but return no answer; refusedAppends is
	// how many are refused without effect.
	lostAnswers, refusedAppends int
}

func (l *fakeLog) Append(_ context.Context, _ journal.StreamID, r journal.Record) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refusedAppends > 0 {
		l.refusedAppends--
		return platform.ErrNotAppended
	}
	raw, err := r.Encode()
	if err != nil {
		return err
	}
	l.out <- platform.Batch{First: l.next, End: l.next + 1, Records: []json.RawMessage{raw}}
	l.next++
	if l.lostAnswers > 0 {
		l.lostAnswers--
		return platform.ErrUncertain
	}
	return nil
}

func (l *fakeLog) Read(journal.StreamID, journal.Offset, int, time.Duration) (platform.Batch, error) {
	return platform.Batch{}, platform.ErrUnavailable
}

// fakeTask is a task on a fake worker.
type fakeTask struct {
	platform.Task
	leaseEnd, finishAt time.Time
}

// fakeWorker behaves as the platform specifies for its workers.
type fakeWorker struct {
	boot        int
	unreachable bool
	// closed makes the worker refuse new tasks; refused counts the refusals.
	closed  bool
	refused int
	epoch   journal.Epoch
	tasks   map[placement.TaskID]*fakeTask
}

// fakeWorkers is the workers of the data centre.
type fakeWorkers struct {
	mu  sync.Mutex
	now time.Time
	all map[inventory.WorkerID]*fakeWorker
	// runTime is how long each task runs.
	runTime time.Duration
	// lostAnswers is how many calls take effect but return no answer; delayedCalls is how
	// many return no answer and take effect only when deliverDelayed is called.
	lostAnswers, delayedCalls int
	// runs counts the executions of each job that began without a checkpoint.
	runs map[string]int
	// delayed are the calls that deliverDelayed delivers.
	delayed []func()
}

func newFakeWorkers(n int, now time.Time) *fakeWorkers {
	f := &fakeWorkers{now: now, all: make(map[inventory.WorkerID]*fakeWorker), runTime: time.Hour, runs: make(map[string]int)}
	for i := range n {
		f.all[inventory.WorkerID(fmt.Sprintf("w%d", i))] = &fakeWorker{tasks: make(map[placement.TaskID]*fakeTask)}
	}
	return f
}

// advance updates the states of the worker's tasks to the current virtual time.
func (f *fakeWorkers) advance(w *fakeWorker) {
	for _, t := range w.tasks {
		running := t.State == platform.TaskRunning || t.State == platform.TaskThrottled
		switch {
		case !running:
		case !t.finishAt.After(f.now) && !t.finishAt.After(t.leaseEnd):
			t.State = platform.TaskDone
		case !t.leaseEnd.After(f.now):
			t.State = platform.TaskStopped
		}
	}
}

// call runs a command under the epoch with the configured faults.
func (f *fakeWorkers) call(id inventory.WorkerID, epoch journal.Epoch, do func(*fakeWorker) error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.all[id]
	if w.unreachable {
		return platform.ErrUncertain
	}
	if f.delayedCalls > 0 {
		f.delayedCalls--
		f.delayed = append(f.delayed, func() { _ = f.apply(w, epoch, do) })
		return platform.ErrUncertain
	}
	err := f.apply(w, epoch, do)
	if f.lostAnswers > 0 {
		f.lostAnswers--
		return platform.ErrUncertain
	}
	return err
}

func (f *fakeWorkers) apply(w *fakeWorker, epoch journal.Epoch, do func(*fakeWorker) error) error {
	f.advance(w)
	if epoch < w.epoch {
		return platform.ErrRefused
	}
	w.epoch = epoch
	return do(w)
}

// deliverDelayed delivers the delayed calls.
func (f *fakeWorkers) deliverDelayed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, do := range f.delayed {
		do()
	}
	f.delayed = nil
}

// restart ends all tasks of a worker and removes their records.
func (f *fakeWorkers) restart(id inventory.WorkerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.all[id]
	w.boot++
	w.tasks = make(map[placement.TaskID]*fakeTask)
}

func (f *fakeWorkers) Workers(inventory.DataCentreID) ([]platform.WorkerStatus, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []platform.WorkerStatus
	for id, w := range f.all {
		out = append(out, platform.WorkerStatus{Facts: inventory.WorkerInfo{ID: id}, Reboots: w.boot})
	}
	return out, nil
}

func (f *fakeWorkers) StartTask(id inventory.WorkerID, task placement.TaskID, s platform.TaskStart) (platform.Task, error) {
	var out platform.Task
	err := f.call(id, s.Epoch, func(w *fakeWorker) error {
		t, ok := w.tasks[task]
		if !ok && w.closed {
			w.refused++
			return platform.ErrUnavailable
		}
		if !ok && s.Boot != w.boot {
			return platform.ErrRefused
		}
		if !ok {
			t = &fakeTask{Task: platform.Task{ID: task, State: platform.TaskRunning, Starts: 1, Peak: s.Size}, leaseEnd: f.now.Add(s.Term), finishAt: f.now.Add(f.runTime)}
			w.tasks[task] = t
			if s.Resume == "" {
				f.runs[s.Command]++
			}
		}
		out = t.Task
		return nil
	})
	return out, err
}

func (f *fakeWorkers) CommandTask(id inventory.WorkerID, task placement.TaskID, verb placement.Verb, c platform.TaskCommand) (platform.Task, error) {
	var out platform.Task
	err := f.call(id, c.Epoch, func(w *fakeWorker) error {
		t, ok := w.tasks[task]
		if !ok && verb != placement.VerbStop {
			return platform.ErrRefused
		}
		if !ok {
			t = &fakeTask{Task: platform.Task{ID: task, State: platform.TaskStopped}}
			w.tasks[task] = t
		}
		if t.State == platform.TaskRunning || t.State == platform.TaskThrottled {
			t.State = map[placement.Verb]platform.TaskState{
				placement.VerbThrottle: platform.TaskThrottled, placement.VerbCheckpoint: platform.TaskCheckpointed, placement.VerbStop: platform.TaskStopped,
			}[verb]
		}
		out = t.Task
		return nil
	})
	return out, err
}

func (f *fakeWorkers) RenewTasks(id inventory.WorkerID, c platform.TaskCommand) (platform.WorkerStatus, error) {
	var out platform.WorkerStatus
	err := f.call(id, c.Epoch, func(w *fakeWorker) error {
		out = platform.WorkerStatus{Reboots: w.boot, Tasks: make(map[placement.TaskID]platform.Task)}
		for task, t := range w.tasks {
			if t.State == platform.TaskRunning || t.State == platform.TaskThrottled {
				t.leaseEnd = f.now.Add(c.Term)
			}
			out.Tasks[task] = t.Task
		}
		return nil
	})
	return out, err
}

// simulation runs a data centre's placement against the fakes in virtual time.
type simulation struct {
	t       require.TestingT
	log     *fakeLog
	workers *fakeWorkers
	stream  *JobStream
	now     time.Time
	holders map[string]*dispatcher
	epochs  map[string]journal.Epoch
	records int
	// lastErr is the error of the last tick.
	lastErr error
	stop    func()
}

func newSimulation(t require.TestingT, workers int) *simulation {
	s := &simulation{t: t, now: time.Unix(1_700_000_000, 0), holders: make(map[string]*dispatcher), epochs: make(map[string]journal.Epoch)}
	s.log = &fakeLog{out: make(chan platform.Batch, batchQueueSize)}
	s.workers = newFakeWorkers(workers, s.now)
	discard := logrus.New()
	discard.SetOutput(io.Discard)
	cfg := Config{
		Log: discard, Name: "e1", DataCentre: "Palermo", Metrics: metric.NewRegistry(), Records: s.log, Workers: s.workers,
		Fleet: view.NewValue(fleetState(workers)), Hosts: view.NewValue(hostList(workers)),
		EntryHosts: func() []inventory.EntryID { return []inventory.EntryID{"e1"} },
	}
	s.stream = newJobStream(cfg, "Jobs.Palermo", s.log.out)
	s.stream.refreshLayout()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.stream.Run(ctx)
	}()
	s.stop = func() { cancel(); <-ended }
	for _, name := range []string{"e1", "e2"} {
		s.holders[name] = newDispatcher(cfg, s.stream)
	}
	s.claim("e1")
	return s
}

func fleetState(workers int) follower.State {
	jobs, err := label.Parse("Pool=Bells")
	if err != nil {
		panic(err)
	}
	st := follower.State{Pools: &pool.View{Hosts: make(map[inventory.HostID]*pool.Host)}}
	st.Configuration.Version = 1
	st.Configuration.Pools = map[inventory.PoolID]configuration.Pool{"Bells": {Owner: "Campanella", Jobs: jobs}}
	st.Configuration.Teams = map[inventory.TeamID]configuration.Team{"Rendering": {Owner: "Campanella", Weight: 1}}
	st.Configuration.Hosts = make(map[inventory.HostID]configuration.Host)
	for i := range workers {
		id := inventory.HostID(fmt.Sprintf("w%d", i))
		st.Pools.Hosts[id] = &pool.Host{Pool: "Bells", DataCentre: "Palermo"}
		st.Configuration.Hosts[id] = configuration.Host{Owner: "Campanella", DataCentre: "Palermo", Rack: "r1", Size: inventory.Size{Cores: 4000, Memory: 8 * inventory.Gibibyte}}
	}
	return st
}

func hostList(workers int) inventory.HostList {
	// The host "stranger" is not in the configuration.
	l := inventory.HostList{At: time.Unix(1, 0), Hosts: []inventory.ListedHost{
		{ID: "stranger", Role: inventory.RoleWorker, State: inventory.HostLive, DataCentre: "Palermo"},
	}}
	for i := range workers {
		l.Hosts = append(l.Hosts, inventory.ListedHost{ID: inventory.HostID(fmt.Sprintf("w%d", i)), Role: inventory.RoleWorker, State: inventory.HostLive, DataCentre: "Palermo"})
	}
	return l
}

// record appends a record that carries no duty, without faults of the log.
func (s *simulation) record(kind journal.Kind, body any) {
	s.records++
	r, err := journal.NewRecord(journal.RecordID(fmt.Sprint("r", s.records)), kind, s.now, "e1", body)
	require.NoError(s.t, err)
	lost, refused := s.log.lostAnswers, s.log.refusedAppends
	s.log.lostAnswers, s.log.refusedAppends = 0, 0
	v, err := s.stream.Record(context.Background(), s.log, r)
	s.log.lostAnswers, s.log.refusedAppends = lost, refused
	require.NoError(s.t, err)
	require.Equal(s.t, journal.Accepted, v.Outcome, v.Reason)
}

// claim lets a holder claim the duty with a new epoch.
func (s *simulation) claim(name string) {
	h := s.stream.Progress().Holdings[DutyPlacement]
	s.record(lease.KindClaim, lease.Claim{Duty: DutyPlacement, Holder: inventory.EntryID(name), From: h.Epoch, Seen: h.Renewed})
	s.epochs[name] = h.Epoch + 1
}

// tick runs a tick of a holder under the epoch that it last claimed.
func (s *simulation) tick(name string) {
	s.lastErr = s.holders[name].Tick(context.Background(), s.now, s.epochs[name])
}

func (s *simulation) advance(d time.Duration) {
	s.now = s.now.Add(d)
	s.workers.mu.Lock()
	defer s.workers.mu.Unlock()
	s.workers.now = s.now
}

func (s *simulation) submit(id string, idempotent bool) {
	s.record(placement.KindSubmit, placement.Submit{Jobs: []configuration.Job{{
		ID: inventory.JobID(id), Owner: "Campanella", Team: "Rendering", Labels: label.Set{"Pool": "Bells"}, Template: "ring", Command: id,
		Declared: inventory.Size{Cores: 2000, Memory: inventory.Gibibyte}, Idempotent: idempotent,
	}}})
}

func (s *simulation) job(id string) placement.Job {
	var j placement.Job
	require.NoError(s.t, s.stream.Do(context.Background(), func(r *placement.Reducer, _ *placement.Scheduler) {
		if found, ok := r.Job(inventory.JobID(id)); ok {
			j = *found
		}
	}))
	return j
}
