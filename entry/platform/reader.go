package platform

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/godwitcross/godwitcross/fleet/journal"
)

// Pace of reading.
const (
	// readLimit is how many records one read asks for.
	readLimit = 500
	// readWait is how long one read waits for the first record.
	readWait = 10 * time.Second
	// readPause is the pause after a failed read.
	readPause = 200 * time.Millisecond
)

// StreamReader is the part of the log that a Reader needs.
type StreamReader interface {
	Read(stream journal.StreamID, from journal.Offset, limit int, wait time.Duration) (Batch, error)
}

// Reader follows one stream and hands its records on in order.
type Reader struct {
	log    logrus.FieldLogger
	source StreamReader
	stream journal.StreamID
	// next is the offset of the first record that was not handed on.
	next journal.Offset
	out  chan<- Batch
}

// NewReader returns a task that reads the stream from the offset on into out.
func NewReader(log logrus.FieldLogger, source StreamReader, stream journal.StreamID, from journal.Offset, out chan<- Batch) *Reader {
	return &Reader{log: log.WithField("Stream", stream), source: source, stream: stream, next: from, out: out}
}

// Name returns the task's name.
func (r *Reader) Name() string {
	return "platform reader of " + string(r.stream)
}

// Run reads until the context ends.
func (r *Reader) Run(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		b, err := r.read(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			failures++
			if failures == 1 || errors.Is(err, ErrForgotten) {
				r.log.WithError(err).Warn("reading the log failed")
			}
			pause(ctx, readPause)
			continue
		}
		failures = 0
		r.handOn(ctx, b)
	}
	return nil
}

// read waits for records or the end of the context. A read that is given up
// ends by itself after readWait; nothing takes its result.
func (r *Reader) read(ctx context.Context) (Batch, error) {
	type result struct {
		batch Batch
		err   error
	}
	done := make(chan result, 1)
	go func() {
		b, err := r.source.Read(r.stream, r.next, readLimit, readWait)
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
	if len(b.Records) == 0 {
		return
	}
	select {
	case r.out <- b:
		r.next = b.First + journal.Offset(len(b.Records))
	case <-ctx.Done():
	}
}

// pause waits for the duration or the end of the context.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
