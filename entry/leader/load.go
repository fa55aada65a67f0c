package leader

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/godwitcross/godwitcross/entry/clock"
	"github.com/godwitcross/godwitcross/entry/store"
	"github.com/godwitcross/godwitcross/fleet/job"
	"github.com/godwitcross/godwitcross/fleet/scheduling"
)

// offsets are the offsets from which streams are tailed after the load.
type offsets struct {
	workers  int64
	operator int64
}

// load creates the scheduler and restores its state from the store.
func (l *Leader) load(ctx context.Context) (*scheduling.Scheduler, offsets, error) {
	var from offsets
	cfg := l.cfg.Scheduling
	cfg.Epoch, cfg.Term, cfg.RecordBytes = l.epoch, l.term, l.cfg.StoreLimits.RecordBytes
	// The previous leader is fenced by now, so it last confirmed its leadership earlier. The
	// leases that it extended end within Grace plus Lease of that, which New takes as bound.
	sch := scheduling.New(l.cfg.Now(), cfg)
	pages, err := l.readStreams(ctx, store.Operator, store.Workers, store.Progress, store.Work)
	if err != nil {
		return nil, from, err
	}
	from.workers, from.operator = pages[store.Workers].Next, pages[store.Operator].Next
	now, wall := l.cfg.Now(), l.cfg.Wall()
	if l.cfg.Configuration != nil {
		if c := l.cfg.Configuration(); c != nil {
			sch.Configure(c)
		}
	}
	l.applyOperator(sch, now, wall, pages[store.Operator].Records)
	sch.Restore(now, wall, l.restoredState(pages))
	l.applyWaves(sch, now, wall, pages[store.Operator].Records)
	l.applyWorkers(sch, now, pages[store.Workers].Records)
	return sch, from, nil
}

// readStreams reads the newest records of several streams concurrently.
func (l *Leader) readStreams(ctx context.Context, streams ...store.Stream) (map[store.Stream]store.Page, error) {
	results := make([]store.Page, len(streams))
	g, ctx := errgroup.WithContext(ctx)
	for i, stream := range streams {
		g.Go(func() (err error) {
			results[i], err = l.readNewest(ctx, stream)
			return err
		})
	}
	err := g.Wait()
	pages := make(map[store.Stream]store.Page, len(streams))
	for i, stream := range streams {
		pages[stream] = results[i]
	}
	return pages, err
}

// readNewest reads the newest record of each key of a stream, and repeats the pages that fail.
func (l *Leader) readNewest(ctx context.Context, stream store.Stream) (store.Page, error) {
	startedAt := l.cfg.Now()
	var size atomic.Int64
	reads := store.WithOnBytes(ctx, func(n int) {
		size.Add(int64(n))
		l.watchdog.touch(l.cfg.Now())
	})
	failures := 0
	page, err := store.ReadNewest(reads, l.cfg.Store, stream, func(err error) bool {
		failures++
		l.watchdog.touchIfBusy(l.cfg.Now(), err)
		l.log.WithFields(logrus.Fields{"Stream": string(stream), "Error": err.Error()}).Info("reading a stream failed")
		return clock.Sleep(ctx, retryDelay)
	})
	if ctx.Err() != nil {
		return page, ctx.Err()
	}
	l.log.WithFields(logrus.Fields{
		"Stream": string(stream), "Records": len(page.Records), "Bytes": size.Load(), "Failures": failures,
		"TookMs": l.cfg.Now().Sub(startedAt).Milliseconds(),
	}).Info("stream loaded")
	return page, err
}

// logSkipped logs and counts a record that can't be decoded.
func (l *Leader) logSkipped(stream store.Stream, r store.Record, err error) {
	l.cfg.Metrics.Count("records_skipped", 1)
	l.log.WithFields(logrus.Fields{"Stream": string(stream), "Key": r.Key, "Offset": r.Offset, "Error": err.Error()}).Warn("record skipped")
}

