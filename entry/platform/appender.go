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

// ErrNotAppended means that a record is not in the log and will not be.
var ErrNotAppended = eris.New("record was not appended")

// Limits of appending.
const (
	// maxGroup is how many records one append call carries at most.
	maxGroup = 256
	// maxWaiting is how many records of one stream wait at most; more are
	// refused.
	maxWaiting = 4096
	// appendQueue is how many records wait for the appender to look at them. A
	// full queue holds their writers back.
	appendQueue = 64
)

// StreamLog is the part of the log that an Appender needs.
type StreamLog interface {
	StreamReader
	Append(stream journal.StreamID, records []json.RawMessage) (journal.Offset, error)
}

// AppenderConfig is what an appender is built from.
type AppenderConfig struct {
	Log     logrus.FieldLogger
	Metrics *metric.Registry
	Target  StreamLog
	// Rules says what becomes of records of each kind while the log is away.
	Rules map[journal.Kind]journal.BufferRule
	// Rand spreads the tries of many hosts. The appender owns it.
	Rand *rand.Rand
}

// pending is a record whose writer waits.
type pending struct {
	stream journal.StreamID
	record journal.Record
	// done takes the one answer.
	done chan error
}

// Appender adds records to the log, in groups: what gathers while a call is
// under way goes with the next one. A record whose append had no answer is
// looked for in the log and appended again under the same identity if it is not
// there; the fold drops a repeat.
type Appender struct {
	cfg     AppenderConfig
	add     chan *pending
	giveUp  chan *pending
	results chan sendResult
	// ended is closed when Run returns.
	ended chan struct{}
	lanes map[journal.StreamID]*lane
}

// NewAppender returns a task that appends while it runs.
func NewAppender(cfg AppenderConfig) *Appender {
	return &Appender{
		cfg:     cfg,
		add:     make(chan *pending, appendQueue),
		giveUp:  make(chan *pending),
		results: make(chan sendResult),
		ended:   make(chan struct{}),
		lanes:   make(map[journal.StreamID]*lane),
	}
}

// Name returns the task's name.
func (a *Appender) Name() string {
	return "platform appender"
}

// Append adds the record and returns once the log has it. Otherwise the error
// is ErrNotAppended if the record is certainly not in the log and will not be,
// or ErrUncertain.
func (a *Appender) Append(ctx context.Context, stream journal.StreamID, r journal.Record) error {
	if _, err := r.Encode(); err != nil {
		return eris.Wrapf(ErrNotAppended, "%s", err)
	}
	p := &pending{stream: stream, record: r, done: make(chan error, 1)}
	select {
	case a.add <- p:
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
	case a.giveUp <- p:
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

// Run appends until the context ends. Records that wait then are uncertain for
// their writers, so it ends after all tasks that write.
func (a *Appender) Run(ctx context.Context) error {
	defer close(a.ended)
	retry := time.NewTimer(0)
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case p := <-a.add:
			a.accept(p)
		case p := <-a.giveUp:
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

func (a *Appender) lane(stream journal.StreamID) *lane {
	l, ok := a.lanes[stream]
	if !ok {
		l = &lane{
			stream: stream,
			limit:  maxGroup,
			buffer: journal.NewBuffer[*pending](journal.BufferConfig{MaxRecords: maxWaiting, Rules: a.cfg.Rules}),
		}
		a.lanes[stream] = l
	}
	return l
}

func (a *Appender) accept(p *pending) {
	a.cfg.Metrics.Count("log_records", 1)
	old, replaced, err := a.lane(p.stream).buffer.Add(p.record, p)
	if err != nil {
		a.cfg.Metrics.Count("log_records_refused", 1)
		p.done <- eris.Wrapf(ErrNotAppended, "record %s: %s", p.record.ID, err)
	}
	if replaced {
		a.cfg.Metrics.Count("log_records_superseded", 1)
		old.done <- eris.Wrapf(ErrNotAppended, "record %s: %s", old.record.ID, journal.ErrSuperseded)
	}
}

// abandon answers a writer that gave up, unless it was answered meanwhile.
func (a *Appender) abandon(p *pending) {
	if len(p.done) > 0 {
		return
	}
	if a.lane(p.stream).buffer.Remove(p) {
		p.done <- eris.Wrapf(ErrUncertain, "record %s: the writer gave up", p.record.ID)
		return
	}
	p.done <- eris.Wrapf(ErrNotAppended, "record %s: the writer gave up", p.record.ID)
}

// startSends starts a send on each idle lane that has records, and returns the
// time until the next lane may try again, or 0.
func (a *Appender) startSends(ctx context.Context, now time.Time) time.Duration {
	var next time.Duration
	for _, l := range a.lanes {
		if l.busy || l.buffer.Len() == 0 {
			continue
		}
		if wait := l.notBefore.Sub(now); wait > 0 {
			if next == 0 || wait < next {
				next = wait
			}
			continue
		}
		s := l.next()
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

// finish answers the writers of a send and plans the next one.
func (a *Appender) finish(r sendResult, now time.Time) {
	l := a.lanes[r.stream]
	l.busy = false
	l.end, l.knowsEnd = r.end, r.knowsEnd
	if r.err == nil {
		a.succeed(l)
		return
	}
	if errors.Is(r.err, ErrRefused) && r.records == 1 {
		a.refuse(l, r)
		return
	}
	if errors.Is(r.err, ErrRefused) {
		l.limit = 1
		l.buffer.Fail(false)
		return
	}
	l.failures++
	l.notBefore = now.Add(journal.Backoff(l.failures, a.cfg.Rand))
	a.cfg.Metrics.Count("log_append_failures", 1)
	a.cfg.Metrics.Gauge("log_records_waiting", int64(l.buffer.Len()), metric.Label{Name: "Stream", Value: string(l.stream)})
	if l.failures == 1 {
		a.cfg.Log.WithError(r.err).WithField("Stream", l.stream).Warn("append failed, records wait")
	}
	for _, p := range l.buffer.Fail(errors.Is(r.err, ErrUncertain)) {
		p.done <- eris.Wrapf(ErrNotAppended, "record %s: %s", p.record.ID, r.err)
	}
}

func (a *Appender) succeed(l *lane) {
	if l.failures > 0 {
		a.cfg.Log.WithField("Stream", l.stream).WithField("Waiting", l.buffer.Len()).Info("appending again")
		a.cfg.Metrics.Gauge("log_records_waiting", 0, metric.Label{Name: "Stream", Value: string(l.stream)})
	}
	l.failures, l.notBefore, l.limit = 0, time.Time{}, maxGroup
	for _, p := range l.buffer.Succeed() {
		p.done <- nil
	}
}

// refuse gives one record back that the log itself refused.
func (a *Appender) refuse(l *lane, r sendResult) {
	as := ErrNotAppended
	if r.uncertain {
		as = ErrUncertain
	}
	for _, p := range l.buffer.Succeed() {
		p.done <- eris.Wrapf(as, "record %s: %s", p.record.ID, r.err)
	}
}
