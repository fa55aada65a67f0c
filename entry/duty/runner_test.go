package duty

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/lease"
)

// log folds what is appended, unless it is away.
type log struct {
	mu   sync.Mutex
	fold *journal.StateMachine
	r    *lease.Reducer
	away bool
}

func newLog() *log {
	r := lease.NewReducer()
	return &log{r: r, fold: journal.NewStateMachine(r, r)}
}

func (l *log) Append(_ context.Context, _ journal.StreamID, r journal.Record) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.away {
		return eris.New("away")
	}
	raw, err := r.Encode()
	if err != nil {
		return err
	}
	_, err = l.fold.Apply(l.fold.NextOffset(), raw)
	return err
}

func (l *log) holdings() Holdings {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.r.Holdings()
}

// slowWork ticks until its context ends.
type slowWork struct {
	duty    lease.Duty
	started chan journal.Epoch
	stopped chan struct{}
}

func newSlowWork(d lease.Duty) *slowWork {
	return &slowWork{duty: d, started: make(chan journal.Epoch, 8), stopped: make(chan struct{}, 8)}
}

func (w *slowWork) Duty() lease.Duty { return w.duty }

func (w *slowWork) Tick(ctx context.Context, _ time.Time, epoch journal.Epoch) error {
	w.started <- epoch
	<-ctx.Done()
	w.stopped <- struct{}{}
	return nil
}

func newRunner(l *log, name inventory.EntryID, work ...Work) *Runner {
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	return NewRunner(Config{
		Log: quiet, Name: name, Stream: "S", Holdings: l.holdings, Records: l, Work: work,
		Hosts: func() []inventory.EntryID { return []inventory.EntryID{name} },
	})
}

// steps lets virtual time pass, and waits for the append of each step.
func steps(r *Runner, from time.Time, d time.Duration) time.Time {
	now := from
	for ; now.Before(from.Add(d)); now = now.Add(stepEvery) {
		r.step(context.Background(), now)
		if r.appending {
			<-r.appended
			r.appending = false
		}
		select {
		case d := <-r.ended:
			delete(r.ticks, d)
		default:
		}
	}
	return now
}

func TestASlowTickHoldsNoRenewalUpAndEndsBeforeItsTerm(t *testing.T) {
	l, first, second := newLog(), newSlowWork("First"), newSlowWork("Second")
	r := newRunner(l, "e1", first, second)
	now := steps(r, time.Unix(1000, 0), 3*lease.Duration)
	require.Equal(t, journal.Epoch(1), <-first.started)
	require.Equal(t, journal.Epoch(1), <-second.started)
	require.Len(t, r.tracker.Held(now), 2, "both are still held after three terms")
	require.Empty(t, first.stopped)
	l.mu.Lock()
	l.away = true
	l.mu.Unlock()
	now = steps(r, now, lease.Duration-stopEarly+stepEvery)
	<-first.stopped
	<-second.stopped
	require.Equal(t, journal.Epoch(1), l.holdings()["First"].Epoch, "nobody else has claimed yet")
	require.NotEmpty(t, now)
}

func TestAPlannedStopStopsTheWorkAndHandsTheDutyOver(t *testing.T) {
	l, w := newLog(), newSlowWork("First")
	r := newRunner(l, "e1", w)
	now := steps(r, time.Unix(1000, 0), lease.RenewInterval)
	<-w.started
	r.stop(now)
	<-w.stopped
	require.Empty(t, l.holdings()["First"].Holder)
	next := newSlowWork("First")
	steps(newRunner(l, "e2", next), now, 3*stepEvery)
	require.Equal(t, journal.Epoch(2), <-next.started)
}
