package follower

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/godwitcross/godwitcross/entry/platform"
	"github.com/godwitcross/godwitcross/entry/view"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/lease"
)

// maxQueuedRequests bounds the functions that wait for a stream's task. Callers block
// while the queue is full.
const maxQueuedRequests = 64

// ErrNotRead means that a record was appended but not read back before the caller's
// context or the stream's task ended.
var ErrNotRead = eris.New("the record was appended but not read back yet")

// RecordAppender appends a record to a stream of the log.
type RecordAppender interface {
	Append(ctx context.Context, stream journal.StreamID, r journal.Record) error
}

// StreamState is the state that the records of one stream build up.
type StreamState interface {
	StateMachine() *journal.StateMachine
	Holdings() map[lease.Duty]lease.Holding
	Checkpoint() journal.Checkpoint
}

// Progress describes how far a stream has been read and applied.
type Progress struct {
	Holdings map[lease.Duty]lease.Holding
	// Next is the offset of the first record that is not applied, End the end of
	// the stream as last seen.
	Next journal.Offset
	End  journal.Offset
	// Oldest is the offset of the oldest record that the log retains.
	Oldest journal.Offset
	// Checkpoint names the newest snapshot that is complete in the log.
	Checkpoint journal.Checkpoint
	// ReadAt is when the last batch arrived, by this host's clock.
	ReadAt time.Time
	// Fault is the cause while the log is inconsistent; nothing is applied meanwhile.
	Fault string
	// Recent holds the results of the last records, oldest first.
	Recent []journal.Result
}

// StreamConfig configures a Stream.
type StreamConfig[S StreamState] struct {
	Log    logrus.FieldLogger
	Stream journal.StreamID
	State  S
	In     <-chan platform.Batch
	// Tick runs on the task at the interval Every; it may be nil.
	Every time.Duration
	Tick  func()
	// Restored runs on the task after the state was replaced by a snapshot; it
	// may be nil.
	Restored func()
}

// Stream owns the state of one stream whose state is too large to copy. Other tasks
// access it through functions that run on the stream's task and must return quickly.
type Stream[S StreamState] struct {
	cfg      StreamConfig[S]
	requests chan func()
	// waiters receive the result of applying a record.
	waiters map[journal.RecordID][]chan journal.Result
	// ended is closed when Run returns.
	ended   chan struct{}
	out     *view.Value[Progress]
	end     journal.Offset
	oldest  journal.Offset
	readAt  time.Time
	checker logChecker
	// restoreErr is set if a snapshot was only partly restored; it ends the task.
	restoreErr error
}

// NewStream returns a task that applies batches and runs the functions passed to Do.
func NewStream[S StreamState](cfg StreamConfig[S]) *Stream[S] {
	if cfg.Tick == nil {
		cfg.Every, cfg.Tick = time.Hour, func() {}
	}
	return &Stream[S]{
		cfg: cfg, requests: make(chan func(), maxQueuedRequests), out: view.NewValue(Progress{}),
		waiters: make(map[journal.RecordID][]chan journal.Result), ended: make(chan struct{}),
		checker: logChecker{log: cfg.Log.WithField("Stream", cfg.Stream)},
	}
}

// Name returns the task's name.
func (s *Stream[S]) Name() string {
	return "follower of " + string(s.cfg.Stream)
}

// Run applies batches and runs requests until the context ends or a snapshot was only
// partly restored.
func (s *Stream[S]) Run(ctx context.Context) error {
	defer close(s.ended)
	t := time.NewTicker(s.cfg.Every)
	defer t.Stop()
	for s.restoreErr == nil {
		select {
		case <-ctx.Done():
			return nil
		case b := <-s.cfg.In:
			s.apply(b, time.Now())
		case request := <-s.requests:
			request()
		case <-t.C:
			s.cfg.Tick()
		}
	}
	return s.restoreErr
}

// Snapshot returns a snapshot of the current state.
func (s *Stream[S]) Snapshot(ctx context.Context) (journal.Snapshot, error) {
	var snap journal.Snapshot
	var failed error
	if err := s.Do(ctx, func(state S) { snap, failed = state.StateMachine().Snapshot(s.cfg.Stream) }); err != nil {
		return journal.Snapshot{}, err
	}
	return snap, failed
}

// Restore replaces the state by a snapshot that is ahead of it and returns the offset
// of the next record to apply. A snapshot that is not ahead changes nothing.
func (s *Stream[S]) Restore(ctx context.Context, snap journal.Snapshot, _ time.Time) (journal.Offset, error) {
	var next journal.Offset
	var failed error
	if err := s.Do(ctx, func(S) { next, failed = s.restore(snap) }); err != nil {
		return 0, err
	}
	return next, failed
}

