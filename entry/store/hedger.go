package store

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// hedgeFactor times the usual latency is how long a lost one is awaited.
	hedgeFactor = 6
	// minFencedHedgeDelay bounds that from below for the appends of the owner, of which there
	// is one at a time: answers of a busy store come in some tens of milliseconds.
	minFencedHedgeDelay = 50 * time.Millisecond
	// minSharedHedgeDelay is the bound for appends of all hosts: their repeats add up.
	minSharedHedgeDelay = 250 * time.Millisecond
	// fencedTries and sharedTries are how often an append is sent at most; each try goes
	// out while the ones before are awaited.
	fencedTries = 4
	sharedTries = 2
	// tryTimeout is how long an append is awaited. slowTryTimeout is that while the store is slow:
	// a stream lets appends wait for 2 s, and one that was given up still takes its turn.
	tryTimeout     = 900 * time.Millisecond
	slowTryTimeout = 2500 * time.Millisecond
	// slowAfter is for how long all appends are late, while reads are answered, before
	// the store counts as slow.
	slowAfter = 600 * time.Millisecond
	// slowLatency is from which usual latency on nothing is repeated: answers take 4 to 9 ms, and
	// a store that takes several times that gets slower by repeats.
	slowLatency = 30 * time.Millisecond
	// initialLatency is what answers are said to take.
	initialLatency = 5 * time.Millisecond
	// latencyWeight is the weight of one more answer in the usual latency.
	latencyWeight = 0.2
)

// Hedger sends an append again while its answer is late, and takes the first answer. A
// repeat changes nothing: records have keys, and fenced appends have sequence numbers.
// Appends at an offset are sent once, and nothing is repeated to a slow store.
type Hedger struct {
	Store

	mu sync.Mutex
	// latency is the time that appends take. lateSince is since when all are late, zero
	// while one was in time; readAt is when a read was last answered. All are guarded by mu.
	latency           time.Duration
	lateSince, readAt time.Time
}

// NewHedger returns a store that repeats the appends of another one.
func NewHedger(s Store) *Hedger {
	return &Hedger{Store: s, latency: initialLatency}
}

// attempt is the outcome of one try.
type attempt struct {
	out Appended
	err error
}

// Append adds records.
func (h *Hedger) Append(ctx context.Context, a Append) (Appended, error) {
	if a.At != nil {
		return h.appendOnce(ctx, a)
	}
	ctx, cancel := context.WithTimeout(ctx, slowTryTimeout)
	defer cancel()
	tries, least := sharedTries, minSharedHedgeDelay
	if a.Fence != nil {
		tries, least = fencedTries, minFencedHedgeDelay
	}
	answers := make(chan attempt, tries)
	began := time.Now()
	go h.try(ctx, a, answers)
	sent, open := 1, 1
	late := time.NewTicker(h.hedgeDelay(least))
	defer late.Stop()
	var failed attempt
	for {
		select {
		case at := <-answers:
			if isAnswer(at.err) {
				return at.out, at.err
			}
			if open--; failed.err == nil || errors.Is(at.err, ErrUnknown) {
				failed = at
			}
			if open == 0 {
				return failed.out, failed.err
			}
		case now := <-late.C:
			isSlow := h.noteLate(now)
			if now.Sub(began) >= tryTimeout && !isSlow {
				return Appended{}, ErrUnknown
			}
			if sent < tries && !isSlow {
				sent, open = sent+1, open+1
				go h.try(ctx, a, answers)
			}
		}
	}
}

// try sends an append once and learns from its answer.
func (h *Hedger) try(ctx context.Context, a Append, answers chan<- attempt) {
	began := time.Now()
	out, err := h.Store.Append(ctx, a)
	if isAnswer(err) {
		h.ObserveLatency(time.Since(began))
	}
	answers <- attempt{out, err}
}

// appendOnce sends an append that must not be repeated.
func (h *Hedger) appendOnce(ctx context.Context, a Append) (Appended, error) {
	within := tryTimeout
	if h.IsSlow() {
		within = slowTryTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	return h.Store.Append(ctx, a)
}

// Read waits for records.
func (h *Hedger) Read(ctx context.Context, s Stream, from int64, wait time.Duration) (Page, error) {
	page, err := h.Store.Read(ctx, s, from, wait)
	if isAnswer(err) {
		h.mu.Lock()
		h.readAt = time.Now()
		h.mu.Unlock()
	}
	return page, err
}

// isAnswer reports whether the store itself has answered.
func isAnswer(err error) bool {
	return !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrUnknown)
}

// ObserveLatency takes an answer into account that came by another way, and took so long.
func (h *Hedger) ObserveLatency(took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lateSince = time.Time{}
	h.latency += time.Duration(latencyWeight * float64(took-h.latency))
}

// hedgeDelay is how long an answer is awaited before the append is sent again.
func (h *Hedger) hedgeDelay(least time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(hedgeFactor*h.latency, least)
}

// noteLate notes that an append is late and reports whether the store is slow.
func (h *Hedger) noteLate(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lateSince.IsZero() {
		h.lateSince = now
	}
	return h.isSlow(now)
}

// isSlow reports whether appends take long, by those that were answered, or since all are
// late although the store answers reads. It is called with mu held.
func (h *Hedger) isSlow(now time.Time) bool {
	return h.latency > slowLatency ||
		!h.lateSince.IsZero() && now.Sub(h.lateSince) >= slowAfter && h.readAt.After(h.lateSince)
}

// IsSlow reports whether answers take long, so that a late one isn't lost.
func (h *Hedger) IsSlow() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.isSlow(time.Now())
}
