package follower

import (
	"context"
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

// StreamConfig is what a stream's follower is built from.
type StreamConfig[S StreamState] struct {
	Log    logrus.FieldLogger
	Stream journal.StreamID
	// New returns a state at offset 0. It is called again for each snapshot.
	New func() S
	In  <-chan platform.Batch
	// Every and Tick run a function on the task again and again; Tick may be nil.
	Every time.Duration
	Tick  func(S)
}

// Stream owns the state of one stream that is too large to be copied. Others
// ask it by functions that run on its task and must return quickly.
type Stream[S StreamState] struct {
	cfg       StreamConfig[S]
	state     S
	questions chan func()
	// oldest and end are the offsets that the log keeps, as last seen.
	oldest, end journal.Offset
	// readAt is when the log last answered.
	readAt time.Time
	out    *view.Box[State]
}

// NewStream returns a task that folds batches and answers questions.
func NewStream[S StreamState](cfg StreamConfig[S]) *Stream[S] {
	if cfg.Tick == nil {
		cfg.Every, cfg.Tick = time.Hour, func(S) {}
	}
	return &Stream[S]{cfg: cfg, state: cfg.New(), questions: make(chan func(), questionQueue), out: view.NewBox(State{})}
}

// Name returns the task's name.
func (s *Stream[S]) Name() string {
	return "follower of " + string(s.cfg.Stream)
}

// Run folds and answers until the context ends.
func (s *Stream[S]) Run(ctx context.Context) error {
	t := time.NewTicker(s.cfg.Every)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case b := <-s.cfg.In:
			s.apply(b, time.Now())
		case ask := <-s.questions:
			ask()
		case <-t.C:
			s.cfg.Tick(s.state)
		}
	}
}

// Progress returns how far the stream is folded and who holds its duties.
func (s *Stream[S]) Progress() State {
	return s.out.Latest()
}

// View returns the box in which the progress is published.
func (s *Stream[S]) View() *view.Box[State] {
	return s.out
}

// Snapshot returns the state as it is now.
func (s *Stream[S]) Snapshot(ctx context.Context) (journal.Snapshot, error) {
	var taken journal.Snapshot
	var failed error
	err := s.Do(ctx, func(state S) { taken, failed = state.Fold().Snapshot(s.cfg.Stream) })
	if err != nil {
		return journal.Snapshot{}, err
	}
	return taken, failed
}

// Restore replaces the state by a snapshot that is ahead of it and returns the
// offset up to which the state is applied then.
func (s *Stream[S]) Restore(ctx context.Context, from journal.Snapshot, _ time.Time) (journal.Offset, error) {
	var next journal.Offset
	var failed error
	err := s.Do(ctx, func(state S) {
		next = state.Fold().Next()
		if from.Next <= next {
			return
		}
		fresh := s.cfg.New()
		if failed = fresh.Fold().Restore(from); failed != nil {
			return
		}
		s.state, next = fresh, from.Next
		s.publish()
	})
	if err != nil {
		return 0, err
	}
	return next, failed
}

// Do runs a function on the task and waits for its end. The function keeps
// nothing of the state that it sees.
func (s *Stream[S]) Do(ctx context.Context, ask func(S)) error {
	done := make(chan struct{})
	question := func() {
		ask(s.state)
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
	fold := s.state.Fold()
	for i, raw := range b.Records {
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
	s.oldest, s.end, s.readAt = b.Oldest, b.End, now
	s.publish()
}

func (s *Stream[S]) publish() {
	fold := s.state.Fold()
	s.out.Publish(State{
		Holdings: s.state.Holdings(), Checkpoint: s.state.Checkpoint(), Next: fold.Next(),
		Oldest: s.oldest, ReadAt: s.readAt, End: max(s.end, fold.Next()), Digest: fold.Digest(), Counts: fold.Counts(), Recent: fold.Recent(),
	})
}
