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

// Limits and timing of reading.
const (
	// readLimit bounds the records of one read.
	readLimit = 500
	// longPollWait is how long one read waits for the first record.
	longPollWait = 10 * time.Second
	// maxReadPause bounds the backoff after a failed read.
	maxReadPause = 2 * time.Second
)

// StreamReader is the part of the log that a Reader needs.
type StreamReader interface {
	Read(stream journal.StreamID, from journal.Offset, limit int, wait time.Duration) (Batch, error)
}

// RestoreFunc restores the state of a stream from a snapshot beyond the offset and returns
// the offset at which to continue reading, or false if there is no such snapshot.
type RestoreFunc func(ctx context.Context, from journal.Offset) (journal.Offset, bool)

// Reader reads one stream and delivers its batches in order, including empty ones. After a
// failed read it reads its last record again, so that the receiver detects a log that
// changed meanwhile.
type Reader struct {
	log     logrus.FieldLogger
	source  StreamReader
	stream  journal.StreamID
	restore RestoreFunc
	rnd     *rand.Rand
	// next is the offset of the first record that was not delivered.
	next journal.Offset
	// rereadLast is set while the last delivered record has to be read again.
	rereadLast bool
	failures   int
	// pauseAfterRead is the pause after each read with records.
	pauseAfterRead time.Duration
	out            chan<- Batch
}

// NewReader returns a task that reads the stream, starting at the offset, and delivers to
// out.
func NewReader(log logrus.FieldLogger, source StreamReader, stream journal.StreamID, from journal.Offset, out chan<- Batch) *Reader {
	return &Reader{
		log: log.WithField("Stream", stream), source: source, stream: stream, next: from, out: out,
		rnd: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// RestoreWith makes the reader start at a snapshot, and continue at a newer one whenever the
// log no longer retains the next record. It returns the reader.
func (r *Reader) RestoreWith(f RestoreFunc) *Reader {
	r.restore = f
	return r
}

// Pace makes the reader pause after each read with records, so that records that arrive one
// by one are read in batches. It returns the reader.
func (r *Reader) Pace(d time.Duration) *Reader {
	r.pauseAfterRead = d
	return r
}

// Name returns the task's name.
func (r *Reader) Name() string {
	return "platform reader of " + string(r.stream)
}

// Run reads until the context ends.
func (r *Reader) Run(ctx context.Context) error {
	r.restoreSnapshot(ctx)
	for ctx.Err() == nil {
		b, err := r.read(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			r.handleError(ctx, b, err)
			continue
		}
		r.failures, r.rereadLast = 0, false
		r.deliver(ctx, b)
	}
	return nil
}

// restoreSnapshot restores the newest snapshot if it is beyond the next offset to read.
func (r *Reader) restoreSnapshot(ctx context.Context) {
	if r.restore == nil {
		return
	}
	if next, ok := r.restore(ctx, r.next); ok {
		r.log.WithField("From", r.next).WithField("To", next).Info("continuing from a snapshot")
		r.next = next
	}
}

// handleError logs and backs off after a failed read. If the log no longer retains the next
// record, or none was read yet, it tries a snapshot first. If only the last record, which
// was to be read again, is no longer retained, reading continues with the next one.
func (r *Reader) handleError(ctx context.Context, b Batch, err error) {
	if errors.Is(err, ErrTruncated) && r.rereadLast && r.next >= b.Oldest {
		r.rereadLast = false
		return
	}
	r.failures++
	truncated := errors.Is(err, ErrTruncated)
	if r.failures == 1 || truncated {
		r.log.WithError(err).Warn("reading the log failed")
	}
	if truncated || r.next == 0 {
		r.restoreSnapshot(ctx)
	}
	r.rereadLast = r.next > 0
	clock.Sleep(ctx, min(journal.Backoff(r.failures, r.rnd), maxReadPause))
}

// read waits for records or the end of the context. An abandoned read ends by itself after
// longPollWait, and its result is dropped.
func (r *Reader) read(ctx context.Context) (Batch, error) {
	type result struct {
		batch Batch
		err   error
	}
	from, wait := r.next, longPollWait
	if r.rereadLast {
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

// deliver sends a batch to out. An end before the next offset is delivered as a fault.
func (r *Reader) deliver(ctx context.Context, b Batch) {
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
		r.rereadLast = true
		clock.Sleep(ctx, maxReadPause)
	case r.pauseAfterRead > 0 && len(b.Records) > 0:
		clock.Sleep(ctx, r.pauseAfterRead)
	}
}
