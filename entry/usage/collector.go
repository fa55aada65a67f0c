package usage

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/godwitcross/godwitcross/entry/duty"
	"github.com/godwitcross/godwitcross/entry/follower"
	"github.com/godwitcross/godwitcross/fleet/bill"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/lease"
	"github.com/godwitcross/godwitcross/fleet/pool"
	"github.com/godwitcross/godwitcross/fleet/state"
)

// Times of collecting usage.
const (
	// pollSpacing is the mean time between two polls of any workers. Each worker is polled
	// once in pollSpacing times the number of workers, so that the cost does not grow
	// with the data centre, but at most once in minPollInterval.
	pollSpacing     = 100 * time.Millisecond
	minPollInterval = time.Second
	// sealInterval is the time between two seals of the record chain.
	sealInterval = time.Hour
	// closeDelay is how long after its end a month is closed at the earliest.
	closeDelay = 10 * time.Minute
	// tickTimeout bounds one tick, so that the duty runner keeps renewing its duties.
	tickTimeout = 1500 * time.Millisecond
)

// Limits of one tick.
const (
	maxPolledWorkers   = 32
	maxReports         = 512
	maxConcurrentCalls = 8
)

// collector records usage and transfers of hosts while this entry host holds the duty.
type collector struct {
	cfg      Config
	stream   *follower.Stream[*state.Usage]
	recorder *duty.Recorder

	// pools is the pool state up to which transfers are recorded; workers are the data
	// centre's workers in that state, sorted by ID.
	pools   *pool.View
	workers []inventory.WorkerID
	// due is when each worker is polled next.
	due      map[inventory.WorkerID]time.Time
	sealedAt time.Time
}

func newCollector(cfg Config, stream *follower.Stream[*state.Usage]) *collector {
	return &collector{cfg: cfg, stream: stream, recorder: duty.NewRecorder(duty.RecorderConfig{
		Name: cfg.Name, Duty: DutyUsage,
		Record: func(ctx context.Context, r journal.Record) (journal.Result, error) {
			return stream.Record(ctx, cfg.Records, r)
		},
	})}
}

// Duty returns the duty that guards the work.
func (c *collector) Duty() lease.Duty {
	return DutyUsage
}

// Tick records transfers of hosts and usage reports, seals the record chain and closes
// months.
func (c *collector) Tick(ctx context.Context, now time.Time, epoch journal.Epoch) error {
	ctx, cancel := context.WithTimeout(ctx, tickTimeout)
	defer cancel()
	if c.recorder.Epoch() != epoch {
		c.recorder.Begin(epoch)
		c.pools, c.workers, c.sealedAt = nil, nil, now
		c.due = make(map[inventory.WorkerID]time.Time)
	}
	if err := c.recorder.AppendPending(ctx); err != nil {
		return err
	}
	for _, step := range []func(context.Context, time.Time) error{c.recordTransfers, c.recordReports, c.seal} {
		if err := step(ctx, now); err != nil {
			return err
		}
	}
	return nil
}

// recordTransfers records the hosts whose owner, pool or size differs from the last record.
func (c *collector) recordTransfers(ctx context.Context, now time.Time) error {
	st := c.cfg.Fleet.Latest()
	if st.Pools == nil || st.Pools == c.pools {
		return nil
	}
	var known map[inventory.HostID]bill.Interval
	if err := c.stream.Do(ctx, func(s *state.Usage) { known = s.Bill.OpenIntervals() }); err != nil {
		return err
	}
	if changed := c.transfers(st, known, now); len(changed) > 0 {
		if err := c.recorder.Write(ctx, now, bill.KindTransfer, bill.Transfers{Version: int64(st.Next), Transfers: changed}); err != nil {
			return err
		}
	}
	c.pools, c.workers = st.Pools, c.localWorkers(st)
	return nil
}

// localWorkers returns the workers of the data centre, sorted by ID.
func (c *collector) localWorkers(st follower.State) []inventory.WorkerID {
	var here []inventory.WorkerID
	for id, h := range st.Pools.Hosts {
		if h.DataCentre == c.cfg.DataCentre {
			here = append(here, id.Worker())
		}
	}
	slices.Sort(here)
	return here
}

