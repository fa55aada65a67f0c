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

// questionQueue is how many questions wait for a stream's task. A full queue
// makes askers wait.
const questionQueue = 64

// ErrNotRead means that a record was appended but not read back in time.
var ErrNotRead = eris.New("the record was appended but not read back yet")

// RecordAppender adds a record to a stream of the log.
type RecordAppender interface {
	Append(ctx context.Context, stream journal.StreamID, r journal.Record) error
}

// StreamState is the state folded from one stream.
type StreamState interface {
	StateMachine() *journal.StateMachine
	Holdings() map[lease.Duty]lease.Holding
	Checkpoint() journal.Checkpoint
}

// Progress is how far a stream is folded.
type Progress struct {
	Holdings map[lease.Duty]lease.Holding
	// Next is the offset of the first record that is not applied, End the end of
	// the stream as last seen.
	Next journal.Offset
	End  journal.Offset
	// Oldest is the offset of the oldest record that the log keeps.
	Oldest journal.Offset
	// Checkpoint names the newest snapshot that is whole in the log.
	Checkpoint journal.Checkpoint
	// ReadAt is when the log last answered, on this host's clock.
	ReadAt time.Time
	// Fault is set while the log contradicts itself; nothing is applied then.
	Fault string
	// Recent holds the last verdicts, oldest first.
	Recent []journal.Result
}

// StreamConfig is what a stream's follower is built from.
type StreamConfig[S StreamState] struct {
	Log    logrus.FieldLogger
	Stream journal.StreamID
	State  S
	In     <-chan platform.Batch
	// Every and Tick run a function on the task again and again; Tick may be nil.
	Every time.Duration
	Tick  func()
	// Restored runs on the task after the state was replaced by a snapshot; it
	// may be nil.
	Restored func()
}

// Stream owns the state of one stream that is too large to be copied. Others
// ask it by functions that run on its task and must return quickly.
type Stream[S StreamState] struct {
	cfg       StreamConfig[S]
	questions chan func()
	// waiters are told the verdict on a record.
	waiters map[journal.RecordID][]chan journal.Result
	// ended is closed when Run returns.
	ended  chan struct{}
	out    *view.Box[Progress]
	end    journal.Offset
	oldest journal.Offset
	readAt time.Time
	guard  guard
	// broken is set if a snapshot was restored in part; it ends the task.
	broken error
}

// NewStream returns a task that folds batches and answers questions.
func NewStream[S StreamState](cfg StreamConfig[S]) *Stream[S] {
	if cfg.Tick == nil {
		cfg.Every, cfg.Tick = time.Hour, func() {}
	}
	return &Stream[S]{
		cfg: cfg, questions: make(chan func(), questionQueue), out: view.NewBox(Progress{}),
		waiters: make(map[journal.RecordID][]chan journal.Result), ended: make(chan struct{}),
		guard: guard{log: cfg.Log.WithField("Stream", cfg.Stream)},
	}
}

// Name returns the task's name.
func (s *Stream[S]) Name() string {
	return "follower of " + string(s.cfg.Stream)
}

// Run folds and answers until the context ends.
func (s *Stream[S]) Run(ctx context.Context) error {
	defer close(s.ended)
	t := time.NewTicker(s.cfg.Every)
	defer t.Stop()
	for s.broken == nil {
		select {
		case <-ctx.Done():
			return nil
		case b := <-s.cfg.In:
			s.apply(b, time.Now())
		case ask := <-s.questions:
			ask()
		case <-t.C:
			s.cfg.Tick()
		}
	}
	return s.broken
}

// Snapshot returns the state as it is now.
func (s *Stream[S]) Snapshot(ctx context.Context) (journal.Snapshot, error) {
	var snap journal.Snapshot
	var failed error
	if err := s.Do(ctx, func(state S) { snap, failed = state.StateMachine().Snapshot(s.cfg.Stream) }); err != nil {
		return journal.Snapshot{}, err
	}
	return snap, failed
}

// Restore replaces the state by a snapshot that is ahead of it and returns the
// offset up to which the state is applied then. A snapshot that is not ahead
// changes nothing.
func (s *Stream[S]) Restore(ctx context.Context, snap journal.Snapshot, _ time.Time) (journal.Offset, error) {
	var next journal.Offset
	var failed error
	if err := s.Do(ctx, func(S) { next, failed = s.restore(snap) }); err != nil {
		return 0, err
	}
	return next, failed
}

