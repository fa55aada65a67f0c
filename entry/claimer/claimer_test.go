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

// memoryLog is a log that fails in the ways of the test.
type memoryLog struct {
	mu      sync.Mutex
	records []json.RawMessage
	grown   chan struct{}
	// fault returns what happens to an append: whether it takes effect, and the
	// error that its caller gets.
	fault func() (effect bool, err error)
	// unreadable makes reads fail.
	unreadable bool
}

func newMemoryLog() *memoryLog {
	return &memoryLog{grown: make(chan struct{}), fault: func() (bool, error) { return true, nil }}
}

func (l *memoryLog) Append(_ journal.StreamID, records []json.RawMessage) (journal.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	effect, err := l.fault()
	if effect {
		l.records = append(l.records, records...)
		close(l.grown)
		l.grown = make(chan struct{})
	}
	return journal.Offset(len(l.records) - len(records)), err
}

func (l *memoryLog) Read(_ journal.StreamID, from journal.Offset, limit int, wait time.Duration) (platform.Batch, error) {
	l.mu.Lock()
	if l.unreadable {
		l.mu.Unlock()
		return platform.Batch{}, platform.ErrUnavailable
	}
	grown := l.grown
	if int(from) == len(l.records) && wait > 0 {
		l.mu.Unlock()
		select {
		case <-grown:
		case <-time.After(wait):
		}
		l.mu.Lock()
	}
	defer l.mu.Unlock()
	end := min(int(from)+limit, len(l.records))
	return platform.Batch{First: from, End: journal.Offset(len(l.records)), Records: l.records[from:end]}, nil
}

// newHost starts a claimer on the log.
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

// TestOneGrantForAKey lets hosts race for keys on a log that fails at random.
func TestOneGrantForAKey(t *testing.T) {
	tests := []struct {
		name string
		// refused and lost are the shares of appends that have no effect, and of
		// those that have one without an answer.
		refused, lost float64
	}{
		{"a log that works", 0, 0},
		{"a log that refuses", 0.3, 0},
		{"a log whose answers are lost", 0, 0.3},
		{"a log that does both", 0.2, 0.2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			l := newMemoryLog()
			random := rand.New(rand.NewPCG(1, 1))
			l.fault = func() (bool, error) {
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
					if hosts[i%3].Claim(context.Background(), "service", k).Verdict == dispatch.ClaimGranted {
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
				require.Len(t, grants, 20, "each key is granted to somebody")
			}
		})
	}
}

// TestAbandonedClaimIsGivenBack lets a claim take effect after its request was
// refused. The key is free for the repeat.
func TestAbandonedClaimIsGivenBack(t *testing.T) {
	l := newMemoryLog()
	a, b := newHost(t, l, "a"), newHost(t, l, "b")
	require.Equal(t, dispatch.ClaimGranted, a.Claim(context.Background(), "service", key(t, "first")).Verdict)
	l.mu.Lock()
	l.fault = func() (bool, error) { return true, platform.ErrUncertain }
	l.unreadable = true
	l.mu.Unlock()
	require.Equal(t, dispatch.ClaimUnproven, a.Claim(context.Background(), "service", key(t, "k")).Verdict)
	require.Equal(t, dispatch.ClaimUnproven, a.Claim(context.Background(), "service", key(t, "l")).Verdict)
	l.mu.Lock()
	l.fault = func() (bool, error) { return true, nil }
	l.unreadable = false
	l.mu.Unlock()
	require.Eventually(t, func() bool {
		return b.Claim(context.Background(), "service", key(t, "k")).Verdict == dispatch.ClaimGranted
	}, time.Minute, 10*time.Millisecond)
}

// TestReleasedKey gives a granted key back; another host gets it.
func TestReleasedKey(t *testing.T) {
	l := newMemoryLog()
	a, b := newHost(t, l, "a"), newHost(t, l, "b")
	g := a.Claim(context.Background(), "service", key(t, "k"))
	require.Equal(t, dispatch.ClaimGranted, g.Verdict)
	require.Equal(t, dispatch.ClaimUsed, b.Claim(context.Background(), "service", key(t, "k")).Verdict)
	a.Release("service", key(t, "k"), g)
	require.Eventually(t, func() bool {
		return b.Claim(context.Background(), "service", key(t, "k")).Verdict == dispatch.ClaimGranted
	}, time.Minute, 10*time.Millisecond)
}