func (s *Stream[S]) restore(snap journal.Snapshot) (journal.Offset, error) {
	machine := s.cfg.State.StateMachine()
	if snap.Next <= machine.NextOffset() {
		return machine.NextOffset(), nil
	}
	err := machine.Restore(snap)
	if errors.Is(err, journal.ErrPartialRestore) {
		s.restoreErr = err
	}
	if err != nil {
		return machine.NextOffset(), err
	}
	if s.cfg.Restored != nil {
		s.cfg.Restored()
	}
	s.publish()
	return machine.NextOffset(), nil
}

// Progress returns how far the stream has been read and applied.
func (s *Stream[S]) Progress() Progress {
	return s.out.Latest()
}

// Do runs fn on the stream's task and waits until it returned. fn must not retain
// references to the state.
func (s *Stream[S]) Do(ctx context.Context, fn func(S)) error {
	done := make(chan struct{})
	request := func() {
		fn(s.cfg.State)
		close(done)
	}
	select {
	case s.requests <- request:
	case <-s.ended:
		return ErrEnded
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-s.ended:
		return ErrEnded
	case <-ctx.Done():
		// fn may still run later; the caller must not use the variables that fn sets.
		return ctx.Err()
	}
}

// Record appends a record and waits for the result of applying it. It registers for the
// result before the append, so it can't miss it however many records arrive at once. For
// a record that was applied before, it returns the first result while that is among the
// recent ones, and Duplicate otherwise.
func (s *Stream[S]) Record(ctx context.Context, records RecordAppender, r journal.Record) (journal.Result, error) {
	waiter := make(chan journal.Result, 1)
	if err := s.Do(ctx, func(S) { s.waiters[r.ID] = append(s.waiters[r.ID], waiter) }); err != nil {
		return journal.Result{}, eris.Wrapf(platform.ErrNotAppended, "record %s: %s", r.ID, err)
	}
	defer s.removeWaiter(r.ID, waiter)
	if err := records.Append(ctx, s.cfg.Stream, r); err != nil {
		return journal.Result{}, err
	}
	select {
	case result := <-waiter:
		return s.firstResult(result), nil
	case <-ctx.Done():
		return journal.Result{}, eris.Wrapf(ErrNotRead, "record %s: %s", r.ID, ctx.Err())
	case <-s.ended:
		return journal.Result{}, eris.Wrapf(ErrNotRead, "record %s", r.ID)
	}
}

// removeWaiter queues the removal of a waiter and doesn't wait for it. After the stream
// has ended there is nothing to remove.
func (s *Stream[S]) removeWaiter(id journal.RecordID, waiter chan journal.Result) {
	remove := func() {
		remaining := slices.DeleteFunc(s.waiters[id], func(o chan journal.Result) bool { return o == waiter })
		s.waiters[id] = remaining
		if len(remaining) == 0 {
			delete(s.waiters, id)
		}
	}
	select {
	case s.requests <- remove:
	case <-s.ended:
	}
}

// firstResult returns the first result of a duplicate record if it is among the recent
// ones.
func (s *Stream[S]) firstResult(result journal.Result) journal.Result {
	if result.Outcome != journal.Duplicate {
		return result
	}
	for _, recent := range s.Progress().Recent {
		if recent.ID == result.ID && recent.Outcome != journal.Duplicate {
			return recent
		}
	}
	return result
}

// notifyWaiters sends results to their waiters. It must run after publish, so that a
// waiter sees the state that its record led to.
func (s *Stream[S]) notifyWaiters(results []journal.Result) {
	for _, result := range results {
		for _, w := range s.waiters[result.ID] {
			w <- result
		}
		delete(s.waiters, result.ID)
	}
}

func (s *Stream[S]) apply(b platform.Batch, now time.Time) {
	s.readAt = now
	s.end, s.oldest = max(s.end, b.End), max(s.oldest, b.Oldest)
	machine := s.cfg.State.StateMachine()
	s.checker.check(machine, b)
	results := make([]journal.Result, 0, len(b.Records))
	for i, raw := range b.Records {
		if s.checker.fault != "" {
			break
		}
		o := b.First + journal.Offset(i)
		if o < machine.NextOffset() {
			continue
		}
		result, err := machine.Apply(o, raw)
		if err != nil {
			s.cfg.Log.WithError(err).WithField("Stream", s.cfg.Stream).Error("gap in the stream, skipping the rest of the batch")
			return
		}
		results = append(results, result)
		if result.Outcome != journal.Accepted {
			s.cfg.Log.WithFields(logrus.Fields{"Stream": s.cfg.Stream, "Verdict": result}).Warn("record not accepted")
		}
	}
	s.publish()
	s.notifyWaiters(results)
}

func (s *Stream[S]) publish() {
	machine := s.cfg.State.StateMachine()
	s.out.Publish(Progress{
		Holdings: s.cfg.State.Holdings(), Next: machine.NextOffset(), End: max(s.end, machine.NextOffset()), Oldest: s.oldest, ReadAt: s.readAt,
		Checkpoint: s.cfg.State.Checkpoint(), Fault: s.checker.fault, Recent: machine.Recent(),
	})
}
