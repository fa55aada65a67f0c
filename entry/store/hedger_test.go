package store

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// scriptedStore is a store whose appends take and answer what a script says; the last answer
// holds for all that follow.
type scriptedStore struct {
	Store
	mu      sync.Mutex
	answers []scriptedAnswer
	sent    int
}

type scriptedAnswer struct {
	takes time.Duration
	err   error
}

// Append follows the script.
func (s *scriptedStore) Append(ctx context.Context, _ Append) (Appended, error) {
	s.mu.Lock()
	l := s.answers[min(s.sent, len(s.answers)-1)]
	s.sent++
	n := s.sent
	s.mu.Unlock()
	select {
	case <-time.After(l.takes):
		return Appended{Offset: int64(n)}, l.err
	case <-ctx.Done():
		return Appended{}, ErrUnknown
	}
}

func (s *scriptedStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

const lost = 5 * time.Second

// Answers of the store are lost: the owner's append is repeated long before its time is
// over.
func TestLostAnswerIsHedged(t *testing.T) {
	tests := map[string]struct {
		fence *Fence
		lines []scriptedAnswer
		sent  int
	}{
		"of the owner":  {&Fence{}, []scriptedAnswer{{lost, ErrUnknown}, {lost, ErrUnknown}, {time.Millisecond, nil}}, 3},
		"of any host":   {nil, []scriptedAnswer{{lost, ErrUnknown}, {time.Millisecond, nil}}, 2},
		"of none":       {nil, []scriptedAnswer{{time.Millisecond, nil}}, 1},
		"a slow answer": {nil, []scriptedAnswer{{minSharedHedgeDelay + 50*time.Millisecond, nil}}, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &scriptedStore{answers: tt.lines}
			began := time.Now()
			_, err := NewHedger(s).Append(context.Background(), Append{Stream: Work, Fence: tt.fence})
			require.NoError(t, err)
			require.Less(t, time.Since(began), lost/2)
			require.LessOrEqual(t, s.count(), tt.sent)
		})
	}
}

func TestHedgerAnswers(t *testing.T) {
	at := int64(4)
	fenced := Append{Fence: &Fence{}}
	tests := map[string]struct {
		lines []scriptedAnswer
		a     Append
		sent  int
		want  error
	}{
		"an answer in time":                      {[]scriptedAnswer{{0, nil}}, fenced, 1, nil},
		"a refusal in time":                      {[]scriptedAnswer{{0, ErrFenced}}, fenced, 1, ErrFenced},
		"a refusal of the second try":            {[]scriptedAnswer{{lost, ErrUnknown}, {0, ErrSequence}}, fenced, 2, ErrSequence},
		"not sent at all":                        {[]scriptedAnswer{{0, ErrUnavailable}}, fenced, 1, ErrUnavailable},
		"one try may have been done":             {[]scriptedAnswer{{2 * minFencedHedgeDelay, ErrUnknown}, {2 * minFencedHedgeDelay, ErrUnavailable}}, fenced, fencedTries, ErrUnknown},
		"the later try may have been done":       {[]scriptedAnswer{{2 * minFencedHedgeDelay, ErrUnavailable}, {2 * minFencedHedgeDelay, ErrUnknown}}, fenced, fencedTries, ErrUnknown},
		"a try that fails doesn't end the other": {[]scriptedAnswer{{minFencedHedgeDelay * 3 / 2, ErrUnavailable}, {3 * minFencedHedgeDelay, nil}}, fenced, fencedTries, nil},
		"at an offset it is sent once":           {[]scriptedAnswer{{3 * minFencedHedgeDelay, nil}}, Append{At: &at, Fence: &Fence{}}, 1, nil},
		"at an offset a lost answer is unknown":  {[]scriptedAnswer{{3 * minFencedHedgeDelay, ErrUnknown}}, Append{At: &at}, 1, ErrUnknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &scriptedStore{answers: tt.lines}
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

// A store that turns slow is asked a few more times at first and then once for each
// append: repeats would only add to its work.
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

// The caller's deadline ends all tries.
func TestHedgerKeepsDeadline(t *testing.T) {
	s := &scriptedStore{answers: []scriptedAnswer{{lost, nil}}}
	ctx, cancel := context.WithTimeout(context.Background(), 4*minFencedHedgeDelay)
	defer cancel()
	began := time.Now()
	_, err := NewHedger(s).Append(ctx, Append{Fence: &Fence{}})
	require.ErrorIs(t, err, ErrUnknown)
	require.Less(t, time.Since(began), lost/2)
}

// Read answers at once.
func (s *scriptedStore) Read(context.Context, Stream, int64, time.Duration) (Page, error) {
	return Page{}, nil
}

// A store that turns slow answers reads while its appends are late: those are awaited
// longer, as what was given up would still take its turn there. One that is silent is not
// awaited.
func TestALateAppendIsAwaitedWhileReadsAreAnswered(t *testing.T) {
	for name, reads := range map[string]bool{"slow": true, "silent": false} {
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

// Answers that take long are awaited: the same append isn't sent to a slow store twice.
func TestNothingIsRepeatedToASlowStore(t *testing.T) {
	s := &scriptedStore{answers: []scriptedAnswer{{500 * time.Millisecond, nil}}}
	r := NewHedger(s)
	for range 20 {
		r.ObserveLatency(slowLatency + 10*time.Millisecond)
	}
	require.True(t, r.IsSlow())
	_, err := r.Append(context.Background(), Append{Fence: &Fence{}})
	require.NoError(t, err)
	require.Equal(t, 1, s.count(), "one late answer is not a lost one")
}

// An append that is answered in time ends the suspicion that the store is slow.
func TestAnswerInTimeEndsSlowState(t *testing.T) {
	r := NewHedger(&scriptedStore{})
	began := time.Now()
	later := began.Add(slowAfter)
	r.noteLate(began)
	r.readAt = later
	require.True(t, r.isSlow(later))
	r.ObserveLatency(initialLatency)
	require.False(t, r.isSlow(later))
}