// restoredState decodes the progress and work records. A record that can't be decoded is
// skipped.
func (l *Leader) restoredState(pages map[store.Stream]store.Page) scheduling.Restored {
	out := scheduling.Restored{Waves: make(map[int64]scheduling.WaveProgress)}
	for _, r := range pages[store.Progress].Records {
		if err := restoreProgress(&out, r); err != nil {
			l.logSkipped(store.Progress, r, err)
		}
	}
	// Of the accepted records of one job ID with the same time, the first in the stream comes first.
	work := slices.SortedStableFunc(slices.Values(pages[store.Work].Records), func(a, b store.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	for _, r := range work {
		if c, ok := parseCancellation(r); ok && len(r.Value) > 0 {
			out.Cancelled = append(out.Cancelled, c)
		}
		if !isAccepted(r) || len(r.Value) == 0 {
			continue
		}
		j, err := job.Decode(r.Value)
		if err != nil {
			l.logSkipped(store.Work, r, err)
			continue
		}
		out.Jobs = append(out.Jobs, j)
	}
	return out
}

func restoreProgress(out *scheduling.Restored, r store.Record) error {
	if r.Err != nil || len(r.Value) == 0 {
		return r.Err
	}
	if id, block, ok := scheduling.ParseProgressKey(r.Key); ok {
		p, err := job.DecodeProgress(r.Value)
		if err != nil {
			return err
		}
		out.AddProgress(id, block, p)
		return nil
	}
	if strings.HasPrefix(r.Key, scheduling.RegistryPrefix) {
		e, err := scheduling.DecodeEntry(r.Value)
		if err != nil {
			return err
		}
		out.Registry = append(out.Registry, e)
		return nil
	}
	if id, ok := strings.CutPrefix(r.Key, scheduling.HostPrefix); ok {
		out.Reserved = append(out.Reserved, scheduling.HostID(id))
		return nil
	}
	if rest, ok := strings.CutPrefix(r.Key, scheduling.WavePrefix); ok {
		n, err := strconv.ParseInt(rest, 10, 64)
		if err != nil {
			return err
		}
		p, err := scheduling.DecodeWave(r.Value)
		if err != nil {
			return err
		}
		out.Waves[n] = p
	}
	return nil
}

func (l *Leader) applyOperator(sch *scheduling.Scheduler, _ time.Time, _ int64, records []store.Record) {
	for _, r := range records {
		p, err := l.cfg.Decoder.Publication(r)
		if err != nil {
			l.logSkipped(store.Operator, r, err)
			continue
		}
		if p.Configuration != nil {
			l.cfg.OnConfiguration(p.Configuration)
			sch.Configure(p.Configuration)
		}
	}
}

func (l *Leader) applyWaves(sch *scheduling.Scheduler, now time.Time, wall int64, records []store.Record) {
	for _, r := range records {
		if p, err := l.cfg.Decoder.Publication(r); err == nil && p.Wave != nil {
			sch.RequestWave(now, wall, *p.Wave)
		}
	}
}

func (l *Leader) applyWorkers(sch *scheduling.Scheduler, now time.Time, records []store.Record) {
	for _, r := range records {
		if len(r.Value) == 0 && r.Err == nil {
			sch.Deregister(now, l.cfg.Decoder.WorkerID(r))
			continue
		}
		e, err := l.cfg.Decoder.Worker(r)
		if err != nil {
			l.logSkipped(store.Workers, r, err)
			continue
		}
		sch.Register(now, e)
	}
}

// pageFunc handles a page of a stream. The read was sent at sentAt.
type pageFunc func(p store.Page, sentAt time.Time)

// streamTail configures how a stream is read continuously.
type streamTail struct {
	stream store.Stream
	// from is the offset to begin at.
	from int64
	// applied returns the offset before which other reads have passed on all records. It is
	// nil for a stream that has no other reads.
	applied func() int64
	// apply handles a page. reload handles the newest record of each key, in the order of the
	// stream, in place of records that were trimmed before they were read.
	apply, reload pageFunc
}

// tail reads a stream continuously and passes its pages on.
func (l *Leader) tail(ctx context.Context, t streamTail) error {
	log := l.log.WithField("Stream", string(t.stream))
	var failedSince time.Time
	for from := t.from; ctx.Err() == nil; {
		if t.applied != nil {
			from = max(from, t.applied())
		}
		sentAt := l.cfg.Now()
		page, err := l.cfg.Store.Read(ctx, t.stream, from, readWait)
		switch {
		case errors.Is(err, store.ErrTrimmed):
			log.WithField("From", from).Warn("stream reloaded after a gap")
			sentAt = l.cfg.Now()
			if page, err = l.readNewest(ctx, t.stream); err != nil {
				return err
			}
			slices.SortFunc(page.Records, func(a, b store.Record) int { return cmp.Compare(a.Offset, b.Offset) })
			t.reload(page, sentAt)
		case err != nil:
			if failedSince.IsZero() && ctx.Err() == nil {
				failedSince = sentAt
				log.WithFields(logrus.Fields{"From": from, "Error": err.Error()}).Warn("reading a stream failed; the leader's view ages")
			}
			if !clock.Sleep(ctx, retryDelay) {
				return ctx.Err()
			}
			continue
		default:
			t.apply(page, sentAt)
		}
		if !failedSince.IsZero() {
			log.WithFields(logrus.Fields{"From": from, "Records": len(page.Records), "End": page.End, "AfterMs": l.cfg.Now().Sub(failedSince).Milliseconds()}).Info("reading a stream resumed")
			failedSince = time.Time{}
		}
		from = page.Next
	}
	return ctx.Err()
}

func (l *Leader) tailWork(ctx context.Context, from int64) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	apply := func(p store.Page, sentAt time.Time) {
		if l.applyWorkPage(p, sentAt); l.isSuperseded.Load() {
			cancel()
		}
	}
	err := l.tail(ctx, streamTail{stream: store.Work, from: from, applied: l.view.nextOffset, apply: apply, reload: apply})
	if l.isSuperseded.Load() {
		return ErrFenced
	}
	return err
}

// applyWorkPage passes records of the work stream to the scheduler up to the marker of a
// later leader. What follows the marker in the stream belongs to that leader.
func (l *Leader) applyWorkPage(p store.Page, sentAt time.Time) {
	for _, r := range p.Records {
		if l.isLaterLeader(r) {
			l.isSuperseded.Store(true)
			l.enqueue(func(sch *scheduling.Scheduler, _ time.Time, _ int64) { sch.StepDown() })
		}
		if l.isSuperseded.Load() {
			return
		}
		l.applyWork(r)
		// A reload may hold records that were stored while its pages were read, but not all.
		l.view.advance(min(r.Offset+1, p.Next))
	}
	l.view.observe(p, sentAt)
	l.cfg.Metrics.Observe("work_read_time", l.cfg.Now().Sub(sentAt))
}

// catchUp reads the work stream to the end that it has when the read begins, so that a job
// still unknown afterwards wasn't accepted before the call.
func (l *Leader) catchUp() error {
	ctx, cancel := context.WithTimeout(context.Background(), catchUpTimeout)
	defer cancel()
	for end := int64(0); ; {
		l.cfg.Metrics.Count("work_catch_up_reads", 1)
		sentAt := l.cfg.Now()
		page, err := l.cfg.Store.Read(ctx, store.Work, l.view.nextOffset(), 0)
		if err != nil {
			return err
		}
		l.applyWorkPage(page, sentAt)
		if l.isSuperseded.Load() {
			return ErrFenced
		}
		if end == 0 {
			end = page.End
		}
		if page.ReachesEnd() || end > 0 && l.view.nextOffset() >= end {
			return nil
		}
	}
}

// ensureCurrent reads the work stream unless the leader has known its end within maxAge. A
// read to the end also shows that no later leader has taken over: its marker would be in it.
func (l *Leader) ensureCurrent(ctx context.Context, maxAge time.Duration) error {
	if l.isSuperseded.Load() {
		return ErrFenced
	}
	if l.view.age(l.cfg.Now()) <= maxAge {
		return nil
	}
	return l.readToEnd(ctx)
}

// readToEnd reads the work stream to its end, once the state is loaded.
func (l *Leader) readToEnd(ctx context.Context) error {
	select {
	case <-l.loaded:
		return l.catchUps.do(ctx)
	case <-l.done:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// isLaterLeader reports whether a record is the marker of a later leader.
func (l *Leader) isLaterLeader(r store.Record) bool {
	if r.Key != keyLeader || r.Err != nil {
		return false
	}
	epoch, err := strconv.ParseInt(string(r.Value), 10, 64)
	if err != nil {
		l.logSkipped(store.Work, r, err)
		return false
	}
	if epoch > l.epoch {
		l.log.WithField("NewEpoch", epoch).Info("superseded by a later leader")
	}
	return epoch > l.epoch
}

// applyWork passes an accepted job or a cancellation to the scheduler.
func (l *Leader) applyWork(r store.Record) {
	if r.Err != nil {
		l.logSkipped(store.Work, r, r.Err)
		return
	}
	if len(r.Value) == 0 || r.Key == keyLeader {
		return
	}
	if c, ok := parseCancellation(r); ok {
		l.enqueue(func(sch *scheduling.Scheduler, now time.Time, wall int64) { sch.Cancel(now, wall, c.Job, c.Workspace) })
		return
	}
	if !isAccepted(r) {
		return
	}
	j, err := job.Decode(r.Value)
	if err != nil {
		l.logSkipped(store.Work, r, err)
		return
	}
	l.enqueue(func(sch *scheduling.Scheduler, now time.Time, wall int64) { sch.Accept(now, wall, j) })
}

func (l *Leader) tailWorkers(ctx context.Context, from int64) error {
	apply := func(p store.Page, sentAt time.Time) {
		l.enqueue(func(sch *scheduling.Scheduler, now time.Time, _ int64) { l.applyWorkers(sch, now, p.Records) })
		l.workersView.observe(p, sentAt)
	}
	reload := func(p store.Page, sentAt time.Time) {
		l.enqueue(func(sch *scheduling.Scheduler, now time.Time, _ int64) {
			listed := make(map[scheduling.WorkerID]bool, len(p.Records))
			for _, r := range p.Records {
				if len(r.Value) > 0 {
					listed[l.cfg.Decoder.WorkerID(r)] = true
				}
			}
			for _, id := range sch.RegisteredWorkers() {
				if !listed[id] {
					sch.Deregister(now, id)
				}
			}
			l.applyWorkers(sch, now, p.Records)
		})
		l.workersView.observe(p, sentAt)
	}
	return l.tail(ctx, streamTail{stream: store.Workers, from: from, apply: apply, reload: reload})
}

func (l *Leader) tailOperator(ctx context.Context, from int64) error {
	apply := func(p store.Page, sentAt time.Time) {
		l.enqueue(func(sch *scheduling.Scheduler, now time.Time, wall int64) {
			l.applyOperator(sch, now, wall, p.Records)
			l.applyWaves(sch, now, wall, p.Records)
		})
		l.operatorView.observe(p, sentAt)
	}
	return l.tail(ctx, streamTail{stream: store.Operator, from: from, apply: apply, reload: apply})
}

// listHosts lists the fleet's hosts at each interval, or earlier on request.
func (l *Leader) listHosts(ctx context.Context) error {
	for ctx.Err() == nil {
		sentAt := l.cfg.Now()
		hosts, err := l.cfg.Hosts.List(ctx)
		if err != nil {
			l.log.WithField("Error", err.Error()).Info("listing hosts failed")
		} else {
			l.enqueue(func(sch *scheduling.Scheduler, now time.Time, _ int64) { sch.HostsListed(now, sentAt, hosts) })
		}
		t := time.NewTimer(listInterval)
		select {
		case <-t.C:
		case <-l.relist:
		case <-ctx.Done():
		}
		t.Stop()
	}
	return ctx.Err()
}
