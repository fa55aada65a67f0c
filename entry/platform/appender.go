package platform

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/godwitcross/godwitcross/entry/metric"
	"github.com/godwitcross/godwitcross/fleet/journal"
)

// ErrNotAppended means that a record is not in the log and will not be appended later.
var ErrNotAppended = eris.New("record was not appended")

// Limits of the appender.
const (
	// maxRecordsPerAppend bounds the records of one append call.
	maxRecordsPerAppend = 256
	// maxBufferedRecords bounds the waiting records of one stream; further records are
	// refused.
	maxBufferedRecords = 4096
	// maxQueuedRecords bounds the records that the appender has not taken yet. Writers
	// block while the queue is full.
	maxQueuedRecords = 64
)

// StreamLog is the part of the log that an Appender needs.
type StreamLog interface {
	StreamReader
	Append(stream journal.StreamID, records []json.RawMessage) (journal.Offset, error)
}

// AppenderConfig configures an Appender.
type AppenderConfig struct {
	Log     logrus.FieldLogger
	Metrics *metric.Registry
	Target  StreamLog
	// Rules are the buffering rules of each kind of record while the log is unavailable.
	Rules map[journal.Kind]journal.BufferRule
	// Rand adds jitter to the retries of many hosts. The appender owns it.
	Rand *rand.Rand
}

// pendingRecord is a record whose writer waits for the outcome.
type pendingRecord struct {
	stream journal.StreamID
	record journal.Record
	// done receives the outcome, once.
	done chan error
}

// Appender appends records to the log in batches: records that arrive during a call go
// with the next one. If a call got no answer, the appender looks for its records in the log
// and appends those that are missing again under the same ID. A record that ends up in the
// log twice is applied once.
type Appender struct {
	cfg       AppenderConfig
	added     chan *pendingRecord
	abandoned chan *pendingRecord
	results   chan sendResult
	// ended is closed when Run returns.
	ended  chan struct{}
	queues map[journal.StreamID]*streamQueue
}

// NewAppender returns a task that appends records while it runs.
func NewAppender(cfg AppenderConfig) *Appender {
	return &Appender{
		cfg:       cfg,
		added:     make(chan *pendingRecord, maxQueuedRecords),
		abandoned: make(chan *pendingRecord),
		results:   make(chan sendResult),
		ended:     make(chan struct{}),
		queues:    make(map[journal.StreamID]*streamQueue),
	}
}

// Name returns the task's name.
func (a *Appender) Name() string {
	return "platform appender"
}

// Append appends the record and returns once it is in the log. Otherwise the error is
// ErrNotAppended if the record is certainly not in the log and will not be appended later,
// or ErrUncertain.
func (a *Appender) Append(ctx context.Context, stream journal.StreamID, r journal.Record) error {
	if _, err := r.Encode(); err != nil {
		return eris.Wrapf(ErrNotAppended, "%s", err)
	}
	p := &pendingRecord{stream: stream, record: r, done: make(chan error, 1)}
	select {
	case a.added <- p:
	case <-ctx.Done():
		return eris.Wrapf(ErrNotAppended, "record %s: %s", r.ID, ctx.Err())
	case <-a.ended:
		return eris.Wrapf(ErrNotAppended, "record %s: appending has ended", r.ID)
	}
	select {
	case err := <-p.done:
		return err
	case <-a.ended:
		return eris.Wrapf(ErrUncertain, "record %s: appending has ended", r.ID)
	case <-ctx.Done():
	}
	select {
	case a.abandoned <- p:
	case <-a.ended:
	case err := <-p.done:
		return err
	}
	select {
	case err := <-p.done:
		return err
	case <-a.ended:
		return eris.Wrapf(ErrUncertain, "record %s: appending has ended", r.ID)
	}
}

// Run appends until the context ends. Writers of records that still wait then get
// ErrUncertain, so the appender must be stopped after all tasks that write records.
func (a *Appender) Run(ctx context.Context) error {
	defer close(a.ended)
	retry := time.NewTimer(0)
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case p := <-a.added:
			a.accept(p)
		case p := <-a.abandoned:
			a.abandon(p)
		case r := <-a.results:
			a.finish(r, time.Now())
		case <-retry.C:
		}
		if next := a.startSends(ctx, time.Now()); next > 0 {
			retry.Reset(next)
		}
	}
}

