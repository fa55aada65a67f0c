package leader

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/entry/metric"
	"github.com/godwitcross/godwitcross/entry/relay"
	"github.com/godwitcross/godwitcross/entry/store"
	"github.com/godwitcross/godwitcross/fleet/job"
	"github.com/godwitcross/godwitcross/fleet/queue"
	"github.com/godwitcross/godwitcross/fleet/scheduling"
)

// memoryStore is a store in memory with fences.
type memoryStore struct {
	mu      sync.Mutex
	streams map[store.Stream][]store.Record
	epochs  map[store.Stream]int64
	changed chan struct{}
	// deaf stores answer no read that waits.
	deaf bool
}

func newMemoryStore() *memoryStore {
	return &memoryStore{streams: make(map[store.Stream][]store.Record), epochs: make(map[store.Stream]int64), changed: make(chan struct{})}
}

// Append adds records unless a higher epoch was seen.
func (m *memoryStore) Append(_ context.Context, a store.Append) (store.Appended, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if f := a.Fence; f != nil {
		if f.Epoch < m.epochs[a.Stream] {
			return store.Appended{}, store.ErrFenced
		}
		m.epochs[a.Stream] = f.Epoch
	}
	out := store.Appended{Offset: int64(len(m.streams[a.Stream]))}
	for _, r := range a.Records {
		r.Offset = int64(len(m.streams[a.Stream]))
		m.streams[a.Stream] = append(m.streams[a.Stream], r)
	}
	close(m.changed)
	m.changed = make(chan struct{})
	return out, nil
}

// Read waits for records.
func (m *memoryStore) Read(ctx context.Context, s store.Stream, from int64, wait time.Duration) (store.Page, error) {
	timeout := time.After(wait)
	for {
		m.mu.Lock()
		all, changed, deaf := m.streams[s], m.changed, m.deaf && wait > 0
		m.mu.Unlock()
		if !deaf && int64(len(all)) > from {
			return store.Page{Records: all[from:], Next: int64(len(all))}, nil
		}
		if wait == 0 {
			return store.Page{Next: from}, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return store.Page{Next: from}, nil
		case <-ctx.Done():
			return store.Page{}, ctx.Err()
		}
	}
}

// Newest returns the newest record of each key.
func (m *memoryStore) Newest(_ context.Context, s store.Stream) (store.Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	newest := make(map[string]store.Record)
	for _, r := range m.streams[s] {
		newest[r.Key] = r
	}
	page := store.Page{Next: int64(len(m.streams[s]))}
	for _, r := range newest {
		if len(r.Value) > 0 {
			page.Records = append(page.Records, r)
		}
	}
	return page, nil
}

// fakeWorkers accepts everything and notes the starts.
type fakeWorkers struct {
	mu     sync.Mutex
	starts []scheduling.Start
}

// Start notes a start.
func (f *fakeWorkers) Start(_ context.Context, o scheduling.Start) scheduling.Answer {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts = append(f.starts, o)
	return scheduling.Answer{Outcome: scheduling.Accepted, ClockMs: 5}
}

// Stop accepts.
func (f *fakeWorkers) Stop(context.Context, scheduling.Stop) scheduling.Answer {
	return scheduling.Answer{Outcome: scheduling.Accepted, ClockMs: 5}
}

// Pace accepts.
func (f *fakeWorkers) Pace(context.Context, scheduling.Pace) scheduling.Answer {
	return scheduling.Answer{Outcome: scheduling.Accepted, ClockMs: 5}
}

// Hold lists nothing.
func (f *fakeWorkers) Hold(context.Context, scheduling.Hold) (scheduling.Answer, scheduling.Report) {
	return scheduling.Answer{Outcome: scheduling.Accepted, ClockMs: 5}, scheduling.Report{ClockMs: 5}
}

func (f *fakeWorkers) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.starts)
}

type noHosts struct{}

// List lists none.
func (noHosts) List(context.Context) ([]scheduling.Host, error) { return nil, nil }

// Move is busy.
func (noHosts) Move(context.Context, scheduling.Move) scheduling.Outcome { return scheduling.Busy }

// Maintain is busy.
func (noHosts) Maintain(context.Context, scheduling.Maintain) scheduling.Outcome {
	return scheduling.Busy
}

// fixedDecoder reads each operators' record as one configuration and each worker's as
// one worker.
type fixedDecoder struct{}

// Publication returns the configuration.
func (fixedDecoder) Publication(store.Record) (Publication, error) {
	return Publication{Configuration: queue.New(1, []queue.Queue{{Name: "q", Pool: "p", MaxAttempts: 1}}, []queue.Pool{{Name: "p"}}, queue.Limits{})}, nil
}

// Worker returns the worker.
func (fixedDecoder) Worker(r store.Record) (scheduling.Entry, error) {
	return scheduling.Entry{Incarnation: scheduling.Incarnation{ID: scheduling.WorkerID(r.Key)}, Pool: "p", Address: "w", Capacity: job.Resources{CPU: 64000}}, nil
}

// WorkerID returns the key.
func (fixedDecoder) WorkerID(r store.Record) scheduling.WorkerID { return scheduling.WorkerID(r.Key) }

// WaveStatus writes nothing.
func (fixedDecoder) WaveStatus(scheduling.ReportWave) (store.Record, error) {
	return store.Record{Key: "k"}, nil
}

