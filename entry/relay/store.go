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
	// directRetryDelay is how long the direct path to the store is not tried after a
	// failure. Calls are relayed through a peer meanwhile.
	directRetryDelay = time.Second
	// unreachableAfter is how long calls must be unanswered until the store counts as
	// unreachable: several times its usual latency.
	unreachableAfter = 500 * time.Millisecond
	// shortCall is the time up to which a call is too short to tell a lost path from a slow
	// one: the timeout of a direct read.
	shortCall = 900 * time.Millisecond
	// maxPeersTried bounds the peers tried for a call. A read, which is repeated soon
	// anyway, tries one.
	maxPeersTried = 2
)

// Coalescing configures how one host combines the appends of all hosts while the store is
// slow: a stream processes appends one at a time, whichever host sends them.
type Coalescing struct {
	// Host returns the remote host that coalesces appends, and false if there is none.
	Host func() (Peer, bool)
	// IsSlow reports whether the store is slow, so that all appends are coalesced.
	IsSlow func() bool
	// HedgeDelay returns the delay after which an unanswered append is coalesced too.
	HedgeDelay func() time.Duration
	// ObserveLatency is called with the latency of each answered coalesced append.
	ObserveLatency func(took time.Duration)
}

// Peers makes calls to the store through other hosts. Client implements it.
type Peers interface {
	Append(ctx context.Context, p Peer, a store.Append) (store.Appended, error)
	AppendCoalesced(ctx context.Context, p Peer, a store.Append) (store.Appended, error)
	Read(ctx context.Context, p Peer, r ReadRequest) (store.Page, error)
	Newest(ctx context.Context, p Peer, r NewestRequest) (store.Page, error)
}

// StoreConfig configures a Store.
type StoreConfig struct {
	// Direct is this host's direct path to the store.
	Direct store.Store
	Client Peers
	// Peers returns the hosts that can relay calls.
	Peers func() []Peer
	Log   logrus.FieldLogger
	// Coalescing is nil if appends are not coalesced.
	Coalescing *Coalescing
}

// Store reaches the platform's log directly, or through a peer while the direct path fails.
type Store struct {
	cfg StoreConfig

	mu sync.Mutex
	// The fields below are guarded by mu. directRetryAt is the time from which the direct
	// path is tried again.
	directRetryAt time.Time
	directDown    bool
	// directDownSince is since when every call on the direct path has had no answer, if directDown is set. After an outage
	// of all paths it is the time of the first answer through a peer, and it is zero after an answer that the store is busy.
	directDownSince time.Time
	// shortRetryAt is the same for short calls, after one that its caller gave up. Longer
	// calls go on with the direct path.
	shortRetryAt time.Time
	nextPeer     int
	// answeredAt is the time of the last answer on any path. lastCallFailed is set if the
	// latest call had no answer.
	answeredAt     time.Time
	lastCallFailed bool
}

// NewStore returns a store that counts as reachable until a call fails.
func NewStore(cfg StoreConfig) *Store {
	return &Store{cfg: cfg}
}

// mayTryDirect reports whether a call may try the direct path.
func (s *Store) mayTryDirect(ctx context.Context, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	deadline, ok := ctx.Deadline()
	isShort := ok && deadline.Sub(now) < shortCall
	return !now.Before(s.directRetryAt) && !(isShort && now.Before(s.shortRetryAt))
}

// recordGivenUp records a call on the direct path that its caller gave up.
func (s *Store) recordGivenUp(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shortRetryAt = now.Add(directRetryDelay)
}

// recordDirect records the outcome of a call on the direct path.
func (s *Store) recordDirect(err error) {
	failed := errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUnknown)
	s.mu.Lock()
	changed := failed != s.directDown
	s.directDown = failed
	if failed {
		now := time.Now()
		s.directRetryAt = now.Add(directRetryDelay)
		switch {
		case errors.Is(err, store.ErrBusy): // the path works
			s.directDownSince = time.Time{}
		case changed || s.directDownSince.IsZero():
			s.directDownSince = now
		}
	} else {
		s.directRetryAt, s.shortRetryAt = time.Time{}, time.Time{}
	}
	s.mu.Unlock()
	switch {
	case changed && failed:
		s.cfg.Log.WithField("Error", err.Error()).Warn("direct path to the store lost")
	case changed:
		s.cfg.Log.Info("direct path to the store restored")
	}
}

