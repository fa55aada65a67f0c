package store

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// repeatFactor times the usual time of an answer is how long a lost one is awaited.
	repeatFactor = 6
	// fencedPatience bounds that from below for the appends of the owner, of which there
	// is one at a time: answers of a busy store come in some tens of milliseconds.
	fencedPatience = 50 * time.Millisecond
	// sharedPatience is the bound for appends of all hosts: their repeats add up.
	sharedPatience = 250 * time.Millisecond
	// fencedTries and sharedTries are how often an append is sent at most; each try goes
	// out while the ones before are awaited.
	fencedTries = 4
	sharedTries = 2
	// tryTime is how long an append is awaited. slowTryTime is that while the store is slow:
	// a stream lets appends wait for 2 s, and one that was given up still takes its turn.
	tryTime     = 900 * time.Millisecond
	slowTryTime = 2500 * time.Millisecond
	// suspectAfter is for how long all appends are late, while reads are answered, before
	// the store counts as slow.
	suspectAfter = 600 * time.Millisecond
	// slowStore is from which usual time on nothing is repeated: answers take 4 to 9 ms, and
	// a store that takes several times that gets slower by repeats.
	slowStore = 30 * time.Millisecond
	// usualAtFirst is what answers are said to take.
	usualAtFirst = 5 * time.Millisecond
	// usualWeight is the weight of one more answer in its usual time.
	usualWeight = 0.2
)

// Repeater sends an append again while its answer is late, and takes the first answer. A
// repeat changes nothing: records have keys, and fenced appends have sequence numbers.
// Appends at an offset are sent once, and nothing is repeated to a slow store.
type Repeater struct {
	Store

	mu sync.Mutex
	// usual is the time that appends take. lateSince is since when all are late, zero
	// while one was in time; readAt is when a read was last answered. All are guarded by mu.
	usual             time.Duration
	lateSince, readAt time.Time
}

// NewRepeater returns a store that repeats the appends of another one.
func NewRepeater(s Store) *Repeater {
	return &Repeater{Store: s, usual: usualAtFirst}
}

// attempt is the outcome of one try.
type attempt struct {
	out Appended
	err error
}

// Append adds records.
func (r *Repeater) Append(ctx context.Context, a Append) (Appended, error) {
	if a.At != nil {
		return r.once(ctx, a)
	}
	ctx, cancel := context.WithTimeout(ctx, slowTryTime)
	defer cancel()
	tries, least := sharedTries, sharedPatience
	if a.Fence != nil {
		tries, least = fencedTries, fencedPatience
	}
	answers := make(chan attempt, tries)
	began := time.Now()
	go r.try(ctx, a, answers)
	sent, open := 1, 1
	late := time.NewTicker(r.patience(least))
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
			isSlow := r.isLate(now)
			if now.Sub(began) >= tryTime && !isSlow {
				return Appended{}, ErrUnknown
			}
			if sent < tries && !isSlow {
				sent, open = sent+1, open+1
				go r.try(ctx, a, answers)
			}
		}
	}
}

// try sends an append once and learns from its answer.
func (r *Repeater) try(ctx context.Context, a Append, answers chan<- attempt) {
	began := time.Now()
	out, err := r.Store.Append(ctx, a)
	if isAnswer(err) {
		r.Learn(time.Since(began))
	}
	answers <- attempt{out, err}
}

// once sends an append that must not be repeated.
func (r *Repeater) once(ctx context.Context, a Append) (Appended, error) {
	within := tryTime
	if r.IsSlow() {
		within = slowTryTime
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	return r.Store.Append(ctx, a)
}

// Read waits for records.
func (r *Repeater) Read(ctx context.Context, s Stream, from int64, wait time.Duration) (Page, error) {
	page, err := r.Store.Read(ctx, s, from, wait)
	if isAnswer(err) {
		r.mu.Lock()
		r.readAt = time.Now()
		r.mu.Unlock()
	}
	return page, err
}

// isAnswer reports whether the store itself has answered.
func isAnswer(err error) bool {
	return !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrUnknown)
}

// Learn takes an answer into account that came by another way, and took so long.
func (r *Repeater) Learn(took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lateSince = time.Time{}
	r.usual += time.Duration(usualWeight * float64(took-r.usual))
}

// patience is how long an answer is awaited before the append is sent again.
func (r *Repeater) patience(least time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(repeatFactor*r.usual, least)
}

// isLate notes that an append is late and reports whether the store is slow.
func (r *Repeater) isLate(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lateSince.IsZero() {
		r.lateSince = now
	}
	return r.isSlow(now)
}

// isSlow reports whether appends take long, by those that were answered, or since all are
// late although the store answers reads. It is called with mu held.
func (r *Repeater) isSlow(now time.Time) bool {
	return r.usual > slowStore ||
		!r.lateSince.IsZero() && now.Sub(r.lateSince) >= suspectAfter && r.readAt.After(r.lateSince)
}

// IsSlow reports whether answers take long, so that a late one isn't lost.
func (r *Repeater) IsSlow() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isSlow(time.Now())
}
