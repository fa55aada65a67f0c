package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/godwitcross/godwitcross/entry/metric"
	"github.com/godwitcross/godwitcross/fleet/journal"
)

// fakeLog keeps one stream and fails as configured.
type fakeLog struct {
	mu      sync.Mutex
	records []json.RawMessage
	calls   int
	// gate blocks appends until it is closed, if it is not nil.
	gate chan struct{}
	// fail decides what the n-th append does, counted from 1.
	fail func(n int) (effect bool, err error)
}

func (l *fakeLog) Append(_ journal.StreamID, records []json.RawMessage) (journal.Offset, error) {
	if l.gate != nil {
		<-l.gate
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	effect, err := true, error(nil)
	if l.fail != nil {
		effect, err = l.fail(l.calls)
	}
	first := journal.Offset(len(l.records))
	if effect {
		l.records = append(l.records, records...)
	}
	return first, err
}

func (l *fakeLog) Read(_ journal.StreamID, from journal.Offset, limit int, _ time.Duration) (Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	end := journal.Offset(len(l.records))
	last := min(from+journal.Offset(limit), end)
	return Batch{First: from, End: end, Records: l.records[min(from, end):last]}, nil
}

func startAppender(t *testing.T, l *fakeLog, rules map[journal.Kind]journal.BufferRule) *Appender {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	a := NewAppender(AppenderConfig{Log: log, Metrics: metric.NewRegistry(), Target: l, Rules: rules, Rand: rand.New(rand.NewPCG(1, 1))})
	ctx, stop := context.WithCancel(context.Background())
	go func() { _ = a.Run(ctx) }()
	t.Cleanup(func() { stop(); <-a.ended })
	return a
}

func record(t *testing.T, id string, kind journal.Kind) journal.Record {
	t.Helper()
	r, err := journal.NewRecord(journal.RecordID(id), kind, time.Unix(0, 0), "e1", 1)
	require.NoError(t, err)
	return r
}

// Guards against lost and duplicate records, and against a wrong outcome for the writer,
// after each kind of fault of the log.
func TestAppendDuringEachFault(t *testing.T) {
	once := func(effect bool, err error) func(int) (bool, error) {
		return func(n int) (bool, error) {
			if n == 1 {
				return effect, err
			}
			return true, nil
		}
	}
	always := func(effect bool, err error) func(int) (bool, error) {
		return func(int) (bool, error) { return effect, err }
	}
	tests := []struct {
		name    string
		kind    journal.Kind
		fail    func(int) (bool, error)
		want    error
		records int
	}{
		{"no fault", "K", nil, nil, 1},
		{"temporarily unavailable", "K", once(false, ErrUnavailable), nil, 1},
		{"response lost before the effect", "K", once(false, ErrUncertain), nil, 1},
		{"response lost after the effect is read back, not appended twice", "K", once(true, ErrUncertain), nil, 1},
		{"permanently refused", "K", always(false, ErrRefused), ErrNotAppended, 0},
		{"unavailable until the writer gives up", "K", always(false, ErrUnavailable), ErrNotAppended, 0},
		{"no response until the writer gives up", "K", always(false, ErrUncertain), ErrUncertain, 0},
		{"a kind that must not be buffered", "Claim", once(false, ErrUnavailable), ErrNotAppended, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := &fakeLog{fail: test.fail}
			a := startAppender(t, l, map[journal.Kind]journal.BufferRule{"Claim": journal.Refuse})
			timeout := time.Minute
			if test.want != nil {
				timeout = 300 * time.Millisecond
			}
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			err := a.Append(ctx, "S", record(t, "r", test.kind))
			if test.want == nil {
				require.NoError(t, err)
			} else {
				require.ErrorIs(t, err, test.want)
			}
			require.Len(t, l.records, test.records)
		})
	}
}

func TestWaitingRecordsAreAppendedInOneCall(t *testing.T) {
	const writers = 100
	l := &fakeLog{gate: make(chan struct{})}
	a := startAppender(t, l, nil)
	var g errgroup.Group
	for i := range writers {
		g.Go(func() error { return a.Append(context.Background(), "S", record(t, fmt.Sprint(i), "K")) })
	}
	// The first call is blocked until all records were accepted.
	for accepted := int64(0); accepted < writers; time.Sleep(time.Millisecond) {
		accepted = 0
		for _, p := range a.cfg.Metrics.Points() {
			if p.Name == "log_records" {
				accepted = p.Value
			}
		}
	}
	close(l.gate)
	require.NoError(t, g.Wait())
	require.Len(t, l.records, writers)
	require.LessOrEqual(t, l.calls, 2)
}

// The log refuses a batch as a whole. Guards against failing the valid records of a batch
// with an invalid one.
func TestOnlyTheInvalidRecordOfABatchFails(t *testing.T) {
	l := &fakeLog{gate: make(chan struct{})}
	l.fail = func(int) (bool, error) { return true, nil }
	bad := &rejectingLog{fakeLog: l}
	log := logrus.New()
	log.SetOutput(io.Discard)
	a := NewAppender(AppenderConfig{Log: log, Metrics: metric.NewRegistry(), Target: bad, Rand: rand.New(rand.NewPCG(1, 1))})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = a.Run(ctx) }()
	errs := make(chan error, 10)
	for i := range 10 {
		go func() {
			err := a.Append(ctx, "S", record(t, fmt.Sprint(i), "K"))
			if i == 3 {
				require.ErrorIs(t, err, ErrNotAppended)
				err = nil
			}
			errs <- err
		}()
	}
	close(l.gate)
	for range 10 {
		require.NoError(t, <-errs)
	}
	require.Len(t, l.records, 9)
}

// rejectingLog refuses every call that contains the record "3".
type rejectingLog struct{ *fakeLog }

func (l *rejectingLog) Append(s journal.StreamID, records []json.RawMessage) (journal.Offset, error) {
	for _, raw := range records {
		if r, err := journal.Decode(raw); err == nil && r.ID == "3" {
			return 0, ErrRefused
		}
	}
	return l.fakeLog.Append(s, records)
}