// recordOutcome records whether a call had an answer on any path.
func (s *Store) recordOutcome(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastCallFailed = isUnanswered(err)
	if s.lastCallFailed {
		return
	}
	now := time.Now()
	// Without an answer on any path the store itself was unavailable, and the direct path may work again by now: it
	// is tried once in directRetryDelay only.
	if !s.directDownSince.IsZero() && now.Sub(s.answeredAt) > directRetryDelay {
		s.directDownSince = now
	}
	s.answeredAt = now
}

// IsUnreachable reports whether the latest call had no answer, directly or through peers,
// and no call had one for unreachableAfter.
func (s *Store) IsUnreachable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastCallFailed && now.Sub(s.answeredAt) > unreachableAfter
}

// DirectLostFor returns how long every call on the direct path has had no answer, 0 if the last one had one. An outage
// of all paths doesn't count.
func (s *Store) DirectLostFor(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.directDown || s.directDownSince.IsZero() {
		return 0
	}
	return now.Sub(s.directDownSince)
}

// pickPeers returns up to n peers in round-robin order.
func (s *Store) pickPeers(n int) []Peer {
	all := s.cfg.Peers()
	if len(all) == 0 {
		return nil
	}
	s.mu.Lock()
	s.nextPeer++
	first := s.nextPeer
	s.mu.Unlock()
	out := make([]Peer, 0, n)
	for i := range min(n, len(all)) {
		out = append(out, all[(first+i)%len(all)])
	}
	return out
}

// isUnanswered reports whether err is no answer of the store, so that another path may
// succeed.
func isUnanswered(err error) bool {
	return errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUnknown)
}

// hasEnded reports whether a call's context has ended, so that an outcome without an answer
// tells little about the path.
func hasEnded(ctx context.Context, now time.Time) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && !now.Before(deadline)
}

// withFailover makes a call directly and, if it has no answer, through up to maxPeers
// peers. The error is ErrUnknown if any try may have been carried out.
func withFailover[T any](ctx context.Context, s *Store, maxPeers int, direct func() (T, error), relayed func(p Peer) (T, error)) (out T, err error) {
	defer func() { s.recordOutcome(err) }()
	err = error(store.ErrUnavailable)
	mayBeDone := false
	if s.mayTryDirect(ctx, time.Now()) {
		out, err = direct()
		if now := time.Now(); isUnanswered(err) && hasEnded(ctx, now) {
			s.recordGivenUp(now)
		} else {
			s.recordDirect(err)
		}
		if !isUnanswered(err) {
			return out, err
		}
		mayBeDone = errors.Is(err, store.ErrUnknown)
	}
	for _, p := range s.pickPeers(maxPeers) {
		if ctx.Err() != nil {
			break
		}
		var relayErr error
		out, relayErr = relayed(p)
		if !isUnanswered(relayErr) {
			return out, relayErr
		}
		mayBeDone = mayBeDone || errors.Is(relayErr, store.ErrUnknown)
		err = relayErr
	}
	if mayBeDone && !errors.Is(err, store.ErrUnknown) {
		err = eris.Wrap(store.ErrUnknown, err.Error())
	}
	return out, err
}

// Append adds records to a stream.
func (s *Store) Append(ctx context.Context, a store.Append) (store.Appended, error) {
	p, ok := s.coalescingHost(a)
	if !ok {
		return withFailover(ctx, s, maxPeersTried,
			func() (store.Appended, error) { return s.cfg.Direct.Append(ctx, a) },
			func(p Peer) (store.Appended, error) { return s.cfg.Client.Append(ctx, p, a) })
	}
	out, err := s.appendHedged(ctx, p, a)
	if isUnanswered(err) && !errors.Is(err, store.ErrBusy) && ctx.Err() == nil {
		out, err = s.appendThroughPeers(ctx, a, err)
	}
	s.recordOutcome(err)
	return out, err
}

