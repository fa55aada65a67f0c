package node

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/entry/backend"
	"github.com/godwitcross/godwitcross/entry/election"
	"github.com/godwitcross/godwitcross/entry/leader"
	"github.com/godwitcross/godwitcross/entry/metric"
	"github.com/godwitcross/godwitcross/entry/relay"
	"github.com/godwitcross/godwitcross/entry/store"
	"github.com/godwitcross/godwitcross/fleet/job"
	"github.com/godwitcross/godwitcross/fleet/queue"
)

// fakeStore has an owner and answers as it is told.
type fakeStore struct {
	store.Store
	err error
	// takes is how long an append takes.
	takes time.Duration

	mu      sync.Mutex
	records []store.Record
}

// Append notes the records and answers.
func (f *fakeStore) Append(_ context.Context, a store.Append) (store.Appended, error) {
	time.Sleep(f.takes)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.records = append(f.records, a.Records...)
	return store.Appended{}, f.err
}

// Newest holds a claim of an owner elsewhere.
func (f *fakeStore) Newest(context.Context, store.Stream) (store.Page, error) {
	claim := `{"Host":{"Name":"owner","Address":"127.0.0.1:1"},"Nonce":"n"}`
	return store.Page{Records: []store.Record{{Key: "Claim", Value: []byte(claim)}}, Next: 1}, f.err
}

// Read finds nothing new.
func (f *fakeStore) Read(ctx context.Context, _ store.Stream, from int64, _ time.Duration) (store.Page, error) {
	<-ctx.Done()
	return store.Page{Next: from}, store.ErrUnknown
}

type emptyDecoder struct{ leader.Decoder }

// Publication says nothing.
func (emptyDecoder) Publication(store.Record) (leader.Publication, error) {
	return leader.Publication{}, nil
}

// newTestNode returns a site that dials through dial.
func newTestNode(s store.Store, dial backend.DialFunc) *Node {
	log, _ := test.NewNullLogger()
	return New(Config{
		Self: relay.Peer{Name: "a", Address: "127.0.0.1:2"}, Seeds: []string{"127.0.0.1:3", "127.0.0.1:4"}, Direct: s,
		Relay: relay.NewClient(backend.NewPool(dial)), Decoder: emptyDecoder{}, Log: log, Metrics: metric.NewRegistry(),
		Now: time.Now, Wall: func() int64 { return 0 }, DataCentres: []string{"dc"},
	})
}

// A question is passed on as often as it says: a host that was asked by another asks
// the owner only, and one that was taken for the owner asks nobody.
func TestHopLimit(t *testing.T) {
	for hops, want := range map[int][]string{
		0:             nil,
		1:             {"127.0.0.1:1"},
		relay.MaxHops: {"127.0.0.1:1", "127.0.0.1:3"},
	} {
		var dialled []string
		s := newTestNode(&fakeStore{}, func(_ context.Context, address string) (net.Conn, error) {
			dialled = append(dialled, address)
			return nil, net.ErrClosed
		})
		ctx, cancel := context.WithCancel(context.Background())
		go s.candidate.Run(ctx)
		require.Eventually(t, func() bool { return s.candidate.State().Epoch > 0 }, 5*time.Second, time.Millisecond)
		_, err := s.State(ctx, relay.StateRequest{Job: "00000000000000a1", Hops: hops})
		cancel()
		require.Error(t, err)
		require.Equal(t, want, dialled, "hops %d", hops)
	}
}

// A host that reaches the store neither directly nor through a peer can accept nothing
// and is not ready.
func TestNotReadyWithoutStore(t *testing.T) {
	direct := &fakeStore{}
	s := newTestNode(direct, func(context.Context, string) (net.Conn, error) { return nil, net.ErrClosed })
	require.Equal(t, "no configuration yet", s.Ready())
	s.follower.Adopt(queue.New(1, nil, nil, queue.Limits{}))
	require.Equal(t, "no owner yet", s.Ready())
	_, err := s.store.Append(context.Background(), store.Append{})
	require.NoError(t, err)
	direct.err = store.ErrUnavailable
	_, err = s.store.Append(context.Background(), store.Append{})
	require.Error(t, err)
	require.Eventually(t, func() bool { return s.Ready() == "no path to the store" }, 5*time.Second, 10*time.Millisecond)
}

// A job is stored with its home: the next owner goes by the record.
func TestSubmitStoresHomeDataCentre(t *testing.T) {
	direct := &fakeStore{}
	s := newTestNode(direct, func(context.Context, string) (net.Conn, error) { return nil, net.ErrClosed })
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	go s.batcher.Run(ctx)
	err := s.Intake().Submit(ctx, queue.Queue{Name: "q", Pool: "p"}, 1, job.Job{ID: "00000000000000a1", Steps: []job.Step{{Count: 1}}})
	require.NoError(t, err)
	direct.mu.Lock()
	defer direct.mu.Unlock()
	require.Len(t, direct.records, 1)
	j, err := job.Decode(direct.records[0].Value)
	require.NoError(t, err)
	require.Equal(t, "dc", j.Home)
}

// Appends are passed to the owner's host while the store is slow.
func TestSlowStoreAppendsGoToLeader(t *testing.T) {
	var mu sync.Mutex
	dialled := make(map[string]bool)
	s := newTestNode(&fakeStore{takes: 60 * time.Millisecond}, func(_ context.Context, address string) (net.Conn, error) {
		mu.Lock()
		defer mu.Unlock()
		dialled[address] = true
		return nil, net.ErrClosed
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.candidate.Run(ctx)
	require.Eventually(t, func() bool { return s.candidate.State().Epoch > 0 }, 5*time.Second, time.Millisecond)
	for range 8 {
		_, err := s.store.Append(ctx, store.Append{Stream: store.Work})
		require.NoError(t, err, "directly, as the owner doesn't answer here")
	}
	mu.Lock()
	defer mu.Unlock()
	require.True(t, dialled["127.0.0.1:1"])
}

// Only an owner that is there, and is another host, gathers appends.
func TestRemoteLeader(t *testing.T) {
	now := time.Now()
	owner := relay.Peer{Name: "owner", Address: "127.0.0.1:1"}
	tests := map[string]struct {
		state election.State
		want  bool
	}{
		"one that gave a sign":      {election.State{Epoch: 1, Claim: election.Claim{Host: owner}, HeartbeatAt: now}, true},
		"one that is silent":        {election.State{Epoch: 1, Claim: election.Claim{Host: owner}, HeartbeatAt: now.Add(-2 * maxHeartbeatAge)}, false},
		"one that has stopped":      {election.State{Epoch: 1, Claim: election.Claim{Host: owner}, HeartbeatAt: now, Released: true}, false},
		"none":                      {election.State{HeartbeatAt: now}, false},
		"the host that asks itself": {election.State{Epoch: 1, Claim: election.Claim{Host: relay.Peer{Address: "127.0.0.1:2"}}, HeartbeatAt: now}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTestNode(&fakeStore{}, nil)
			_, ok := s.remoteLeader(now, tt.state)
			require.Equal(t, tt.want, ok)
		})
	}
}
