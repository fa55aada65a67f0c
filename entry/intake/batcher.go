// Package intake takes callers' jobs and cancellations: nothing is accepted before
// it is stored, and a refusal is only given for what will never run.
package intake

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/godwitcross/godwitcross/entry/clock"
	"github.com/godwitcross/godwitcross/entry/metric"
	"github.com/godwitcross/godwitcross/entry/store"
)

const (
	// maxBatch and maxBatchBytes bound one append; a call takes 2 MiB.
	maxBatch      = 256
	maxBatchBytes = 1 << 20
	// retryPause follows an append without an answer.
	retryPause = 50 * time.Millisecond
	// maxQueuedItems bounds the records that wait for an append.
	maxQueuedItems = 2048
)

// item is a record that a caller waits for.
type item struct {
	record   store.Record
	deadline time.Time
	answer   chan error
}

// Batcher stores records in the work stream, many in one append.
type Batcher struct {
	store   store.Store
	log     logrus.FieldLogger
	metrics *metric.Registry
	items   chan *item
}

// NewBatcher returns a batcher. Run has to be called.
func NewBatcher(s store.Store, log logrus.FieldLogger, metrics *metric.Registry) *Batcher {
	return &Batcher{store: s, log: log, metrics: metrics, items: make(chan *item, maxQueuedItems)}
}

// Put stores a record. The error is store.ErrUnavailable if it is certainly not
// stored and never will be, and store.ErrUnknown if that isn't known at the
// deadline of the context.
func (b *Batcher) Put(ctx context.Context, r store.Record) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(time.Second)
	}
	it := &item{record: r, deadline: deadline, answer: make(chan error, 1)}
	select {
	case b.items <- it:
	default:
		return store.ErrUnavailable
	}
	select {
	case err := <-it.answer:
		return err
	case <-ctx.Done():
		return store.ErrUnknown
	}
}

// Run stores batches until the context ends.
func (b *Batcher) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case it := <-b.items:
			b.append(ctx, b.fillBatch(it))
		}
	}
}

// fillBatch adds the items that wait to the first.
func (b *Batcher) fillBatch(first *item) []*item {
	batch := []*item{first}
	size := len(first.record.Value)
	for len(batch) < maxBatch && size < maxBatchBytes {
		select {
		case it := <-b.items:
			batch = append(batch, it)
			size += len(it.record.Value)
		default:
			return batch
		}
	}
	return batch
}

// append stores a batch. Records of the work stream may be appended again: the same
// key holds the same value.
func (b *Batcher) append(ctx context.Context, batch []*item) {
	sent := false
	for {
		batch = b.dropExpired(batch, sent)
		if len(batch) == 0 {
			return
		}
		a := store.Append{Stream: store.Work, Records: make([]store.Record, len(batch))}
		latest := batch[0].deadline
		for i, it := range batch {
			a.Records[i] = it.record
			if it.deadline.After(latest) {
				latest = it.deadline
			}
		}
		actx, cancel := context.WithDeadline(ctx, latest)
		began := time.Now()
		_, err := b.store.Append(actx, a)
		cancel()
		b.metrics.Observe("accept_append_time", time.Since(began))
		if err == nil || (!sent && !errors.Is(err, store.ErrUnknown)) {
			answer(batch, err)
			return
		}
		sent = true
		b.log.WithFields(logrus.Fields{"Records": len(batch), "Error": err.Error()}).Info("append without an answer is repeated")
		clock.Pause(ctx, retryPause)
		if ctx.Err() != nil {
			answer(batch, store.ErrUnknown)
			return
		}
	}
}

// dropExpired answers the items whose time is over and returns the others.
func (b *Batcher) dropExpired(batch []*item, sent bool) []*item {
	kept := batch[:0]
	for _, it := range batch {
		switch {
		case time.Now().Before(it.deadline):
			kept = append(kept, it)
		case sent:
			it.answer <- store.ErrUnknown
		default:
			it.answer <- store.ErrUnavailable
		}
	}
	return kept
}

func answer(batch []*item, err error) {
	if err != nil && !errors.Is(err, store.ErrUnknown) {
		err = errors.Join(store.ErrUnavailable, err)
	}
	for _, it := range batch {
		it.answer <- err
	}
}
