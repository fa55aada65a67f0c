package store

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// scriptedStore answers appends with scripted latencies and errors. The last answer is
// repeated.
type scriptedStore struct {
	Store
	mu      sync.Mutex
	answers []scriptedAnswer
	sent    int
}

type scriptedAnswer struct {
	latency time.Duration
	err     error
}

// Append returns the next scripted answer.
func (s *scriptedStore) Append(ctx context.Context, _ Append) (Appended, error) {
	s.mu.Lock()
	answer := s.answers[min(s.sent, len(s.answers)-1)]
	s.sent++
	n := s.sent
	s.mu.Unlock()
	select {
	case <-time.After(answer.latency):
		return Appended{Offset: int64(n)}, answer.err
	case <-ctx.Done():
		return Appended{}, ErrUnknown
	}
}

func (s *scriptedStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

const lostLatency = 5 * time.Second

// An append whose answer is lost is sent again long before its timeout.
func TestLostAnswerIsHedged(t *testing.T) {
	tests := map[string]struct {
		fence   *Fence
		answers []scriptedAnswer
		sent    int
	}{
		"fenced":         {&Fence{}, []scriptedAnswer{{lostLatency, ErrUnknown}, {lostLatency, ErrUnknown}, {time.Millisecond, nil}}, 3},
		"unfenced":       {nil, []scriptedAnswer{{lostLatency, ErrUnknown}, {time.Millisecond, nil}}, 2},
		"no lost answer": {nil, []scriptedAnswer{{time.Millisecond, nil}}, 1},
		"a slow answer":  {nil, []scriptedAnswer{{minUnfencedHedgeDelay + 50*time.Millisecond, nil}}, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &scriptedStore{answers: tt.answers}
			began := time.Now()
			_, err := NewHedger(s).Append(context.Background(), Append{Stream: Work, Fence: tt.fence})
			require.NoError(t, err)
			require.Less(t, time.Since(began), lostLatency/2)
			require.LessOrEqual(t, s.count(), tt.sent)
		})
	}
}

func TestHedgerAnswers(t *testing.T) {
	at := int64(4)
	fenced := Append{Fence: &Fence{}}
	tests := map[string]struct {
		answers []scriptedAnswer
		a       Append
		sent    int
		want    error
	}{
		"an answer in time":                      {[]scriptedAnswer{{0, nil}}, fenced, 1, nil},
		"a refusal in time":                      {[]scriptedAnswer{{0, ErrFenced}}, fenced, 1, ErrFenced},
		"a refusal of the second try":            {[]scriptedAnswer{{lostLatency, ErrUnknown}, {0, ErrSequence}}, fenced, 2, ErrSequence},
		"not sent at all":                        {[]scriptedAnswer{{0, ErrUnavailable}}, fenced, 1, ErrUnavailable},
		"one try may have been done":             {[]scriptedAnswer{{2 * minFencedHedgeDelay, ErrUnknown}, {2 * minFencedHedgeDelay, ErrUnavailable}}, fenced, maxFencedTries, ErrUnknown},
		"the later try may have been done":       {[]scriptedAnswer{{2 * minFencedHedgeDelay, ErrUnavailable}, {2 * minFencedHedgeDelay, ErrUnknown}}, fenced, maxFencedTries, ErrUnknown},
		"a try that fails doesn't end the other": {[]scriptedAnswer{{minFencedHedgeDelay * 3 / 2, ErrUnavailable}, {3 * minFencedHedgeDelay, nil}}, fenced, maxFencedTries, nil},
		"at an offset it is sent once":           {[]scriptedAnswer{{3 * minFencedHedgeDelay, nil}}, Append{At: &at, Fence: &Fence{}}, 1, nil},
		"at an offset a lost answer is unknown":  {[]scriptedAnswer{{3 * minFencedHedgeDelay, ErrUnknown}}, Append{At: &at}, 1, ErrUnknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &scriptedStore{answers: tt.answers}
			_, err := NewHedger(s).Append(context.Background(), tt.a)
			if tt.want == nil {
				require.NoError(t, err)
			} else {
				require.ErrorIs(t, err, tt.want)
			}
			require.LessOrEqual(t, s.count(), tt.sent)
		})
	}
}

// A store that becomes slow gets a few hedged appends at first and then one try for each
// append, because hedges would add to its load.
func TestSlowStoreIsNotHedged(t *testing.T) {
	s := &scriptedStore{answers: []scriptedAnswer{{2 * minFencedHedgeDelay, nil}}}
	r := NewHedger(s)
	for range 10 {
		_, err := r.Append(context.Background(), Append{Fence: &Fence{}})
		require.NoError(t, err)
	}
	require.LessOrEqual(t, s.count(), 13)
	before := s.count()
	_, err := r.Append(context.Background(), Append{Fence: &Fence{}})
	require.NoError(t, err)
	require.Equal(t, before+1, s.count())
}

// The caller's deadline ends an append, whatever tries are in flight.
func TestHedgerKeepsDeadline(t *testing.T) {
	s := &scriptedStore{answers: []scriptedAnswer{{lostLatency, nil}}}
	ctx, cancel := context.WithTimeout(context.Background(), 4*minFencedHedgeDelay)
	defer cancel()
	began := time.Now()
	_, err := NewHedger(s).Append(ctx, Append{Fence: &Fence{}})
	require.ErrorIs(t, err, ErrUnknown)
	require.Less(t, time.Since(began), lostLatency/2)
}

// Read returns an empty page at once.
func (s *scriptedStore) Read(context.Context, Stream, int64, time.Duration) (Page, error) {
	return Page{}, nil
}

// While a slow store answers reads, late appends get the longer timeout, because an
// abandoned append keeps its place in the stream's queue. A store that answers nothing
// gets the usual timeout.
func TestLateAppendIsAwaitedWhileReadsAreAnswered(t *testing.T) {
	for name, reads := range map[string]bool{"slow": true, "unresponsive": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &scriptedStore{answers: []scriptedAnswer{{tryTimeout + 500*time.Millisecond, nil}}}
			r := NewHedger(s)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go func() {
				for reads && ctx.Err() == nil {
					_, _ = r.Read(ctx, Leader, 0, 0)
					time.Sleep(20 * time.Millisecond)
				}
			}()
			_, err := r.Append(ctx, Append{})
			if reads {
				require.NoError(t, err)
				require.True(t, r.IsSlow())
				return
			}
			require.ErrorIs(t, err, ErrUnknown)
			require.False(t, r.IsSlow())
		})
	}
}

// An append to a slow store is sent once and its answer awaited.
func TestSlowAnswersAreNotHedged(t *testing.T) {
	s := &scriptedStore{answers: []scriptedAnswer{{500 * time.Millisecond, nil}}}
	r := NewHedger(s)
	for range 20 {
		r.ObserveLatency(slowLatency + 10*time.Millisecond)
	}
	require.True(t, r.IsSlow())
	_, err := r.Append(context.Background(), Append{Fence: &Fence{}})
	require.NoError(t, err)
	require.Equal(t, 1, s.count(), "a late answer is not a lost one")
}

// An append answered in time ends the slow state.
func TestAnswerInTimeEndsSlowState(t *testing.T) {
	r := NewHedger(&scriptedStore{})
	began := time.Now()
	later := began.Add(slowAfter)
	r.recordLate(began)
	r.readAt = later
	require.True(t, r.isSlow(later))
	r.ObserveLatency(initialLatency)
	require.False(t, r.isSlow(later))
}
