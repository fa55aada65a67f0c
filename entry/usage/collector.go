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

// Times of collecting.
const (
	// askSpacing is the time between two questions to any worker. Each worker is
	// asked once in askSpacing times their number, so that the cost of asking does
	// not grow with the data centre.
	askSpacing = 100 * time.Millisecond
	askLeast   = time.Second
	// sealEvery is the time between two seals of the chain.
	sealEvery = time.Hour
	// closeAfter is how long after the end of a month it is closed.
	closeAfter = 10 * time.Minute
	// tickTime bounds one tick, so that the runner goes on renewing its duties.
	tickTime = 1500 * time.Millisecond
)

// Bounds of one tick.
const (
	maxAsked    = 32
	maxReports  = 512
	callsAtOnce = 8
)

// collector collects usage while the host holds the duty.
type collector struct {
	cfg      Config
	book     *follower.Stream[*state.Usage]
	recorder *duty.Recorder

	// pools is the ownership that is recorded, and workers those of the data
	// centre then, in order.
	pools   *pool.View
	workers []inventory.WorkerID
	// due is when each worker is asked next.
	due    map[inventory.WorkerID]time.Time
	sealed time.Time
}

func newCollector(cfg Config, book *follower.Stream[*state.Usage]) *collector {
	return &collector{cfg: cfg, book: book, recorder: duty.NewRecorder(duty.RecorderConfig{
		Name: cfg.Name, Duty: DutyUsage,
		Record: func(ctx context.Context, r journal.Record) (journal.Result, error) {
			return book.Record(ctx, cfg.Records, r)
		},
	})}
}

// Duty returns the duty that guards the work.
func (c *collector) Duty() lease.Duty {
	return DutyUsage
}

// Tick records changes of ownership and usage reports, seals the chain and
// closes months.
func (c *collector) Tick(ctx context.Context, now time.Time, epoch journal.Epoch) error {
	ctx, cancel := context.WithTimeout(ctx, tickTime)
	defer cancel()
	if c.recorder.Epoch() != epoch {
		c.recorder.Begin(epoch)
		c.pools, c.workers, c.sealed = nil, nil, now
		c.due = make(map[inventory.WorkerID]time.Time)
	}
	if err := c.recorder.Settle(ctx); err != nil {
		return err
	}
	for _, step := range []func(context.Context, time.Time) error{c.transfer, c.report, c.seal} {
		if err := step(ctx, now); err != nil {
			return err
		}
	}
	return nil
}

// transfer records the hosts whose owner or pool differs from the last record.
func (c *collector) transfer(ctx context.Context, now time.Time) error {
	st := c.cfg.Fleet.Latest()
	if st.Pools == nil || st.Pools == c.pools {
		return nil
	}
	var known map[inventory.HostID]bill.Interval
	if err := c.book.Do(ctx, func(s *state.Usage) { known = s.Bill.OpenIntervals() }); err != nil {
		return err
	}
	if changed := c.changes(st, known, now); len(changed) > 0 {
		if err := c.recorder.Write(ctx, now, bill.KindTransfer, bill.Transfers{Version: int64(st.Next), Transfers: changed}); err != nil {
			return err
		}
	}
	c.pools, c.workers = st.Pools, c.members(st)
	return nil
}

// members returns the workers of the data centre in order.
func (c *collector) members(st follower.State) []inventory.WorkerID {
	var here []inventory.WorkerID
	for id, h := range st.Pools.Hosts {
		if h.DataCentre == c.cfg.DataCentre {
			here = append(here, id.Worker())
		}
	}
	slices.Sort(here)
	return here
}

// changes compares the owners of the data centre's hosts with the known intervals.
func (c *collector) changes(st follower.State, known map[inventory.HostID]bill.Interval, now time.Time) []bill.Transfer {
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

// report asks workers that are due and records what they newly report.
func (c *collector) report(ctx context.Context, now time.Time) error {
	workers := c.next(now)
	if len(workers) == 0 {
		return nil
	}
	told := c.ask(ctx, workers)
	var fresh []bill.Report
	err := c.book.Do(ctx, func(s *state.Usage) {
		for _, r := range told {
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

// next returns workers whose time has come, at most maxAsked.
func (c *collector) next(now time.Time) []inventory.WorkerID {
	var next []inventory.WorkerID
	pause := max(askLeast, time.Duration(len(c.workers))*askSpacing)
	for _, w := range c.workers {
		if len(next) < maxAsked && !now.Before(c.due[w]) {
			c.due[w] = now.Add(pause)
			next = append(next, w)
		}
	}
	return next
}

// ask returns what the workers report, the last report of each. Earlier ones add
// nothing but where within the span the time was used.
func (c *collector) ask(ctx context.Context, workers []inventory.WorkerID) []bill.Report {
	var mu sync.Mutex
	var told []bill.Report
	g := &errgroup.Group{}
	g.SetLimit(callsAtOnce)
	for _, w := range workers {
		if ctx.Err() != nil {
			break
		}
		g.Go(func() error {
			reports, err := c.cfg.Workers.Usage(w)
			if err != nil {
				c.cfg.Log.WithError(err).WithField("Worker", w).Warn("asking for usage failed")
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			for _, r := range reports[max(0, len(reports)-1):] {
				told = append(told, bill.Report{Worker: w, Boot: r.Boot, At: bill.MomentOf(r.At), Used: bill.CoreTime(r.Used)})
			}
			return nil
		})
	}
	_ = g.Wait()
	slices.SortFunc(told, func(a, b bill.Report) int { return cmp.Compare(a.Worker, b.Worker) })
	return told
}

// seal seals the chain from time to time, and closes a month once its reports
// are in.
func (c *collector) seal(ctx context.Context, now time.Time) error {
	var link bill.Link
	var opened, last bill.Moment
	err := c.book.Do(ctx, func(s *state.Usage) {
		link, opened, last = s.Bill.Chain(), s.Bill.PeriodStart(), s.Bill.ReportedUntil()
	})
	if err != nil || link.Offset < 0 {
		return err
	}
	s := bill.Seal{Offset: link.Offset, Chain: link.Digest}
	month := bill.MomentOf(time.Date(now.UTC().Year(), now.UTC().Month(), 1, 0, 0, 0, 0, time.UTC))
	if opened < month && last > month && now.Sub(month.Time()) > closeAfter {
		s.Close = month
	}
	if s.Close == 0 && now.Sub(c.sealed) < sealEvery {
		return nil
	}
	c.sealed = now
	return c.recorder.Write(ctx, now, bill.KindSeal, s)
}