func (s *Stream[S]) restore(snap journal.Snapshot) (journal.Offset, error) {
	fold := s.cfg.State.StateMachine()
	if snap.Next <= fold.NextOffset() {
		return fold.NextOffset(), nil
	}
	err := fold.Restore(snap)
	if errors.Is(err, journal.ErrPartialRestore) {
		s.broken = err
	}
	if err != nil {
		return fold.NextOffset(), err
	}
	if s.cfg.Restored != nil {
		s.cfg.Restored()
	}
	s.publish()
	return fold.NextOffset(), nil
}

// Progress returns how far the stream is folded.
func (s *Stream[S]) Progress() Progress {
	return s.out.Latest()
}

// Do runs a function on the task and waits for its end. The function keeps
// nothing of the state that it sees.
func (s *Stream[S]) Do(ctx context.Context, ask func(S)) error {
	done := make(chan struct{})
	question := func() {
		ask(s.cfg.State)
		close(done)
	}
	select {
	case s.questions <- question:
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
		// The function may still run; its caller gives up what it would have set.
		return ctx.Err()
	}
}

// Record appends a record and waits for its verdict, which it cannot miss however
// many records come at once. A record that was folded before has its first
// verdict while that is among the recent ones, and Duplicate otherwise.
func (s *Stream[S]) Record(ctx context.Context, records RecordAppender, r journal.Record) (journal.Result, error) {
	verdict := make(chan journal.Result, 1)
	if err := s.Do(ctx, func(S) { s.waiters[r.ID] = append(s.waiters[r.ID], verdict) }); err != nil {
		return journal.Result{}, eris.Wrapf(platform.ErrNotAppended, "record %s: %s", r.ID, err)
	}
	defer s.leave(r.ID, verdict)
	if err := records.Append(ctx, s.cfg.Stream, r); err != nil {
		return journal.Result{}, err
	}
	select {
	case v := <-verdict:
		return s.first(v), nil
	case <-ctx.Done():
		return journal.Result{}, eris.Wrapf(ErrNotRead, "record %s: %s", r.ID, ctx.Err())
	case <-s.ended:
		return journal.Result{}, eris.Wrapf(ErrNotRead, "record %s", r.ID)
	}
}

// leave forgets a waiter. It does not wait: a stream that has ended needs no
// tidying.
func (s *Stream[S]) leave(id journal.RecordID, verdict chan journal.Result) {
	forget := func() {
		left := slices.DeleteFunc(s.waiters[id], func(o chan journal.Result) bool { return o == verdict })
		s.waiters[id] = left
		if len(left) == 0 {
			delete(s.waiters, id)
		}
	}
	select {
	case s.questions <- forget:
	case <-s.ended:
	}
}

// first returns the first verdict on the record if it is among the recent ones.
func (s *Stream[S]) first(v journal.Result) journal.Result {
	if v.Outcome != journal.Duplicate {
		return v
	}
	for _, o := range s.Progress().Recent {
		if o.ID == v.ID && o.Outcome != journal.Duplicate {
			return o
		}
	}
	return v
}

// answer tells waiters their verdicts, once the state behind them is published.
func (s *Stream[S]) answer(verdicts []journal.Result) {
	for _, v := range verdicts {
		for _, w := range s.waiters[v.ID] {
			w <- v
		}
		delete(s.waiters, v.ID)
	}
}

func (s *Stream[S]) apply(b platform.Batch, now time.Time) {
	s.readAt = now
	s.end, s.oldest = max(s.end, b.End), max(s.oldest, b.Oldest)
	fold := s.cfg.State.StateMachine()
	s.guard.look(fold, b)
	verdicts := make([]journal.Result, 0, len(b.Records))
	for i, raw := range b.Records {
		if s.guard.fault != "" {
			break
		}
		o := b.First + journal.Offset(i)
		if o < fold.NextOffset() {
			continue
		}
		v, err := fold.Apply(o, raw)
		if err != nil {
			s.cfg.Log.WithError(err).WithField("Stream", s.cfg.Stream).Error("the stream has a gap")
			return
		}
		verdicts = append(verdicts, v)
		if v.Outcome != journal.Accepted {
			s.cfg.Log.WithFields(logrus.Fields{"Stream": s.cfg.Stream, "Verdict": v}).Warn("record not accepted")
		}
	}
	s.publish()
	s.answer(verdicts)
}

func (s *Stream[S]) publish() {
	fold := s.cfg.State.StateMachine()
	s.out.Publish(Progress{
		Holdings: s.cfg.State.Holdings(), Next: fold.NextOffset(), End: max(s.end, fold.NextOffset()), Oldest: s.oldest, ReadAt: s.readAt,
		Checkpoint: s.cfg.State.Checkpoint(), Fault: s.guard.fault, Recent: fold.Recent(),
	})
}
