package leader

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/godwitcross/godwitcross/entry/clock"
	"github.com/godwitcross/godwitcross/entry/store"
	"github.com/godwitcross/godwitcross/fleet/job"
	"github.com/godwitcross/godwitcross/fleet/scheduling"
)

// offsets are the places from which streams are read on.
type offsets struct {
	workers  int64
	operator int64
}

// load builds the scheduler from what the store holds.
func (l *Leader) load(ctx context.Context) (*scheduling.Scheduler, offsets, error) {
	var from offsets
	cfg := l.cfg.Scheduling
	cfg.Epoch, cfg.Term = l.epoch, l.term
	// Whoever owned before was shut out by now, so its last proof is older than this.
	sch := scheduling.New(l.cfg.Now(), cfg)
	pages, err := l.newestOf(ctx, store.Operator, store.Workers, store.Progress, store.Work)
	if err != nil {
		return nil, from, err
	}
	from.workers, from.operator = pages[store.Workers].Next, pages[store.Operator].Next
	now, wall := l.cfg.Now(), l.cfg.Wall()
	l.applyOperator(sch, now, wall, pages[store.Operator].Records)
	sch.Restore(now, wall, l.restoredState(pages))
	l.applyWaves(sch, now, wall, pages[store.Operator].Records)
	l.applyWorkers(sch, now, pages[store.Workers].Records)
	return sch, from, nil
}

// newestOf reads several streams at once.
func (l *Leader) newestOf(ctx context.Context, streams ...store.Stream) (map[store.Stream]store.Page, error) {
	read := make([]store.Page, len(streams))
	g, ctx := errgroup.WithContext(ctx)
	for i, stream := range streams {
		g.Go(func() (err error) {
			read[i], err = l.newest(ctx, stream)
			return err
		})
	}
	err := g.Wait()
	pages := make(map[store.Stream]store.Page, len(streams))
	for i, stream := range streams {
		pages[stream] = read[i]
	}
	return pages, err
}

// newest reads the newest records of a stream until that succeeds.
func (l *Leader) newest(ctx context.Context, stream store.Stream) (store.Page, error) {
	for {
		page, err := l.cfg.Store.Newest(ctx, stream)
		if err == nil {
			return page, nil
		}
		l.log.WithFields(logrus.Fields{"Stream": string(stream), "Error": err.Error()}).Info("stream not read")
		if !clock.Pause(ctx, retryPause) {
			return page, ctx.Err()
		}
	}
}

// logSkipped tells of a record that can't be read.
func (l *Leader) logSkipped(stream store.Stream, r store.Record, err error) {
	l.cfg.Metrics.Count("records_skipped", 1)
	l.log.WithFields(logrus.Fields{"Stream": string(stream), "Key": r.Key, "Offset": r.Offset, "Error": err.Error()}).Warn("record skipped")
}

