package follower

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/godwitcross/godwitcross/entry/platform"
	"github.com/godwitcross/godwitcross/entry/view"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/lease"
)

// questionQueue is how many questions wait for a stream's task. A full queue
// makes askers wait.
const questionQueue = 64

// StreamState is the state folded from one stream.
type StreamState interface {
	Fold() *journal.Fold
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
	Recent []journal.Verdict
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
	out       *view.Box[Progress]
	end       journal.Offset
	oldest    journal.Offset
	readAt    time.Time
	guard     guard
	// broken is set if a snapshot was restored in part; it ends the task.
	broken error
}

// NewStream returns a task that folds batches and answers questions.
func NewStream[S StreamState](cfg StreamConfig[S]) *Stream[S] {
	if cfg.Tick == nil {
		cfg.Every, cfg.Tick = time.Hour, func() {}
	}
	return &Stream[S]{cfg: cfg, questions: make(chan func(), questionQueue), out: view.NewBox(Progress{}), guard: guard{log: cfg.Log.WithField("Stream", cfg.Stream)}}
}

// Name returns the task's name.
func (s *Stream[S]) Name() string {
	return "follower of " + string(s.cfg.Stream)
}

// Run folds and answers until the context ends.
func (s *Stream[S]) Run(ctx context.Context) error {
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
	if err := s.Do(ctx, func(state S) { snap, failed = state.Fold().Snapshot(s.cfg.Stream) }); err != nil {
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
	fold := s.cfg.State.Fold()
	if snap.Next <= fold.Next() {
		return fold.Next(), nil
	}
	err := fold.Restore(snap)
	if errors.Is(err, journal.ErrHalfRestored) {
		s.broken = err
	}
	if err != nil {
		return fold.Next(), err
	}
	if s.cfg.Restored != nil {
		s.cfg.Restored()
	}
	s.publish()
	return fold.Next(), nil
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
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		// The function may still run; its caller gives up what it would have set.
		return ctx.Err()
	}
}

// Await waits until the record was folded and returns its verdict.
func (s *Stream[S]) Await(ctx context.Context, id journal.RecordID) (journal.Verdict, error) {
	for {
		p, changed := s.out.Watch()
		for _, v := range p.Recent {
			if v.ID == id && v.Outcome != journal.Duplicate {
				return v, nil
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return journal.Verdict{}, ctx.Err()
		}
	}
}

func (s *Stream[S]) apply(b platform.Batch, now time.Time) {
	s.readAt = now
	s.end, s.oldest = max(s.end, b.End), max(s.oldest, b.Oldest)
	fold := s.cfg.State.Fold()
	s.guard.look(fold, b)
	for i, raw := range b.Records {
		if s.guard.fault != "" {
			break
		}
		o := b.First + journal.Offset(i)
		if o < fold.Next() {
			continue
		}
		v, err := fold.Apply(o, raw)
		if err != nil {
			s.cfg.Log.WithError(err).WithField("Stream", s.cfg.Stream).Error("the stream has a gap")
			return
		}
		if v.Outcome != journal.Accepted {
			s.cfg.Log.WithFields(logrus.Fields{"Stream": s.cfg.Stream, "Verdict": v}).Warn("record not accepted")
		}
	}
	s.publish()
}

func (s *Stream[S]) publish() {
	fold := s.cfg.State.Fold()
	s.out.Publish(Progress{
		Holdings: s.cfg.State.Holdings(), Next: fold.Next(), End: max(s.end, fold.Next()), Oldest: s.oldest, ReadAt: s.readAt,
		Checkpoint: s.cfg.State.Checkpoint(), Fault: s.guard.fault, Recent: fold.Recent(),
	})
}
