package placement

import (
	"context"
	"time"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/placement"
	"github.com/godwitcross/godwitcross/fleet/pool"
)

// evacuate checkpoints jobs that hold up the drain of their host, so that they
// go on elsewhere. Short jobs end by themselves before.
func (f *filler) evacuate(ctx context.Context, now time.Time) error {
	hosts := f.draining(now)
	if len(hosts) == 0 {
		return nil
	}
	var jobs []placement.Job
	err := f.board.Do(ctx, func(r *placement.Reducer, _ *placement.Scheduler) {
		for _, h := range hosts {
			jobs = append(jobs, r.StartedOn(h.Worker())...)
		}
	})
	if err != nil || len(jobs) == 0 {
		return err
	}
	return f.commandAll(ctx, now, jobs[:min(len(jobs), maxLooks)], func(placement.Job) placement.Verb { return placement.VerbCheckpoint })
}

// draining returns the hosts of the data centre whose drain is due.
func (f *filler) draining(now time.Time) []inventory.HostID {
	pools := f.cfg.Fleet.Latest().Pools
	if pools == nil {
		return nil
	}
	var due []inventory.HostID
	for id := range pools.Active {
		h := pools.Hosts[id]
		if h.Phase == pool.Draining && h.DataCentre == f.cfg.DataCentre && now.Sub(h.GrantedAt) >= evacuateAfter {
			due = append(due, id)
		}
	}
	return due
}