// restoredState reads the product's own records.
func (l *Leader) restoredState(pages map[store.Stream]store.Page) scheduling.Restored {
	out := scheduling.Restored{Progress: make(map[job.ID]job.Progress), Waves: make(map[int64]scheduling.WaveProgress)}
	for _, r := range pages[store.Progress].Records {
		if err := restoreProgress(&out, r); err != nil {
			l.logSkipped(store.Progress, r, err)
		}
	}
	for _, r := range pages[store.Work].Records {
		if id, ok := jobIDOf(r.Key, cancelledPrefix); ok && len(r.Value) > 0 {
			out.Cancelled = append(out.Cancelled, id)
		}
		if _, ok := jobIDOf(r.Key, acceptedPrefix); !ok || len(r.Value) == 0 {
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
	if id, ok := jobIDOf(r.Key, scheduling.ProgressPrefix); ok {
		p, err := job.DecodeProgress(r.Value)
		if err != nil {
			return err
		}
		out.Progress[id] = p
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
			l.cfg.Published(p.Configuration)
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

// tail reads a stream on and on. After a gap it starts again with the newest record
// of each key, which lost tells.
func (l *Leader) tail(ctx context.Context, stream store.Stream, from int64, apply, lost func(records []store.Record)) error {
	for ctx.Err() == nil {
		page, err := l.cfg.Store.Read(ctx, stream, from, readWait)
		switch {
		case errors.Is(err, store.ErrTrimmed):
			l.log.WithFields(logrus.Fields{"Stream": string(stream), "From": from}).Warn("stream read anew after a gap")
			if page, err = l.newest(ctx, stream); err != nil {
				return err
			}
			lost(page.Records)
		case err != nil:
			if !clock.Pause(ctx, retryPause) {
				return ctx.Err()
			}
			continue
		default:
			apply(page.Records)
		}
		from = page.Next
	}
	return ctx.Err()
}

func (l *Leader) tailWork(ctx context.Context, from int64) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	apply := func(records []store.Record) {
		if l.applyWorkPage(records); l.isSuperseded.Load() {
			cancel()
		}
	}
	err := l.tail(ctx, store.Work, from, apply, apply)
	if l.isSuperseded.Load() {
		return ErrFenced
	}
	return err
}

// applyWorkPage hands on records of the work stream up to the mark of a later owner:
// what follows in the order of the work is that owner's.
func (l *Leader) applyWorkPage(records []store.Record) {
	for _, r := range records {
		if l.isLaterLeader(r) {
			l.isSuperseded.Store(true)
			l.enqueue(func(sch *scheduling.Scheduler, _ time.Time, _ int64) { sch.StepDown() })
		}
		if l.isSuperseded.Load() {
			return
		}
		l.applyWork(r)
		l.workNext.Store(max(l.workNext.Load(), r.Offset+1))
	}
}

// catchUp reads the work up to its end, so that a job that isn't known then wasn't
// accepted before.
func (l *Leader) catchUp(ctx context.Context) error {
	page, err := l.cfg.Store.Read(ctx, store.Work, l.workNext.Load(), 0)
	if err != nil {
		return err
	}
	l.applyWorkPage(page.Records)
	if l.isSuperseded.Load() {
		return ErrFenced
	}
	return nil
}

// isLaterLeader reports whether a record marks where a later owner took over.
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
		l.log.WithField("NewEpoch", epoch).Info("another owner marked the work")
	}
	return epoch > l.epoch
}

// applyWork hands on a record of the work stream.
func (l *Leader) applyWork(r store.Record) {
	if r.Err != nil {
		l.logSkipped(store.Work, r, r.Err)
		return
	}
	if len(r.Value) == 0 || r.Key == keyLeader {
		return
	}
	if id, ok := jobIDOf(r.Key, cancelledPrefix); ok {
		l.enqueue(func(sch *scheduling.Scheduler, now time.Time, wall int64) { sch.Cancel(now, wall, id) })
		return
	}
	if _, ok := jobIDOf(r.Key, acceptedPrefix); !ok {
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
	apply := func(records []store.Record) {
		l.enqueue(func(sch *scheduling.Scheduler, now time.Time, _ int64) { l.applyWorkers(sch, now, records) })
	}
	lost := func(records []store.Record) {
		l.enqueue(func(sch *scheduling.Scheduler, now time.Time, _ int64) {
			listed := make(map[scheduling.WorkerID]bool, len(records))
			for _, r := range records {
				if len(r.Value) > 0 {
					listed[l.cfg.Decoder.WorkerID(r)] = true
				}
			}
			for _, id := range sch.RegisteredWorkers() {
				if !listed[id] {
					sch.Deregister(now, id)
				}
			}
			l.applyWorkers(sch, now, records)
		})
	}
	return l.tail(ctx, store.Workers, from, apply, lost)
}

func (l *Leader) tailOperator(ctx context.Context, from int64) error {
	apply := func(records []store.Record) {
		l.enqueue(func(sch *scheduling.Scheduler, now time.Time, wall int64) {
			l.applyOperator(sch, now, wall, records)
			l.applyWaves(sch, now, wall, records)
		})
	}
	return l.tail(ctx, store.Operator, from, apply, apply)
}

// listHosts lists the fleet's hosts again and again.
func (l *Leader) listHosts(ctx context.Context) error {
	for ctx.Err() == nil {
		sentAt := l.cfg.Now()
		hosts, err := l.cfg.Hosts.List(ctx)
		if err != nil {
			l.log.WithField("Error", err.Error()).Info("hosts not listed")
		} else {
			l.enqueue(func(sch *scheduling.Scheduler, now time.Time, _ int64) { sch.HostsListed(now, sentAt, hosts) })
		}
		t := time.NewTimer(listEvery)
		select {
		case <-t.C:
		case <-l.relist:
		case <-ctx.Done():
		}
		t.Stop()
	}
	return ctx.Err()
}
