// Package placement runs the jobs of a data centre: it follows the data
// centre's job stream, answers operators' questions about jobs, and, on the
// host that holds the duty, fills the workers and watches their tasks.
package placement

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/godwitcross/godwitcross/entry/duty"
	"github.com/godwitcross/godwitcross/entry/follower"
	"github.com/godwitcross/godwitcross/entry/platform"
	"github.com/godwitcross/godwitcross/entry/view"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/placement"
	"github.com/godwitcross/godwitcross/fleet/state"
)

// Queues of the board's task.
const (
	// batchQueue is how many batches wait; a full queue holds the reader back.
	batchQueue = 16
	// questionQueue is how many questions wait; a full queue makes askers wait.
	questionQueue = 64
)

// layoutEvery is the time between two looks at the configuration and the host list.
const layoutEvery = 200 * time.Millisecond

// Progress is how far the job stream is folded.
type Progress struct {
	Holdings duty.Holdings
	Next     journal.Offset
	End      journal.Offset
	// Recent holds the last verdicts, oldest first.
	Recent []journal.Verdict
}

// Board owns the state of the job stream and its scheduler. Others ask it by
// functions that run on its task and must return quickly.
type Board struct {
	log        logrus.FieldLogger
	dataCentre inventory.DataCentreID
	fleet      *view.Box[follower.State]
	hosts      *view.Box[inventory.HostList]
	in         <-chan platform.Batch
	questions  chan func()
	out        *view.Box[Progress]

	jobs      *state.Jobs
	scheduler *placement.Scheduler
	// version and live are what the scheduler's layout was made from.
	version configuration.Version
	live    map[inventory.HostID]bool
}

// newBoard returns a board that folds the batches of in.
func newBoard(cfg Config, in <-chan platform.Batch) *Board {
	b := &Board{
		log: cfg.Log, dataCentre: cfg.DataCentre, fleet: cfg.Fleet, hosts: cfg.Hosts, in: in,
		questions: make(chan func(), questionQueue), out: view.NewBox(Progress{}), jobs: state.NewJobs(),
	}
	b.scheduler = placement.NewScheduler(b.jobs.Placement)
	return b
}

// Name returns the task's name.
func (b *Board) Name() string {
	return "follower of the job stream"
}

// Run folds and answers until the context ends.
func (b *Board) Run(ctx context.Context) error {
	t := time.NewTicker(layoutEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case batch := <-b.in:
			b.apply(batch)
		case ask := <-b.questions:
			ask()
		case <-t.C:
			b.refreshLayout()
		}
	}
}

// Do runs a function on the board's task and waits for its end. The function
// keeps nothing of what it sees.
func (b *Board) Do(ctx context.Context, ask func(*placement.Reducer, *placement.Scheduler)) error {
	done := make(chan struct{})
	question := func() {
		ask(b.jobs.Placement, b.scheduler)
		close(done)
	}
	select {
	case b.questions <- question:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (b *Board) apply(batch platform.Batch) {
	fold := b.jobs.Fold()
	for i, raw := range batch.Records {
		o := batch.First + journal.Offset(i)
		if o < fold.Next() {
			continue
		}
		v, err := fold.Apply(o, raw)
		if err != nil {
			b.log.WithError(err).Error("the job stream has a gap")
			return
		}
		if v.Outcome != journal.Accepted {
			b.log.WithField("Verdict", v).Warn("job record not accepted")
		}
	}
	b.out.Publish(Progress{Holdings: b.jobs.Lease.Holdings(), Next: fold.Next(), End: max(batch.End, fold.Next()), Recent: fold.Recent()})
}

// refreshLayout gives the scheduler a new layout if the fleet has changed.
func (b *Board) refreshLayout() {
	cfg := b.fleet.Latest().Configuration
	live := b.liveWorkers()
	if cfg.Version == b.version && sameHosts(live, b.live) {
		return
	}
	b.version, b.live = cfg.Version, live
	pools := placement.SelectorPools(cfg)
	poolOf := func(id inventory.HostID) (inventory.PoolID, bool) {
		p, ok := pools[id]
		return p, ok
	}
	b.scheduler.SetLayout(placement.NewLayout(cfg, b.dataCentre, poolOf, func(id inventory.HostID) bool { return live[id] }))
}

func (b *Board) liveWorkers() map[inventory.HostID]bool {
	live := make(map[inventory.HostID]bool)
	for _, h := range b.hosts.Latest().Hosts {
		if h.Role == inventory.RoleWorker && h.State == inventory.HostLive && h.DataCentre == b.dataCentre {
			live[h.ID] = true
		}
	}
	return live
}

func sameHosts(a, b map[inventory.HostID]bool) bool {
	if len(a) != len(b) {
		return false
	}
	for id := range a {
		if !b[id] {
			return false
		}
	}
	return true
}

// await waits until the record was read back and returns its verdict.
func (b *Board) await(ctx context.Context, id journal.RecordID) (journal.Verdict, error) {
	for {
		p, changed := b.out.Watch()
		for _, v := range p.Recent {
			if v.ID == id && v.Outcome != journal.Duplicate {
				return v, nil
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return journal.Verdict{}, ctx.Err()
		}
	}
}