// appendHedged appends through the coalescing host if the store is slow, and otherwise directly. It
// goes the other way too if the first one fails, or, for a direct append, if its answer is late.
// The coalescing host combines the late appends of all hosts, which would delay each other in the
// stream's queue if each host sent its own again.
func (s *Store) appendHedged(ctx context.Context, p Peer, a store.Append) (out store.Appended, err error) {
	const ways = 2
	results := make(chan appendResult, ways)
	isTried := make(map[appendWay]bool, ways)
	pending := 0
	try := func(w appendWay) {
		if isTried[w] || w == direct && !s.mayTryDirect(ctx, time.Now()) {
			return
		}
		isTried[w] = true
		pending++
		go func() { results <- s.appendBy(ctx, w, p, a) }()
	}
	first, second := direct, coalesced
	var late <-chan time.Time
	if s.cfg.Coalescing.IsSlow() {
		first, second = coalesced, direct
	} else {
		t := time.NewTimer(s.cfg.Coalescing.HedgeDelay())
		defer t.Stop()
		late = t.C
	}
	if try(first); pending == 0 {
		try(second)
	}
	err = store.ErrUnavailable
	for mayBeDone := false; pending > 0; {
		select {
		case r := <-results:
			pending--
			if !isUnanswered(r.err) {
				return r.out, r.err
			}
			mayBeDone = mayBeDone || errors.Is(r.err, store.ErrUnknown)
			if err = r.err; mayBeDone && !errors.Is(err, store.ErrUnknown) {
				err = eris.Wrap(store.ErrUnknown, r.err.Error())
			}
			if ctx.Err() == nil {
				try(second)
			}
		case <-late:
			try(second)
		}
	}
	return out, err
}

// appendWay is a way on which an append reaches the store.
type appendWay int

const (
	direct appendWay = iota
	coalesced
)

// appendResult is the outcome of an append on one way.
type appendResult struct {
	out store.Appended
	err error
}

// appendBy appends on one way and records what its outcome tells about that way.
func (s *Store) appendBy(ctx context.Context, w appendWay, p Peer, a store.Append) (r appendResult) {
	if w == coalesced {
		began := time.Now()
		if r.out, r.err = s.cfg.Client.AppendCoalesced(ctx, p, a); !isUnanswered(r.err) {
			s.cfg.Coalescing.ObserveLatency(time.Since(began))
		} else {
			s.cfg.Log.WithFields(logrus.Fields{"Peer": p.Name, "Error": r.err.Error()}).Info("coalesced append failed")
		}
		return r
	}
	r.out, r.err = s.cfg.Direct.Append(ctx, a)
	switch now := time.Now(); {
	case errors.Is(r.err, store.ErrBusy): // the path works
	case isUnanswered(r.err) && hasEnded(ctx, now):
		s.recordGivenUp(now)
	default:
		s.recordDirect(r.err)
	}
	return r
}

// appendThroughPeers appends through up to maxPeersTried peers. err is the outcome so far.
func (s *Store) appendThroughPeers(ctx context.Context, a store.Append, err error) (store.Appended, error) {
	mayBeDone := errors.Is(err, store.ErrUnknown)
	for _, p := range s.pickPeers(maxPeersTried) {
		if ctx.Err() != nil {
			break
		}
		var out store.Appended
		if out, err = s.cfg.Client.Append(ctx, p, a); !isUnanswered(err) {
			return out, err
		}
		mayBeDone = mayBeDone || errors.Is(err, store.ErrUnknown)
	}
	if mayBeDone && !errors.Is(err, store.ErrUnknown) {
		err = eris.Wrap(store.ErrUnknown, err.Error())
	}
	return store.Appended{}, err
}

// coalescingHost returns the host that may coalesce an append, if there is one.
func (s *Store) coalescingHost(a store.Append) (Peer, bool) {
	if s.cfg.Coalescing == nil || a.At != nil || a.Fence != nil {
		return Peer{}, false
	}
	return s.cfg.Coalescing.Host()
}

// Read waits for records of a stream.
func (s *Store) Read(ctx context.Context, stream store.Stream, from int64, wait time.Duration) (store.Page, error) {
	return withFailover(ctx, s, 1,
		func() (store.Page, error) { return s.cfg.Direct.Read(ctx, stream, from, wait) },
		func(p Peer) (store.Page, error) {
			return s.cfg.Client.Read(ctx, p, ReadRequest{Stream: stream, From: from, Wait: wait})
		})
}

// Newest returns a page of the newest record of each key.
func (s *Store) Newest(ctx context.Context, stream store.Stream, after string) (store.Page, error) {
	return withFailover(ctx, s, maxPeersTried,
		func() (store.Page, error) { return s.cfg.Direct.Newest(ctx, stream, after) },
		func(p Peer) (store.Page, error) {
			return s.cfg.Client.Newest(ctx, p, NewestRequest{Stream: stream, After: after})
		})
}
