package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/godwitcross/godwitcross/entry/store"
)

const (
	// directPause is how long a host leaves its own path to the store alone after it
	// failed, while a peer passes its calls on.
	directPause = time.Second
	// unreachableAfter is how long no call may have had an answer before the store counts as
	// lost: a few of its usual answers.
	unreachableAfter = 500 * time.Millisecond
	// maxPeersTried bounds the peers that an append is passed to; a read, which is done
	// again soon, is passed to one.
	maxPeersTried = 2
)

// Coalescing is how appends of all hosts are brought together at one host while the store
// is slow: a stream takes one append after the other, whoever sends it.
type Coalescing struct {
	// Host returns the host that gathers, and false while there is none but this one.
	Host func() (Peer, bool)
	// IsSlow reports whether answers of the store take long.
	IsSlow func() bool
	// ObserveLatency is told how long a gathered append took.
	ObserveLatency func(took time.Duration)
}

// StoreConfig is what a store is built from.
type StoreConfig struct {
	// Direct is this host's own path to the store.
	Direct store.Store
	Client *Client
	// Peers tells the hosts that may pass calls on.
	Peers func() []Peer
	Log   logrus.FieldLogger
	// Coalescing is nil where no host gathers appends.
	Coalescing *Coalescing
}

// Store reaches the platform's store directly, or through a peer while that fails.
type Store struct {
	cfg StoreConfig

	mu sync.Mutex
	// downUntil is until when the direct path is left alone; guarded by mu.
	downUntil time.Time
	isDown    bool
	next      int
	// reachedAt is when a call last had an answer by any way; failing is set since.
	reachedAt time.Time
	failing   bool
}

// NewStore returns a store that counts as reached until a call fails.
func NewStore(cfg StoreConfig) *Store {
	return &Store{cfg: cfg}
}

// tryDirect reports whether the direct path is to be tried.
func (s *Store) tryDirect() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !time.Now().Before(s.downUntil)
}

// recordDirect keeps whether the direct path works.
func (s *Store) recordDirect(err error) {
	isDown := errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUnknown)
	s.mu.Lock()
	changed := isDown != s.isDown
	s.isDown = isDown
	if isDown {
		s.downUntil = time.Now().Add(directPause)
	} else {
		s.downUntil = time.Time{}
	}
	s.mu.Unlock()
	switch {
	case changed && isDown:
		s.cfg.Log.WithField("Error", err.Error()).Warn("store lost")
	case changed:
		s.cfg.Log.Info("store regained")
	}
}

// recordOutcome keeps whether the store is reached at all.
func (s *Store) recordOutcome(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = isUnanswered(err)
	if !s.failing {
		s.reachedAt = time.Now()
	}
}

// IsUnreachable reports whether no way leads to the store: the last call had no answer, by
// peers neither, and none had for a while.
func (s *Store) IsUnreachable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failing && now.Sub(s.reachedAt) > unreachableAfter
}

// pickPeers returns up to n peers to try, another one first each time.
func (s *Store) pickPeers(n int) []Peer {
	all := s.cfg.Peers()
	if len(all) == 0 {
		return nil
	}
	s.mu.Lock()
	s.next++
	first := s.next
	s.mu.Unlock()
	out := make([]Peer, 0, n)
	for i := range min(n, len(all)) {
		out = append(out, all[(first+i)%len(all)])
	}
	return out
}

// isUnanswered reports whether another path may do better after an error.
func isUnanswered(err error) bool {
	return errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUnknown)
}

// withFailover makes a call directly, else through as many peers as may be tried.
func withFailover[T any](ctx context.Context, s *Store, tries int, direct func() (T, error), relayed func(p Peer) (T, error)) (out T, err error) {
	defer func() { s.recordOutcome(err) }()
	err = error(store.ErrUnavailable)
	unknown := false
	if s.tryDirect() {
		out, err = direct()
		s.recordDirect(err)
		if !isUnanswered(err) {
			return out, err
		}
		unknown = errors.Is(err, store.ErrUnknown)
	}
	for _, p := range s.pickPeers(tries) {
		if ctx.Err() != nil {
			break
		}
		var relayErr error
		out, relayErr = relayed(p)
		if !isUnanswered(relayErr) {
			return out, relayErr
		}
		unknown = unknown || errors.Is(relayErr, store.ErrUnknown)
		err = relayErr
	}
	if unknown && !errors.Is(err, store.ErrUnknown) {
		err = eris.Wrap(store.ErrUnknown, err.Error())
	}
	return out, err
}

// Append adds records.
func (s *Store) Append(ctx context.Context, a store.Append) (store.Appended, error) {
	mayBeDone := false
	if p, ok := s.coalescingHost(a); ok {
		began := time.Now()
		out, err := s.cfg.Client.AppendCoalesced(ctx, p, a)
		if !isUnanswered(err) {
			s.cfg.Coalescing.ObserveLatency(time.Since(began))
			s.recordOutcome(err)
			return out, err
		}
		s.cfg.Log.WithFields(logrus.Fields{"Peer": p.Name, "Error": err.Error()}).Info("append not gathered")
		if mayBeDone = errors.Is(err, store.ErrUnknown); ctx.Err() != nil {
			return out, err
		}
	}
	out, err := withFailover(ctx, s, maxPeersTried,
		func() (store.Appended, error) { return s.cfg.Direct.Append(ctx, a) },
		func(p Peer) (store.Appended, error) { return s.cfg.Client.Append(ctx, p, a) })
	if mayBeDone && errors.Is(err, store.ErrUnavailable) {
		err = eris.Wrap(store.ErrUnknown, err.Error())
	}
	return out, err
}

// coalescingHost returns the host that appends for this one, if the store is slow.
func (s *Store) coalescingHost(a store.Append) (Peer, bool) {
	if s.cfg.Coalescing == nil || a.At != nil || a.Fence != nil || !s.cfg.Coalescing.IsSlow() {
		return Peer{}, false
	}
	return s.cfg.Coalescing.Host()
}

// Read waits for records.
func (s *Store) Read(ctx context.Context, stream store.Stream, from int64, wait time.Duration) (store.Page, error) {
	return withFailover(ctx, s, 1,
		func() (store.Page, error) { return s.cfg.Direct.Read(ctx, stream, from, wait) },
		func(p Peer) (store.Page, error) {
			return s.cfg.Client.Read(ctx, p, ReadRequest{Stream: stream, From: from, Wait: wait})
		})
}

// Newest returns the newest record of each key.
func (s *Store) Newest(ctx context.Context, stream store.Stream) (store.Page, error) {
	return withFailover(ctx, s, maxPeersTried,
		func() (store.Page, error) { return s.cfg.Direct.Newest(ctx, stream) },
		func(p Peer) (store.Page, error) { return s.cfg.Client.Newest(ctx, p, NewestRequest{Stream: stream}) })
}
