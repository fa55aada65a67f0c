package store

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// hedgeFactor times the average latency is the delay before an append is sent again.
	hedgeFactor = 6
	// minFencedHedgeDelay is the lower bound of that delay for the leader's appends, which
	// are in flight one at a time. A busy store answers within some tens of milliseconds.
	minFencedHedgeDelay = 50 * time.Millisecond
	// minUnfencedHedgeDelay is the lower bound for other appends. It is longer because the
	// hedges of all hosts add up.
	minUnfencedHedgeDelay = 250 * time.Millisecond
	// maxFencedTries and maxUnfencedTries bound how often an append is sent. Earlier tries
	// stay in flight.
	maxFencedTries   = 4
	maxUnfencedTries = 2
	// tryTimeout is the timeout of an append, and slowTryTimeout the timeout while the
	// store is slow: a stream queues appends for up to 2 s, and an abandoned one keeps
	// its place in that queue.
	tryTimeout     = 900 * time.Millisecond
	slowTryTimeout = 2500 * time.Millisecond
	// slowAfter is how long all appends must be late, while reads are answered, until the
	// store counts as slow.
	slowAfter = 600 * time.Millisecond
	// busyHold is how long the store counts as slow after it has rejected an append: as long as a
	// stream queues appends.
	busyHold = 2 * time.Second
	// slowLatency is the average latency above which the store counts as slow and nothing
	// is hedged. Answers usually take 4 to 9 ms; hedging would slow down a store further
	// that takes several times as long.
	slowLatency = 30 * time.Millisecond
	// slowForAllLatency is the average latency of a host above which the store counts as slow for
	// all hosts. The latency that a host with a fully used processor observes stays below it.
	slowForAllLatency = 100 * time.Millisecond
	// initialLatency is the average latency assumed before the first answer.
	initialLatency = 5 * time.Millisecond
	// latencyWeight is the weight of a new answer in the moving average of the latency.
	latencyWeight = 0.2
)

// Hedger sends an append again while its answer is late and returns the first answer.
// Duplicates are harmless: records have keys, and fenced appends have sequence numbers.
// Conditional appends are sent once, and nothing is hedged while the store is slow.
type Hedger struct {
	Store
	// HedgesUnfenced reports whether appends without a fence are hedged here. It is false while
	// another host hedges them, and nil if they always are.
	HedgesUnfenced func() bool

	mu sync.Mutex
	// mu guards the fields below. latency is a moving average. lateSince is the time from
	// which all appends have been late, zero after one was answered. readAt is the time of
	// the last answer to a read. busyUntil is until when the store counts as slow because it has
	// rejected an append.
	latency           time.Duration
	lateSince, readAt time.Time
	busyUntil         time.Time
}

// NewHedger returns a store that hedges appends to s.
func NewHedger(s Store) *Hedger {
	return &Hedger{Store: s, latency: initialLatency}
}

// attempt is the outcome of one try.
type attempt struct {
	out Appended
	err error
}

// Append adds records to a stream. If no try is answered, the error is ErrUnknown if one of
// them may have been carried out.
func (h *Hedger) Append(ctx context.Context, a Append) (Appended, error) {
	if a.At != nil {
		return h.appendOnce(ctx, a)
	}
	ctx, cancel := context.WithTimeout(ctx, slowTryTimeout)
	defer cancel()
	maxTries, minDelay := maxUnfencedTries, minUnfencedHedgeDelay
	switch {
	case a.Fence != nil:
		maxTries, minDelay = maxFencedTries, minFencedHedgeDelay
	case h.HedgesUnfenced != nil && !h.HedgesUnfenced():
		maxTries = 1
	}
	answers := make(chan attempt, maxTries)
	began := time.Now()
	go h.try(ctx, a, answers)
	tries, unanswered := 1, 1
	hedgeTicker := time.NewTicker(h.hedgeDelay(minDelay))
	defer hedgeTicker.Stop()
	var failed attempt
	for {
		select {
		case answer := <-answers:
			if isAnswer(answer.err) {
				return answer.out, answer.err
			}
			if unanswered--; failed.err == nil || errors.Is(answer.err, ErrUnknown) {
				failed = answer
			}
			if unanswered == 0 {
				return failed.out, failed.err
			}
		case now := <-hedgeTicker.C:
			isSlow := h.recordLate(now)
			if now.Sub(began) >= tryTimeout && !isSlow {
				return Appended{}, ErrUnknown
			}
			if tries < maxTries && !isSlow {
				tries, unanswered = tries+1, unanswered+1
				go h.try(ctx, a, answers)
			}
		}
	}
}

// try sends an append once and records the latency of its answer.
func (h *Hedger) try(ctx context.Context, a Append, answers chan<- attempt) {
	began := time.Now()
	out, err := h.Store.Append(ctx, a)
	switch {
	case isAnswer(err):
		h.ObserveLatency(time.Since(began))
	case errors.Is(err, ErrBusy):
		h.recordBusy(time.Now())
	}
	answers <- attempt{out, err}
}

// appendOnce sends an append without hedging.
func (h *Hedger) appendOnce(ctx context.Context, a Append) (Appended, error) {
	timeout := tryTimeout
	if h.IsSlow() {
		timeout = slowTryTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return h.Store.Append(ctx, a)
}

// Read waits for records. Its answer shows that the store is reachable.
func (h *Hedger) Read(ctx context.Context, s Stream, from int64, wait time.Duration) (Page, error) {
	page, err := h.Store.Read(ctx, s, from, wait)
	if isAnswer(err) {
		h.mu.Lock()
		h.readAt = time.Now()
		h.mu.Unlock()
	}
	return page, err
}

// isAnswer reports whether a result with this error is an answer of the store itself.
func isAnswer(err error) bool {
	return !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrUnknown)
}

// ObserveLatency adds a sample to the moving average. It is exported for appends that did
// not pass through the hedger.
func (h *Hedger) ObserveLatency(sample time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lateSince = time.Time{}
	h.latency += time.Duration(latencyWeight * float64(sample-h.latency))
}

// recordBusy records that the store has rejected an append.
func (h *Hedger) recordBusy(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.busyUntil = now.Add(busyHold)
}

// HedgeDelay returns the delay before an unanswered append without a fence is sent again.
func (h *Hedger) HedgeDelay() time.Duration {
	return h.hedgeDelay(minUnfencedHedgeDelay)
}

// hedgeDelay returns the delay before an unanswered append is sent again.
func (h *Hedger) hedgeDelay(minDelay time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(hedgeFactor*h.latency, minDelay)
}

// recordLate records that an append is late and reports whether the store is slow.
func (h *Hedger) recordLate(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lateSince.IsZero() {
		h.lateSince = now
	}
	return h.isSlow(now)
}

// isSlow reports whether the average latency is high, the store has just rejected an append, or
// all appends have been late for a while although the store answers reads. The caller holds mu.
func (h *Hedger) isSlow(now time.Time) bool {
	return h.latency > slowLatency || now.Before(h.busyUntil) ||
		!h.lateSince.IsZero() && now.Sub(h.lateSince) >= slowAfter && h.readAt.After(h.lateSince)
}

// AnswersSlowly reports whether the store is slow for all hosts, by its answers alone: a host that it
// turns away can't tell whether it is slow for the others.
func (h *Hedger) AnswersSlowly() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.latency > slowForAllLatency
}

// IsSlow reports whether the store is slow, so that a late answer is probably not lost.
func (h *Hedger) IsSlow() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.isSlow(time.Now())
}
