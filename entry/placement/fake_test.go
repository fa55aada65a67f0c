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

// fakeLog is a log whose records reach the board at once.
type fakeLog struct {
	mu  sync.Mutex
	n   journal.Offset
	out chan platform.Batch
	// lost and refused count appends whose answer is lost after their effect, and
	// that have no effect.
	lost, refused int
}

func (l *fakeLog) Append(_ context.Context, _ journal.StreamID, r journal.Record) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refused > 0 {
		l.refused--
		return platform.ErrNotAppended
	}
	raw, err := r.Encode()
	if err != nil {
		return err
	}
	l.out <- platform.Batch{First: l.n, End: l.n + 1, Records: []json.RawMessage{raw}}
	l.n++
	if l.lost > 0 {
		l.lost--
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
	until, ends time.Time
}

// fakeWorker keeps the promises of the platform's workers.
type fakeWorker struct {
	boot int
	gone bool
	// closed workers refuse new tasks; refused counts these.
	closed  bool
	refused int
	epoch   journal.Epoch
	tasks   map[placement.TaskID]*fakeTask
}

// fakeWorkers is all workers of the data centre.
type fakeWorkers struct {
	mu  sync.Mutex
	now time.Time
	all map[inventory.WorkerID]*fakeWorker
	// runTime is how long each task runs.
	runTime time.Duration
	// lost and cut count calls whose answer is lost after their effect, and that
	// have no effect.
	lost, cut int
	// runs counts executions of each job from its beginning.
	runs map[string]int
	// late are starts that were cut off and arrive when arrive is called.
	late []func()
}

func newFakeWorkers(n int, now time.Time) *fakeWorkers {
	f := &fakeWorkers{now: now, all: make(map[inventory.WorkerID]*fakeWorker), runTime: time.Hour, runs: make(map[string]int)}
	for i := range n {
		f.all[inventory.WorkerID(fmt.Sprintf("w%d", i))] = &fakeWorker{tasks: make(map[placement.TaskID]*fakeTask)}
	}
	return f
}

// advance moves tasks on to the present moment.
func (f *fakeWorkers) advance(w *fakeWorker) {
	for _, t := range w.tasks {
		running := t.State == platform.TaskRunning || t.State == platform.TaskThrottled
		switch {
		case !running:
		case !t.ends.After(f.now) && !t.ends.After(t.until):
			t.State = platform.TaskDone
		case !t.until.After(f.now):
			t.State = platform.TaskStopped
		}
	}
}

// call runs a command under the epoch with the faults in force.
func (f *fakeWorkers) call(id inventory.WorkerID, epoch journal.Epoch, do func(*fakeWorker) error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.all[id]
	if w.gone {
		return platform.ErrUncertain
	}
	if f.cut > 0 {
		f.cut--
		f.late = append(f.late, func() { _ = f.apply(w, epoch, do) })
		return platform.ErrUncertain
	}
	err := f.apply(w, epoch, do)
	if f.lost > 0 {
		f.lost--
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

// arrive lets the calls arrive that were cut off.
func (f *fakeWorkers) arrive() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, do := range f.late {
		do()
	}
	f.late = nil
}

// restart ends all tasks of a worker and forgets them.
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
			t = &fakeTask{Task: platform.Task{ID: task, State: platform.TaskRunning, Starts: 1, Peak: s.Size}, until: f.now.Add(s.Term), ends: f.now.Add(f.runTime)}
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
				t.until = f.now.Add(c.Term)
			}
			out.Tasks[task] = t.Task
		}
		return nil
	})
	return out, err
}

// site is a data centre's placement over the fakes, in virtual time.
type site struct {
	t       require.TestingT
	log     *fakeLog
	workers *fakeWorkers
	board   *Board
	now     time.Time
	holders map[string]*filler
	epochs  map[string]journal.Epoch
	records int
	// failed is the error of the last tick.
	failed error
	stop   func()
}

func newSite(t require.TestingT, workers int) *site {
	s := &site{t: t, now: time.Unix(1_700_000_000, 0), holders: make(map[string]*filler), epochs: make(map[string]journal.Epoch)}
	s.log = &fakeLog{out: make(chan platform.Batch, batchQueue)}
	s.workers = newFakeWorkers(workers, s.now)
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	cfg := Config{
		Log: quiet, Name: "e1", DataCentre: "Palermo", Metrics: metric.NewRegistry(), Records: s.log, Workers: s.workers,
		Fleet: view.NewBox(fleetState(workers)), Hosts: view.NewBox(hostList(workers)),
		EntryHosts: func() []inventory.EntryID { return []inventory.EntryID{"e1"} },
	}
	s.board = newBoard(cfg, "Jobs.Palermo", s.log.out)
	s.board.refreshLayout()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.board.Run(ctx)
	}()
	s.stop = func() { cancel(); <-ended }
	for _, name := range []string{"e1", "e2"} {
		s.holders[name] = newFiller(cfg, s.board)
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
	// One listed host is not in the configuration.
	l := inventory.HostList{At: time.Unix(1, 0), Hosts: []inventory.ListedHost{
		{ID: "stranger", Role: inventory.RoleWorker, State: inventory.HostLive, DataCentre: "Palermo"},
	}}
	for i := range workers {
		l.Hosts = append(l.Hosts, inventory.ListedHost{ID: inventory.HostID(fmt.Sprintf("w%d", i)), Role: inventory.RoleWorker, State: inventory.HostLive, DataCentre: "Palermo"})
	}
	return l
}

// record adds a record that no duty guards.
func (s *site) record(kind journal.Kind, body any) {
	s.records++
	r, err := journal.NewRecord(journal.RecordID(fmt.Sprint("r", s.records)), kind, s.now, "e1", body)
	require.NoError(s.t, err)
	lost, refused := s.log.lost, s.log.refused
	s.log.lost, s.log.refused = 0, 0
	v, err := s.board.Record(context.Background(), s.log, r)
	s.log.lost, s.log.refused = lost, refused
	require.NoError(s.t, err)
	require.Equal(s.t, journal.Accepted, v.Outcome, v.Reason)
}

// claim gives the duty to a holder with a new epoch.
func (s *site) claim(name string) {
	h := s.board.Progress().Holdings[DutyPlacement]
	s.record(lease.KindClaim, lease.Claim{Duty: DutyPlacement, Holder: inventory.EntryID(name), From: h.Epoch, Seen: h.Renewed})
	s.epochs[name] = h.Epoch + 1
}

// tick lets a holder work under the epoch that it last claimed.
func (s *site) tick(name string) {
	s.failed = s.holders[name].Tick(context.Background(), s.now, s.epochs[name])
}

func (s *site) pass(d time.Duration) {
	s.now = s.now.Add(d)
	s.workers.mu.Lock()
	defer s.workers.mu.Unlock()
	s.workers.now = s.now
}

func (s *site) submit(id string, idempotent bool) {
	s.record(placement.KindSubmit, placement.Submit{Jobs: []configuration.Job{{
		ID: inventory.JobID(id), Owner: "Campanella", Team: "Rendering", Labels: label.Set{"Pool": "Bells"}, Template: "ring", Command: id,
		Declared: inventory.Size{Cores: 2000, Memory: inventory.Gibibyte}, Idempotent: idempotent,
	}}})
}

func (s *site) job(id string) placement.Job {
	var j placement.Job
	require.NoError(s.t, s.board.Do(context.Background(), func(r *placement.Reducer, _ *placement.Scheduler) {
		if found, ok := r.Job(inventory.JobID(id)); ok {
			j = *found
		}
	}))
	return j
}
