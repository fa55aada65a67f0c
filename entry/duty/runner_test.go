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

// fakeLog applies appended records unless it is unavailable.
type fakeLog struct {
	mu          sync.Mutex
	machine     *journal.StateMachine
	reducer     *lease.Reducer
	unavailable bool
}

func newFakeLog() *fakeLog {
	r := lease.NewReducer()
	return &fakeLog{reducer: r, machine: journal.NewStateMachine(r, r)}
}

func (l *fakeLog) Append(_ context.Context, _ journal.StreamID, r journal.Record) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return eris.New("away")
	}
	raw, err := r.Encode()
	if err != nil {
		return err
	}
	_, err = l.machine.Apply(l.machine.NextOffset(), raw)
	return err
}

func (l *fakeLog) holdings() Holdings {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reducer.Holdings()
}

// blockingWork is work whose ticks last until their context ends.
type blockingWork struct {
	duty    lease.Duty
	started chan journal.Epoch
	stopped chan struct{}
}

func newBlockingWork(d lease.Duty) *blockingWork {
	return &blockingWork{duty: d, started: make(chan journal.Epoch, 8), stopped: make(chan struct{}, 8)}
}

func (w *blockingWork) Duty() lease.Duty { return w.duty }

func (w *blockingWork) Tick(ctx context.Context, _ time.Time, epoch journal.Epoch) error {
	w.started <- epoch
	<-ctx.Done()
	w.stopped <- struct{}{}
	return nil
}

func newRunner(l *fakeLog, name inventory.EntryID, work ...Work) *Runner {
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	return NewRunner(Config{
		Log: quiet, Name: name, Stream: "S", Holdings: l.holdings, Records: l, Work: work,
		Hosts: func() []inventory.EntryID { return []inventory.EntryID{name} },
	})
}

// runSteps steps the runner through virtual time and waits for the append of each step.
func runSteps(r *Runner, from time.Time, d time.Duration) time.Time {
	now := from
	for ; now.Before(from.Add(d)); now = now.Add(stepInterval) {
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

// Guards against a lease that expires because a tick is slow, and against work that goes on
// after the lease ended while the log is unavailable.
func TestSlowTickDelaysNoRenewalAndEndsBeforeItsLease(t *testing.T) {
	l, first, second := newFakeLog(), newBlockingWork("First"), newBlockingWork("Second")
	r := newRunner(l, "e1", first, second)
	now := runSteps(r, time.Unix(1000, 0), 3*lease.Duration)
	require.Equal(t, journal.Epoch(1), <-first.started)
	require.Equal(t, journal.Epoch(1), <-second.started)
	require.Len(t, r.tracker.Held(now), 2, "both are still held after three lease durations")
	require.Empty(t, first.stopped)
	l.mu.Lock()
	l.unavailable = true
	l.mu.Unlock()
	now = runSteps(r, now, lease.Duration-stopMargin+stepInterval)
	<-first.stopped
	<-second.stopped
	require.Equal(t, journal.Epoch(1), l.holdings()["First"].Epoch, "nobody else has claimed yet")
	require.NotEmpty(t, now)
}

func TestPlannedStopStopsTheWorkAndReleasesTheDuty(t *testing.T) {
	l, w := newFakeLog(), newBlockingWork("First")
	r := newRunner(l, "e1", w)
	now := runSteps(r, time.Unix(1000, 0), lease.RenewInterval)
	<-w.started
	r.stop(now)
	<-w.stopped
	require.Empty(t, l.holdings()["First"].Holder)
	next := newBlockingWork("First")
	runSteps(newRunner(l, "e2", next), now, 3*stepInterval)
	require.Equal(t, journal.Epoch(2), <-next.started)
}
