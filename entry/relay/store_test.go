package relay

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/entry/backend"
	"github.com/godwitcross/godwitcross/entry/store"
)

// scriptedStore answers each append with the same error.
type scriptedStore struct {
	store.Store
	err   error
	calls int
}

func (s *scriptedStore) Append(context.Context, store.Append) (store.Appended, error) {
	s.calls++
	return store.Appended{Offset: 1}, s.err
}

func newTestStore(direct store.Store) *Store {
	log, _ := test.NewNullLogger()
	return NewStore(StoreConfig{Direct: direct, Peers: func() []Peer { return nil }, Log: log})
}

// Which errors count as the store being out of reach, and for how long.
func TestStoreIsUnreachable(t *testing.T) {
	later := time.Now().Add(time.Minute)
	tests := map[string]struct {
		err  error
		lost bool
	}{
		"answers":         {nil, false},
		"has another end": {store.ErrConflict, false},
		"fences":          {store.ErrFenced, false},
		"turns away":      {store.ErrUnavailable, true},
		"is silent":       {store.ErrUnknown, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTestStore(&scriptedStore{})
			_, err := s.Append(context.Background(), store.Append{})
			require.NoError(t, err)
			s.cfg.Direct = &scriptedStore{err: tt.err}
			_, err = s.Append(context.Background(), store.Append{})
			require.ErrorIs(t, err, tt.err)
			require.False(t, s.IsUnreachable(time.Now()), "not at once")
			require.Equal(t, tt.lost, s.IsUnreachable(later))
		})
	}
}

// After a failure the direct path is left alone for a while, so that not every
// request waits for it.
func TestFailedDirectPathIsNotRetriedAtOnce(t *testing.T) {
	direct := &scriptedStore{err: store.ErrUnavailable}
	s := newTestStore(direct)
	for range 5 {
		_, err := s.Append(context.Background(), store.Append{})
		require.ErrorIs(t, err, store.ErrUnavailable)
	}
	require.Equal(t, 1, direct.calls)
}

// silentStore answers no read.
type silentStore struct{ store.Store }

func (silentStore) Read(context.Context, store.Stream, int64, time.Duration) (store.Page, error) {
	return store.Page{}, store.ErrUnknown
}

// A read through peers that don't answer ends soon, so that a host finds its own path
// again once that works: other hosts may be cut off with it.
func TestReadThroughUnresponsivePeersEndsSoon(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0") // it takes connections and answers nothing
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	log, _ := test.NewNullLogger()
	peer := Peer{Name: "b", Address: l.Addr().String()}
	client := NewClient(backend.NewPool(backend.Dialer()))
	s := NewStore(StoreConfig{Direct: silentStore{}, Client: client, Peers: func() []Peer { return []Peer{peer, peer, peer} }, Log: log})
	began := time.Now()
	_, err = s.Read(context.Background(), store.Operator, 0, 30*time.Second)
	require.Error(t, err)
	require.Less(t, time.Since(began), 3*time.Second)
}

// An append whose direct try had no answer may be stored, also if a peer turns it away.
func TestAnUnknownAppendStaysUnknown(t *testing.T) {
	log, _ := test.NewNullLogger()
	client := NewClient(backend.NewPool(func(context.Context, string) (net.Conn, error) { return nil, net.ErrClosed }))
	s := NewStore(StoreConfig{Direct: &scriptedStore{err: store.ErrUnknown}, Client: client, Peers: func() []Peer { return []Peer{{Name: "b", Address: "b"}} }, Log: log})
	_, err := s.Append(context.Background(), store.Append{})
	require.ErrorIs(t, err, store.ErrUnknown)
}

// serve answers calls of other hosts with a store until the test ends.
func serve(t *testing.T, direct store.Store) Peer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	log, _ := test.NewNullLogger()
	server := &fasthttp.Server{Handler: NewServer(ServerConfig{Log: log, Store: direct}).Handle}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	return Peer{Name: "b", Address: l.Addr().String()}
}

// An append that the gathering host may have done is never said not to be done.
func TestUnansweredCoalescedAppendIsUnknown(t *testing.T) {
	peer := serve(t, &scriptedStore{err: store.ErrUnknown})
	s := newTestStore(&scriptedStore{err: store.ErrUnavailable})
	s.cfg.Client = NewClient(backend.NewPool(backend.Dialer()))
	s.cfg.Coalescing = &Coalescing{Host: func() (Peer, bool) { return peer, true }, IsSlow: func() bool { return true }, ObserveLatency: func(time.Duration) {}}
	_, err := s.Append(context.Background(), store.Append{Stream: store.Work})
	require.ErrorIs(t, err, store.ErrUnknown)
}

// While the store is slow, hosts have their appends gathered by one of them, and go on by
// themselves if that one doesn't answer.
func TestSlowStoreAppendsAreCoalesced(t *testing.T) {
	tests := map[string]struct {
		isSlow, isThere bool
		fence           *store.Fence
		gathered        bool
	}{
		"a store as usual":         {false, true, nil, false},
		"a slow one":               {true, true, nil, true},
		"a slow one without owner": {true, false, nil, false},
		"a fenced append":          {true, true, &store.Fence{Epoch: 1}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			own, other := &scriptedStore{}, &scriptedStore{}
			peer := serve(t, other)
			s := newTestStore(own)
			s.cfg.Client = NewClient(backend.NewPool(backend.Dialer()))
			learned := 0
			s.cfg.Coalescing = &Coalescing{
				Host:           func() (Peer, bool) { return peer, tt.isThere },
				IsSlow:         func() bool { return tt.isSlow },
				ObserveLatency: func(time.Duration) { learned++ },
			}
			_, err := s.Append(context.Background(), store.Append{Stream: store.Work, Fence: tt.fence, Records: []store.Record{{Key: "k"}}})
			require.NoError(t, err)
			require.Equal(t, tt.gathered, other.calls == 1)
			require.Equal(t, !tt.gathered, own.calls == 1)
			require.Equal(t, tt.gathered, learned == 1)
		})
	}
}
