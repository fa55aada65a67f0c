package intake

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/entry/metric"
	"github.com/godwitcross/godwitcross/entry/relay"
	"github.com/godwitcross/godwitcross/entry/store"
)

// slowStream is a stream of a slow store: it processes one append after the other, and rejects those
// that arrive while it has more than 2 s of them waiting.
type slowStream struct {
	store.Store

	mu sync.Mutex
	// freeAt is when the last append is done, and appends counts them; guarded by mu.
	freeAt  time.Time
	appends int
}

const (
	slowAppendTime = 120 * time.Millisecond
	slowAnswerTime = 240 * time.Millisecond
	maxStreamQueue = 2 * time.Second
)

// Append waits for the appends before it.
func (s *slowStream) Append(ctx context.Context, _ store.Append) (store.Appended, error) {
	time.Sleep(slowAnswerTime / 2)
	s.mu.Lock()
	now := time.Now()
	if s.freeAt.Sub(now) > maxStreamQueue {
		s.mu.Unlock()
		return store.Appended{}, store.ErrBusy
	}
	if s.freeAt.Before(now) {
		s.freeAt = now
	}
	s.freeAt = s.freeAt.Add(slowAppendTime)
	s.appends++
	wait := s.freeAt.Sub(now)
	s.mu.Unlock()
	select {
	case <-time.After(wait + slowAnswerTime/2):
		return store.Appended{}, nil
	case <-ctx.Done():
		return store.Appended{}, store.ErrUnknown // it keeps its place
	}
}

// Read answers after the time of a slow read.
func (s *slowStream) Read(context.Context, store.Stream, int64, time.Duration) (store.Page, error) {
	time.Sleep(slowAnswerTime)
	return store.Page{}, nil
}

// hosts are entry hosts that call each other without a network, by name. The first one leads.
type hosts map[string]*relay.Server

// AppendCoalesced calls a host.
func (h hosts) AppendCoalesced(ctx context.Context, p relay.Peer, a store.Append) (store.Appended, error) {
	time.Sleep(time.Millisecond)
	return h[p.Name].Append(ctx, a)
}

// Append calls a host.
func (h hosts) Append(ctx context.Context, p relay.Peer, a store.Append) (store.Appended, error) {
	return h.AppendCoalesced(ctx, p, a)
}

// Read isn't relayed.
func (hosts) Read(context.Context, relay.Peer, relay.ReadRequest) (store.Page, error) {
	return store.Page{}, store.ErrUnavailable
}

// Newest isn't relayed.
func (hosts) Newest(context.Context, relay.Peer, relay.NewestRequest) (store.Page, error) {
	return store.Page{}, store.ErrUnavailable
}

// submitDuringSlowStore lets the callers of n hosts submit rate jobs a second for as long as the store
// is slow, each with a deadline of 3 s. It returns the times of submission of the jobs that weren't accepted
// in time, the number of jobs and that of appends.
func submitDuringSlowStore(n, rate int, slowFor time.Duration) (late []time.Duration, jobs, appends int) {
	const callersDeadline = 3 * time.Second
	const heartbeatDelay = time.Second
	log, _ := test.NewNullLogger()
	stream, peers := &slowStream{}, make(hosts)
	leader := relay.Peer{Name: "h0", Address: "h0"}
	ctx, cancel := context.WithCancel(context.Background())
	began := time.Now()
	var leaderHedger *store.Hedger
	var batchers []*Batcher
	for i := range n {
		name := fmt.Sprintf("h%d", i)
		hedger := store.NewHedger(stream)
		if i == 0 {
			leaderHedger = hedger
		}
		host := func() (relay.Peer, bool) { return leader, i > 0 }
		hedger.HedgesUnfenced = func() bool { return i == 0 }
		direct := store.NewCoalescer(hedger)
		peers[name] = relay.NewServer(relay.ServerConfig{Log: log, Store: direct})
		isSlow := func() bool {
			return hedger.IsSlow() || time.Since(began) > heartbeatDelay && leaderHedger.AnswersSlowly()
		}
		s := relay.NewStore(relay.StoreConfig{
			Direct: direct, Client: peers, Log: log, Peers: func() []relay.Peer { return []relay.Peer{{Name: "h1"}, {Name: "h2"}} },
			Coalescing: &relay.Coalescing{Host: host, IsSlow: isSlow, HedgeDelay: hedger.HedgeDelay, ObserveLatency: hedger.ObserveLatency},
		})
		b := NewBatcher(s, log, metric.NewRegistry())
		go b.Run(ctx)
		batchers = append(batchers, b)
		go func() { // it follows the leader's heartbeats
			for ctx.Err() == nil {
				if _, err := s.Read(ctx, store.Leader, 0, 0); err != nil {
					time.Sleep(slowAnswerTime)
				}
			}
		}()
	}
	go func() { // the leader commits progress, in a stream of its own
		for ctx.Err() == nil {
			time.Sleep(slowAnswerTime)
			leaderHedger.ObserveLatency(slowAnswerTime)
		}
	}()
	rng := rand.New(rand.NewSource(1))
	var mu sync.Mutex
	var wg sync.WaitGroup
	for time.Since(began) < slowFor {
		time.Sleep(time.Second / time.Duration(rate))
		jobs++
		b, at := batchers[rng.Intn(n)], time.Since(began)
		wg.Go(func() {
			jctx, done := context.WithTimeout(ctx, callersDeadline)
			defer done()
			err := b.Put(jctx, store.Record{Key: "k"})
			for errors.Is(err, store.ErrUnavailable) && jctx.Err() == nil { // the caller tries again
				time.Sleep(300 * time.Millisecond)
				err = b.Put(jctx, store.Record{Key: "k"})
			}
			if err != nil {
				mu.Lock()
				late = append(late, at)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	cancel()
	time.Sleep(time.Minute)
	return late, jobs, stream.appends
}

// With 47 hosts, a store that became 60 times slower accepted next to no job: each host sent its own
// appends, and each of them again after 250 ms, into a stream that takes 8 a second and rejects what
// would wait for over 2 s. Callers now get their jobs accepted in time, but for the first second, in
// which the hosts learn that the store is slow.
func TestManyHostsAcceptJobsWhileStoreIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		late, jobs, appends := submitDuringSlowStore(47, 33, 5*time.Second)
		t.Logf("%d of %d jobs are late, %d appends: %v", len(late), jobs, appends, late)
		for _, at := range late {
			require.Less(t, at, time.Second)
		}
		require.Less(t, len(late), jobs/10)
	})
}
