package platform

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/godwitcross/godwitcross/entry/clock"
	"github.com/godwitcross/godwitcross/fleet/journal"
)

// Pace of reading.
const (
	// readLimit is how many records one read asks for.
	readLimit = 500
	// readWait is how long one read waits for the first record.
	readWait = 10 * time.Second
	// maxReadPause bounds the pause after a failed read.
	maxReadPause = 2 * time.Second
)

// StreamReader is the part of the log that a Reader needs.
type StreamReader interface {
	Read(stream journal.StreamID, from journal.Offset, limit int, wait time.Duration) (Batch, error)
}

// RestoreFunc brings the state of a stream to a snapshot beyond the offset and
// returns where to read on, or false if there is no such snapshot.
type RestoreFunc func(ctx context.Context, from journal.Offset) (journal.Offset, bool)

// Reader follows one stream and hands its records on in order, also answers
// without records. After a failed read it reads its last record again, so that a
// log that changed meanwhile is noticed.
type Reader struct {
	log     logrus.FieldLogger
	source  StreamReader
	stream  journal.StreamID
	restore RestoreFunc
	rnd     *rand.Rand
	// next is the offset of the first record that was not handed on.
	next journal.Offset
	// checks is set while the last record has to be read again.
	checks   bool
	failures int
	// pace is the least time between the ends of two reads with records.
	pace time.Duration
	out  chan<- Batch
}

// NewReader returns a task that reads the stream from the offset on into out.
func NewReader(log logrus.FieldLogger, source StreamReader, stream journal.StreamID, from journal.Offset, out chan<- Batch) *Reader {
	return &Reader{
		log: log.WithField("Stream", stream), source: source, stream: stream, next: from, out: out,
		rnd: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// RestoreWith makes the reader start at a snapshot, and at a newer one whenever
// the log has forgotten what comes next. It returns the reader.
func (r *Reader) RestoreWith(f RestoreFunc) *Reader {
	r.restore = f
	return r
}

// Pace makes the reader wait after each read with records, so that records which
// come one by one are read in groups. It returns the reader.
func (r *Reader) Pace(d time.Duration) *Reader {
	r.pace = d
	return r
}

// Name returns the task's name.
func (r *Reader) Name() string {
	return "platform reader of " + string(r.stream)
}

// Run reads until the context ends.
func (r *Reader) Run(ctx context.Context) error {
	r.jump(ctx)
	for ctx.Err() == nil {
		b, err := r.read(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			r.fail(ctx, b, err)
			continue
		}
		r.failures, r.checks = 0, false
		r.handOn(ctx, b)
	}
	return nil
}

// jump restores the newest snapshot if it is beyond what was read.
func (r *Reader) jump(ctx context.Context) {
	if r.restore == nil {
		return
	}
	if next, ok := r.restore(ctx, r.next); ok {
		r.log.WithField("From", r.next).WithField("To", next).Info("reading on from a snapshot")
		r.next = next
	}
}

func (r *Reader) fail(ctx context.Context, b Batch, err error) {
	if errors.Is(err, ErrForgotten) && r.checks && r.next >= b.Oldest {
		r.checks = false
		return
	}
	r.failures++
	forgotten := errors.Is(err, ErrForgotten)
	if r.failures == 1 || forgotten {
		r.log.WithError(err).Warn("reading the log failed")
	}
	if forgotten || r.next == 0 {
		r.jump(ctx)
	}
	r.checks = r.next > 0
	clock.Pause(ctx, min(journal.Backoff(r.failures, r.rnd), maxReadPause))
}

// read waits for records or the end of the context. A read that is given up
// ends by itself after readWait; nothing takes its result.
func (r *Reader) read(ctx context.Context) (Batch, error) {
	type result struct {
		batch Batch
		err   error
	}
	from, wait := r.next, readWait
	if r.checks {
		from, wait = r.next-1, 0
	}
	done := make(chan result, 1)
	go func() {
		b, err := r.source.Read(r.stream, from, readLimit, wait)
		done <- result{b, err}
	}()
	select {
	case x := <-done:
		return x.batch, x.err
	case <-ctx.Done():
		return Batch{}, ctx.Err()
	}
}

func (r *Reader) handOn(ctx context.Context, b Batch) {
	if b.End < r.next {
		b = Batch{First: r.next, End: b.End, Oldest: b.Oldest, Fault: eris.Wrapf(ErrEndMovedBack, "to %d after %d was read", b.End, r.next)}
	}
	select {
	case r.out <- b:
		r.next = max(r.next, b.First+journal.Offset(len(b.Records)))
	case <-ctx.Done():
	}
	switch {
	case b.Fault != nil:
		r.checks = true
		clock.Pause(ctx, maxReadPause)
	case r.pace > 0 && len(b.Records) > 0:
		clock.Pause(ctx, r.pace)
	}
}
