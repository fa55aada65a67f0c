package leader

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/godwitcross/godwitcross/entry/clock"
	"github.com/godwitcross/godwitcross/entry/election"
	"github.com/godwitcross/godwitcross/entry/store"
)

const (
	// maxStall is how long a takeover or a commit may bring no answer and no byte, while the store takes the
	// leader's heartbeats: two appends to a slow store with their timeouts, and the pause between them.
	maxStall = 6 * time.Second
	// watchInterval is how often a stall is looked for.
	watchInterval = 250 * time.Millisecond
)

// watchdog tells whether a leader gets on. One that can't load its state or can't store its decisions keeps all other
// hosts from leading with its heartbeats.
type watchdog struct {
	mu sync.Mutex
	// mu guards the fields below. isBusy is set while the state is loaded or a commit is stored.
	isBusy bool
	// at is when the work last got on: it began, an append was answered, or bytes of a page arrived.
	at time.Time
	// confirmedAt is the send time of the last heartbeat that the store accepted.
	confirmedAt time.Time
}

// begin records that work begins.
func (w *watchdog) begin(now time.Time) {
	w.set(now, true)
}

// end records that the work is done.
func (w *watchdog) end(now time.Time) {
	w.set(now, false)
}

func (w *watchdog) set(now time.Time, isBusy bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isBusy, w.at = isBusy, now
}

// touch records that the work has got on.
func (w *watchdog) touch(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.at = now
}

// touchIfBusy records an answer that the store is busy. Another host would get the same.
func (w *watchdog) touchIfBusy(now time.Time, err error) {
	if errors.Is(err, store.ErrBusy) {
		w.touch(now)
	}
}

// confirm records that the store has accepted a heartbeat.
func (w *watchdog) confirm(sentAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.confirmedAt = sentAt
}

// stalledFor returns how long the work hasn't got on as of the last heartbeat that the store accepted. The time in
// which it accepts none doesn't count as a stall, as no other host could lead either.
func (w *watchdog) stalledFor() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isBusy {
		return 0
	}
	return w.confirmedAt.Sub(w.at)
}

// watchStalls ends the leadership if the takeover or a commit is stalled.
func (l *Leader) watchStalls(ctx context.Context) error {
	for clock.Sleep(ctx, watchInterval) {
		if d := l.watchdog.stalledFor(); d > maxStall {
			l.cfg.Metrics.Count("leaderships_stalled", 1)
			l.log.WithFields(logrus.Fields{"StalledMs": d.Milliseconds(), "Loaded": l.isLoaded()}).Warn("no progress; the leadership is left to another host")
			return eris.Wrapf(election.ErrStalled, "for %s", d)
		}
	}
	return ctx.Err()
}

// isLoaded reports whether the takeover is complete.
func (l *Leader) isLoaded() bool {
	select {
	case <-l.loaded:
		return true
	default:
		return false
	}
}
