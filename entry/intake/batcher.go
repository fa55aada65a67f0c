// Package intake accepts callers' jobs and cancellations. A request is accepted only
// after it is stored, and reported as not accepted only if it can't take effect later.
// It belongs to the program godwitcross.
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
	// maxBatch and maxBatchBytes bound one append; the store's limit for a call is 2 MiB.
	maxBatch      = 256
	maxBatchBytes = 1 << 20
	// retryDelay is the delay before an unanswered append is sent again.
	retryDelay = 50 * time.Millisecond
	// maxQueuedItems bounds the records that wait for an append.
	maxQueuedItems = 2048
)

// item is a record to store and the channel on which its caller waits for the result.
type item struct {
	record   store.Record
	deadline time.Time
	answer   chan error
}

// Batcher stores records in the work stream, several in one append.
type Batcher struct {
	store   store.Store
	log     logrus.FieldLogger
	metrics *metric.Registry
	items   chan *item
}

// NewBatcher returns a batcher. It stores nothing until Run is called.
func NewBatcher(s store.Store, log logrus.FieldLogger, metrics *metric.Registry) *Batcher {
	return &Batcher{store: s, log: log, metrics: metrics, items: make(chan *item, maxQueuedItems)}
}

// Put stores a record. The error is store.ErrUnavailable if the record is not stored and
// never will be, and store.ErrUnknown if that is not known at the deadline of ctx.
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

// Run stores batches until ctx ends.
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

// fillBatch returns a batch of the first item and of items that are already queued.
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

// append stores a batch and retries it while there is no answer. Duplicates in the work
// stream are harmless: the same key has the same value. An error other than
// store.ErrUnknown is final only if no earlier try may have been carried out.
func (b *Batcher) append(ctx context.Context, batch []*item) {
	mayBeStored := false
	for {
		batch = b.dropExpired(batch, mayBeStored)
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
		if err == nil || (!mayBeStored && !errors.Is(err, store.ErrUnknown)) {
			answerAll(batch, err)
			return
		}
		mayBeStored = true
		b.log.WithFields(logrus.Fields{"Records": len(batch), "Error": err.Error()}).Info("unanswered append retried")
		clock.Sleep(ctx, retryDelay)
		if ctx.Err() != nil {
			answerAll(batch, store.ErrUnknown)
			return
		}
	}
}

// dropExpired answers the items whose deadline has passed and returns the others.
// mayBeStored tells that an earlier append may have been carried out.
func (b *Batcher) dropExpired(batch []*item, mayBeStored bool) []*item {
	kept := batch[:0]
	for _, it := range batch {
		switch {
		case time.Now().Before(it.deadline):
			kept = append(kept, it)
		case mayBeStored:
			it.answer <- store.ErrUnknown
		default:
			it.answer <- store.ErrUnavailable
		}
	}
	return kept
}

// answerAll sends the callers of a batch its result.
func answerAll(batch []*item, err error) {
	if err != nil && !errors.Is(err, store.ErrUnknown) {
		err = errors.Join(store.ErrUnavailable, err)
	}
	for _, it := range batch {
		it.answer <- err
	}
}