// queue returns the queue of a stream and creates it at the first use.
func (a *Appender) queue(stream journal.StreamID) *streamQueue {
	q, ok := a.queues[stream]
	if !ok {
		q = &streamQueue{
			stream: stream,
			limit:  maxRecordsPerAppend,
			buffer: journal.NewBuffer[*pendingRecord](journal.BufferConfig{MaxRecords: maxBufferedRecords, Rules: a.cfg.Rules}),
		}
		a.queues[stream] = q
	}
	return q
}

// accept buffers a record and answers the writers of a refused or superseded one.
func (a *Appender) accept(p *pendingRecord) {
	a.cfg.Metrics.Count("log_records", 1)
	old, replaced, err := a.queue(p.stream).buffer.Add(p.record, p)
	if err != nil {
		a.cfg.Metrics.Count("log_records_refused", 1)
		p.done <- eris.Wrapf(ErrNotAppended, "record %s: %s", p.record.ID, err)
	}
	if replaced {
		a.cfg.Metrics.Count("log_records_superseded", 1)
		old.done <- eris.Wrapf(ErrNotAppended, "record %s: %s", old.record.ID, journal.ErrSuperseded)
	}
}

// abandon answers a writer whose context ended, unless it was answered meanwhile. The
// outcome is uncertain if the record may have been appended.
func (a *Appender) abandon(p *pendingRecord) {
	if len(p.done) > 0 {
		return
	}
	if a.queue(p.stream).buffer.Remove(p) {
		p.done <- eris.Wrapf(ErrUncertain, "record %s: the writer gave up", p.record.ID)
		return
	}
	p.done <- eris.Wrapf(ErrNotAppended, "record %s: the writer gave up", p.record.ID)
}

// startSends starts a send for each idle queue that has records. It returns the time until
// the next queue may retry, or 0 if none waits.
func (a *Appender) startSends(ctx context.Context, now time.Time) time.Duration {
	var next time.Duration
	for _, q := range a.queues {
		if q.busy || q.buffer.Len() == 0 {
			continue
		}
		if wait := q.notBefore.Sub(now); wait > 0 {
			if next == 0 || wait < next {
				next = wait
			}
			continue
		}
		s := q.takeBatch()
		go func() {
			r := s.run(a.cfg.Target)
			select {
			case a.results <- r:
			case <-ctx.Done():
			}
		}()
	}
	return next
}

// finish answers the writers of a send and schedules the next one. If the log refused a
// batch, its records are sent one by one, so that only the invalid record fails.
func (a *Appender) finish(r sendResult, now time.Time) {
	q := a.queues[r.stream]
	q.busy = false
	q.end, q.endKnown = r.end, r.endKnown
	if r.err == nil {
		a.succeed(q)
		return
	}
	if errors.Is(r.err, ErrRefused) && r.records == 1 {
		a.reject(q, r)
		return
	}
	if errors.Is(r.err, ErrRefused) {
		q.limit = 1
		q.buffer.Fail(false)
		return
	}
	q.failures++
	q.notBefore = now.Add(journal.Backoff(q.failures, a.cfg.Rand))
	a.cfg.Metrics.Count("log_append_failures", 1)
	a.cfg.Metrics.Gauge("log_records_waiting", int64(q.buffer.Len()), metric.Label{Name: "Stream", Value: string(q.stream)})
	if q.failures == 1 {
		a.cfg.Log.WithError(r.err).WithField("Stream", q.stream).Warn("append failed, buffering records")
	}
	for _, p := range q.buffer.Fail(errors.Is(r.err, ErrUncertain)) {
		p.done <- eris.Wrapf(ErrNotAppended, "record %s: %s", p.record.ID, r.err)
	}
}

// succeed answers the writers of an append that succeeded and resets the queue's backoff.
func (a *Appender) succeed(q *streamQueue) {
	if q.failures > 0 {
		a.cfg.Log.WithField("Stream", q.stream).WithField("Waiting", q.buffer.Len()).Info("append succeeded again")
		a.cfg.Metrics.Gauge("log_records_waiting", 0, metric.Label{Name: "Stream", Value: string(q.stream)})
	}
	q.failures, q.notBefore, q.limit = 0, time.Time{}, maxRecordsPerAppend
	for _, p := range q.buffer.Succeed() {
		p.done <- nil
	}
}

// reject answers the writer of a single record that the log refused.
func (a *Appender) reject(q *streamQueue, r sendResult) {
	outcome := ErrNotAppended
	if r.uncertain {
		outcome = ErrUncertain
	}
	for _, p := range q.buffer.Succeed() {
		p.done <- eris.Wrapf(outcome, "record %s: %s", p.record.ID, r.err)
	}
}