// transfers returns the transfers that bring the known intervals in line with the pool
// state of the data centre's hosts.
func (c *collector) transfers(st follower.State, known map[inventory.HostID]bill.Interval, now time.Time) []bill.Transfer {
	var out []bill.Transfer
	for id, h := range st.Pools.Hosts {
		if h.DataCentre != c.cfg.DataCentre {
			continue
		}
		t := bill.Transfer{Host: id, Owner: st.Configuration.Pools[h.Pool].Owner, Pool: h.Pool, Cores: st.Configuration.Hosts[id].Size.Cores, At: bill.MomentOf(h.Owned)}
		i, ok := known[id]
		if ok && i.Owner == t.Owner && i.Pool == t.Pool && i.Cores == t.Cores {
			continue
		}
		if ok && i.Pool == t.Pool && i.Owner == t.Owner {
			t.At = bill.MomentOf(now)
		}
		out = append(out, t)
	}
	for id := range known {
		if h, ok := st.Pools.Hosts[id]; !ok || h.DataCentre != c.cfg.DataCentre {
			out = append(out, bill.Transfer{Host: id, At: bill.MomentOf(now)})
		}
	}
	slices.SortFunc(out, func(a, b bill.Transfer) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

// recordReports polls the workers that are due and records reports newer than the last one.
func (c *collector) recordReports(ctx context.Context, now time.Time) error {
	workers := c.dueWorkers(now)
	if len(workers) == 0 {
		return nil
	}
	reports := c.fetchReports(ctx, workers)
	var fresh []bill.Report
	err := c.stream.Do(ctx, func(s *state.Usage) {
		for _, r := range reports {
			boot, at, ok := s.Bill.LastReport(r.Worker)
			if !ok || r.Boot > boot || (r.Boot == boot && r.At > at) {
				fresh = append(fresh, r)
			}
		}
	})
	if err != nil || len(fresh) == 0 {
		return err
	}
	return c.recorder.Write(ctx, now, bill.KindReport, bill.Reports{Reports: fresh[:min(len(fresh), maxReports)]})
}

// dueWorkers returns the workers that are due for a poll, at most maxPolledWorkers, and
// schedules their next one.
func (c *collector) dueWorkers(now time.Time) []inventory.WorkerID {
	var next []inventory.WorkerID
	pause := max(minPollInterval, time.Duration(len(c.workers))*pollSpacing)
	for _, w := range c.workers {
		if len(next) < maxPolledWorkers && !now.Before(c.due[w]) {
			c.due[w] = now.Add(pause)
			next = append(next, w)
		}
	}
	return next
}

// fetchReports returns the last report of each worker. Reports are counter readings, so
// earlier ones would only show when within the span the core time was used.
func (c *collector) fetchReports(ctx context.Context, workers []inventory.WorkerID) []bill.Report {
	var mu sync.Mutex
	var last []bill.Report
	g := &errgroup.Group{}
	g.SetLimit(maxConcurrentCalls)
	for _, w := range workers {
		if ctx.Err() != nil {
			break
		}
		g.Go(func() error {
			reports, err := c.cfg.Workers.Usage(w)
			if err != nil {
				c.cfg.Log.WithError(err).WithField("Worker", w).Warn("reading the usage of a worker failed")
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			for _, r := range reports[max(0, len(reports)-1):] {
				last = append(last, bill.Report{Worker: w, Boot: r.Boot, At: bill.MomentOf(r.At), Used: bill.CoreTime(r.Used)})
			}
			return nil
		})
	}
	_ = g.Wait()
	slices.SortFunc(last, func(a, b bill.Report) int { return cmp.Compare(a.Worker, b.Worker) })
	return last
}

// seal records a seal of the chain every sealInterval. It closes a month once a report
// from after its end has been recorded and closeDelay has passed.
func (c *collector) seal(ctx context.Context, now time.Time) error {
	var link bill.Link
	var opened, last bill.Moment
	err := c.stream.Do(ctx, func(s *state.Usage) {
		link, opened, last = s.Bill.Chain(), s.Bill.PeriodStart(), s.Bill.ReportedUntil()
	})
	if err != nil || link.Offset < 0 {
		return err
	}
	s := bill.Seal{Offset: link.Offset, Chain: link.Digest}
	month := bill.MomentOf(time.Date(now.UTC().Year(), now.UTC().Month(), 1, 0, 0, 0, 0, time.UTC))
	if opened < month && last > month && now.Sub(month.Time()) > closeDelay {
		s.Close = month
	}
	if s.Close == 0 && now.Sub(c.sealedAt) < sealInterval {
		return nil
	}
	c.sealedAt = now
	return c.recorder.Write(ctx, now, bill.KindSeal, s)
}