func newLeader(m *memoryStore, w *fakeWorkers, epoch int64) *Leader {
	log, _ := test.NewNullLogger()
	return New(Config{
		Self: relay.Peer{Name: "a"}, Store: m, Workers: w, Hosts: noHosts{}, Decoder: fixedDecoder{}, Log: log,
		Metrics: metric.NewRegistry(), Now: time.Now, Wall: func() int64 { return time.Now().UnixMilli() },
		Scheduling: scheduling.Config{Lease: 4 * time.Second, Grace: 6 * time.Second, HostLease: time.Second, Retention: time.Minute},
		Peers:      func() []relay.Peer { return nil }, Published: func(*queue.Configuration) {},
	}, epoch, 0)
}

// run starts a leader and returns what it ends with.
func run(t *testing.T, s *Leader) <-chan error {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	t.Cleanup(cancel)
	return ended
}

func put(t *testing.T, m *memoryStore, s store.Stream, key, value string) {
	t.Helper()
	_, err := m.Append(context.Background(), store.Append{Stream: s, Records: []store.Record{{Key: key, Value: []byte(value)}}})
	require.NoError(t, err)
}

func putJob(t *testing.T, m *memoryStore, id job.ID) {
	t.Helper()
	j := job.Job{ID: id, Queue: "q", Pool: "p", Version: 1, Steps: []job.Step{{Count: 1, Room: job.Resources{CPU: 1}}}}
	b, err := j.Encode()
	require.NoError(t, err)
	put(t, m, store.Work, AcceptedKey(id), string(b))
}

const (
	firstJob  = job.ID("00000000000000a1")
	secondJob = job.ID("00000000000000a2")
)

// A new owner shuts out the one before in both streams that prove ownership, and marks
// where it took over.
func TestTakeOverFencesPreviousLeader(t *testing.T) {
	m := newMemoryStore()
	_, err := newLeader(m, &fakeWorkers{}, 5).takeOver(context.Background())
	require.NoError(t, err)
	page, err := m.Newest(context.Background(), store.Work)
	require.NoError(t, err)
	require.Equal(t, []store.Record{{Key: keyLeader, Value: []byte("5")}}, page.Records)
	for stream, name := range map[store.Stream]string{store.Progress: producer, store.Leader: "Owner"} {
		_, err := m.Append(context.Background(), store.Append{Stream: stream, Fence: &store.Fence{Producer: name, Epoch: 4}})
		require.ErrorIs(t, err, store.ErrFenced, string(stream))
	}
}

// An owner stops at a later owner's mark: jobs after it are not its own, also where
// nothing else has fenced it yet.
func TestStopsAtMarkOfLaterLeader(t *testing.T) {
	m, w := newMemoryStore(), &fakeWorkers{}
	put(t, m, store.Operator, "config", "x")
	put(t, m, store.Workers, "w1", "x")
	ended := run(t, newLeader(m, w, 5))
	putJob(t, m, firstJob)
	require.Eventually(t, func() bool { return w.count() == 1 }, 5*time.Second, time.Millisecond)
	put(t, m, store.Work, keyLeader, "4")
	putJob(t, m, firstJob)
	put(t, m, store.Work, keyLeader, "6")
	putJob(t, m, secondJob)
	require.ErrorIs(t, <-ended, ErrFenced)
	require.Equal(t, 1, w.count())
}

// A job that another host has accepted a moment ago is known, although the tail has
// not brought it yet.
func TestStateCatchesUpBeforeUnknown(t *testing.T) {
	m := newMemoryStore()
	s := newLeader(m, &fakeWorkers{}, 5)
	run(t, s)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	a, err := s.State(ctx, firstJob)
	require.NoError(t, err)
	require.False(t, a.Known)
	m.mu.Lock()
	m.deaf = true
	m.mu.Unlock()
	putJob(t, m, firstJob)
	a, err = s.State(ctx, firstJob)
	require.NoError(t, err)
	require.True(t, a.Known)
}

// A start that waited for its turn too long is not sent: what decided it may not hold.
func TestOldStartIsNotSent(t *testing.T) {
	w := &fakeWorkers{}
	s := newLeader(newMemoryStore(), w, 5)
	now := time.Now()
	s.start(context.Background(), scheduling.Start{}, now.Add(-2*maxStartAge))
	require.Zero(t, w.count())
	s.start(context.Background(), scheduling.Start{}, now)
	require.Equal(t, 1, w.count())
}

// What a new owner takes up from each kind of record; one that can't be read is
// skipped, and the others hold.
func TestRestoredState(t *testing.T) {
	log, _ := test.NewNullLogger()
	s := New(Config{Log: log, Metrics: metric.NewRegistry()}, 5, 1)
	got := s.restoredState(map[store.Stream]store.Page{store.Progress: {Records: []store.Record{
		{Key: scheduling.HostPrefix + "m-1", Value: []byte("1")},
		{Key: scheduling.HostPrefix + "m-2"},
		{Key: scheduling.RegistryPrefix + "w-1", Value: []byte(`{"ID":"w-1"}`)},
		{Key: scheduling.RegistryPrefix + "w-2", Value: []byte(`{`)},
		{Key: scheduling.WavePrefix + "3", Value: []byte(`{"Number":3}`)},
		{Key: scheduling.WavePrefix + "x", Value: []byte(`{}`)},
	}}})
	require.Equal(t, []scheduling.HostID{"m-1"}, got.Reserved)
	require.Len(t, got.Registry, 1)
	require.Contains(t, got.Waves, int64(3))
	require.Len(t, got.Waves, 1)
}
