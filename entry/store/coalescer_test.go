package store

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// gatedStore is a store whose appends wait until the test lets them go.
type gatedStore struct {
	Store
	mu      sync.Mutex
	appends []Append
	release chan error
}

// Append waits for the test.
func (g *gatedStore) Append(ctx context.Context, a Append) (Appended, error) {
	g.mu.Lock()
	offset := int64(0)
	for _, b := range g.appends {
		offset += int64(len(b.Records))
	}
	g.appends = append(g.appends, a)
	g.mu.Unlock()
	select {
	case err := <-g.release:
		return Appended{Offset: offset}, err
	case <-ctx.Done():
		return Appended{}, ErrUnknown
	}
}

func (g *gatedStore) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.appends)
}

func one(key string) Append {
	return Append{Stream: Work, Records: []Record{{Key: key}}}
}

// A slow store takes one append at a time: what all hosts bring meanwhile goes with the
// next one, and each caller learns the place of its own record.
func TestCoalescesBehindAppendInFlight(t *testing.T) {
	inner := &gatedStore{release: make(chan error)}
	g := NewCoalescer(inner)
	type result struct {
		key string
		out Appended
		err error
	}
	results := make(chan result, 10)
	send := func(key string) {
		out, err := g.Append(context.Background(), one(key))
		results <- result{key, out, err}
	}
	go send("first")
	require.Eventually(t, func() bool { return inner.count() == 1 }, time.Second, time.Millisecond)
	for _, key := range []string{"a", "b", "c"} {
		go send(key)
	}
	require.Eventually(t, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.open[Work] != nil && len(g.open[Work].records) == 3
	}, time.Second, time.Millisecond)
	inner.release <- nil
	inner.release <- nil
	offsets := make(map[int64]bool)
	for range 4 {
		r := <-results
		require.NoError(t, r.err)
		offsets[r.out.Offset] = true
	}
	require.Len(t, offsets, 4)
	require.Equal(t, 2, inner.count())
	require.Len(t, inner.appends[1].Records, 3)
}

// A group shares its answer, also a bad one.
func TestAGroupSharesItsAnswer(t *testing.T) {
	for _, want := range []error{ErrUnavailable, ErrUnknown, ErrRefused} {
		inner := &gatedStore{release: make(chan error, 1)}
		inner.release <- want
		_, err := NewCoalescer(inner).Append(context.Background(), one("a"))
		require.ErrorIs(t, err, want)
	}
}

// What is conditional or fenced has an order of its own and is never gathered.
func TestNeverCoalesced(t *testing.T) {
	at := int64(3)
	for _, a := range []Append{{Stream: Work, At: &at}, {Stream: Work, Fence: &Fence{Epoch: 1}}} {
		inner := &gatedStore{release: make(chan error, 1)}
		inner.release <- nil
		g := NewCoalescer(inner)
		_, err := g.Append(context.Background(), a)
		require.NoError(t, err)
		require.Equal(t, a, inner.appends[0])
	}
}

// An append without an answer doesn't hold up those behind it for longer than a slow
// store takes.
func TestLostAnswerDelaysNoGroup(t *testing.T) {
	inner := &gatedStore{release: make(chan error)}
	g := NewCoalescer(inner)
	ctx, cancel := context.WithTimeout(context.Background(), 10*coalesceWait)
	defer cancel()
	go func() { _, _ = g.Append(ctx, one("lost")) }()
	require.Eventually(t, func() bool { return inner.count() == 1 }, time.Second, time.Millisecond)
	go func() { _, _ = g.Append(ctx, one("next")) }()
	require.Eventually(t, func() bool { return inner.count() == 2 }, 5*coalesceWait, time.Millisecond)
}

// A caller that leaves may have its record stored.
func TestCancelledCallerGetsUnknown(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := NewCoalescer(&gatedStore{release: make(chan error)}).Append(ctx, one("a"))
	require.ErrorIs(t, err, ErrUnknown)
}

// A group holds no more than a call of the store may.
func TestAGroupIsBounded(t *testing.T) {
	g := NewCoalescer(&gatedStore{release: make(chan error)})
	large := Append{Stream: Work, Records: make([]Record, maxCoalescedRecords*2/3)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.inFlight[Work] = make(chan struct{}) // an append is out, so that groups stay open
	first, _ := g.join(ctx, large)
	second, place := g.join(ctx, large)
	require.NotSame(t, first, second)
	require.Zero(t, place)
	third, place := g.join(ctx, one("small"))
	require.Same(t, second, third, "it still fits")
	require.Equal(t, len(large.Records), place)
}
