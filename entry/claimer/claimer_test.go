package claimer

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

	"github.com/godwitcross/godwitcross/entry/platform"
	"github.com/godwitcross/godwitcross/fleet/claim"
	"github.com/godwitcross/godwitcross/fleet/dispatch"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
)

// memoryLog is an in-memory log with injected faults.
type memoryLog struct {
	mu       sync.Mutex
	records  []json.RawMessage
	appended chan struct{}
	// appendFault returns whether an append takes effect and the error that its caller
	// gets.
	appendFault func() (effect bool, err error)
	// readsFail makes all reads fail.
	readsFail bool
}

func newMemoryLog() *memoryLog {
	return &memoryLog{appended: make(chan struct{}), appendFault: func() (bool, error) { return true, nil }}
}

func (l *memoryLog) Append(_ journal.StreamID, records []json.RawMessage) (journal.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	effect, err := l.appendFault()
	if effect {
		l.records = append(l.records, records...)
		close(l.appended)
		l.appended = make(chan struct{})
	}
	return journal.Offset(len(l.records) - len(records)), err
}

func (l *memoryLog) Read(_ journal.StreamID, from journal.Offset, limit int, wait time.Duration) (platform.Batch, error) {
	l.mu.Lock()
	if l.readsFail {
		l.mu.Unlock()
		return platform.Batch{}, platform.ErrUnavailable
	}
	appended := l.appended
	if int(from) == len(l.records) && wait > 0 {
		l.mu.Unlock()
		select {
		case <-appended:
		case <-time.After(wait):
		}
		l.mu.Lock()
	}
	defer l.mu.Unlock()
	end := min(int(from)+limit, len(l.records))
	return platform.Batch{First: from, End: journal.Offset(len(l.records)), Records: l.records[from:end]}, nil
}

// newHost starts a claimer that uses the log.
func newHost(t *testing.T, l *memoryLog, name inventory.EntryID) *Claimer {
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := New(Config{Log: log, Name: name, Records: l})
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() { _ = c.Run(ctx) }()
	return c
}

func key(t *testing.T, text string) claim.Digest {
	k, err := claim.NewDigest("tenant", "service", text)
	require.NoError(t, err)
	return k
}

// TestOneGrantForAKey guards against a key granted twice: three hosts claim the same keys
// in a log whose appends fail at random, with and without effect.
func TestOneGrantForAKey(t *testing.T) {
	tests := []struct {
		name string
		// refused is the share of appends that fail without effect, lost the share of those
		// that take effect but return an error.
		refused, lost float64
	}{
		{"no faults", 0, 0},
		{"appends fail without effect", 0.3, 0},
		{"appends take effect without an answer", 0, 0.3},
		{"both faults", 0.2, 0.2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			l := newMemoryLog()
			random := rand.New(rand.NewPCG(1, 1))
			l.appendFault = func() (bool, error) {
				switch x := random.Float64(); {
				case x < test.refused:
					return false, platform.ErrUnavailable
				case x < test.refused+test.lost:
					return true, platform.ErrUncertain
				}
				return true, nil
			}
			var hosts []*Claimer
			for i := range 3 {
				hosts = append(hosts, newHost(t, l, inventory.EntryID(fmt.Sprint(i))))
			}
			var mu sync.Mutex
			grants := make(map[string]int)
			var wg sync.WaitGroup
			for i := range 60 {
				name := fmt.Sprint(i % 20)
				k := key(t, name)
				wg.Go(func() {
					if hosts[i%3].Claim(context.Background(), "service", k).Result == dispatch.ClaimGranted {
						mu.Lock()
						defer mu.Unlock()
						grants[name]++
					}
				})
			}
			wg.Wait()
			for k, n := range grants {
				require.Equal(t, 1, n, k)
			}
			if test.refused+test.lost == 0 {
				require.Len(t, grants, 20, "each key is granted once")
			}
		})
	}
}

// TestAbandonedClaimIsReleased guards against a key that stays claimed by a refused request:
// the claim takes effect only after it was answered with ClaimUnproven. The key must become
// free for a repeated request.
func TestAbandonedClaimIsReleased(t *testing.T) {
	l := newMemoryLog()
	a, b := newHost(t, l, "a"), newHost(t, l, "b")
	require.Equal(t, dispatch.ClaimGranted, a.Claim(context.Background(), "service", key(t, "first")).Result)
	l.mu.Lock()
	l.appendFault = func() (bool, error) { return true, platform.ErrUncertain }
	l.readsFail = true
	l.mu.Unlock()
	require.Equal(t, dispatch.ClaimUnproven, a.Claim(context.Background(), "service", key(t, "k")).Result)
	require.Equal(t, dispatch.ClaimUnproven, a.Claim(context.Background(), "service", key(t, "l")).Result)
	l.mu.Lock()
	l.appendFault = func() (bool, error) { return true, nil }
	l.readsFail = false
	l.mu.Unlock()
	require.Eventually(t, func() bool {
		return b.Claim(context.Background(), "service", key(t, "k")).Result == dispatch.ClaimGranted
	}, time.Minute, 10*time.Millisecond)
}

// TestReleasedKey releases a granted key, which another host can then claim.
func TestReleasedKey(t *testing.T) {
	l := newMemoryLog()
	a, b := newHost(t, l, "a"), newHost(t, l, "b")
	g := a.Claim(context.Background(), "service", key(t, "k"))
	require.Equal(t, dispatch.ClaimGranted, g.Result)
	require.Equal(t, dispatch.ClaimUsed, b.Claim(context.Background(), "service", key(t, "k")).Result)
	a.Release("service", key(t, "k"), g)
	require.Eventually(t, func() bool {
		return b.Claim(context.Background(), "service", key(t, "k")).Result == dispatch.ClaimGranted
	}, time.Minute, 10*time.Millisecond)
}
