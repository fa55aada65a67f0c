package relay

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

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
	return NewStore(direct, nil, func() []Peer { return nil }, log)
}

// Which errors count as the store being out of reach, and for how long.
func TestAStoreThatIsLost(t *testing.T) {
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
			s.direct = &scriptedStore{err: tt.err}
			_, err = s.Append(context.Background(), store.Append{})
			require.ErrorIs(t, err, tt.err)
			require.False(t, s.IsLost(time.Now()), "not at once")
			require.Equal(t, tt.lost, s.IsLost(later))
		})
	}
}

// After a failure the direct path is left alone for a while, so that not every
// request waits for it.
func TestAFailedPathIsLeftAlone(t *testing.T) {
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
func TestAReadThroughSilentPeersEndsSoon(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0") // it takes connections and answers nothing
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	log, _ := test.NewNullLogger()
	peer := Peer{Name: "b", Address: l.Addr().String()}
	client := NewClient(backend.NewPool(backend.Dialer()))
	s := NewStore(silentStore{}, client, func() []Peer { return []Peer{peer, peer, peer} }, log)
	began := time.Now()
	_, err = s.Read(context.Background(), store.Operator, 0, 30*time.Second)
	require.Error(t, err)
	require.Less(t, time.Since(began), 3*time.Second)
}

// An append whose direct try had no answer may be stored, also if a peer turns it away.
func TestAnUnknownAppendStaysUnknown(t *testing.T) {
	log, _ := test.NewNullLogger()
	client := NewClient(backend.NewPool(func(context.Context, string) (net.Conn, error) { return nil, net.ErrClosed }))
	s := NewStore(&scriptedStore{err: store.ErrUnknown}, client, func() []Peer { return []Peer{{Name: "b", Address: "b"}} }, log)
	_, err := s.Append(context.Background(), store.Append{})
	require.ErrorIs(t, err, store.ErrUnknown)
}
