package placement

import (
	"context"
	"time"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/placement"
	"github.com/godwitcross/godwitcross/fleet/pool"
)

// evacuate checkpoints jobs that would delay the drain of their host, so that they
// resume on another host.
func (d *dispatcher) evacuate(ctx context.Context, now time.Time) error {
	ends := d.drainEnds()
	if len(ends) == 0 {
		return nil
	}
	var jobs []placement.Job
	err := d.stream.Do(ctx, func(r *placement.Reducer, _ *placement.Scheduler) {
		for host, end := range ends {
			for _, j := range r.StartedOn(host.Worker()) {
				if outlasts(r, j, end, now) {
					jobs = append(jobs, j)
				}
			}
		}
	})
	if err != nil || len(jobs) == 0 {
		return err
	}
	return d.commandAll(ctx, now, jobs[:min(len(jobs), maxCalls)], func(placement.Job) placement.Verb { return placement.VerbCheckpoint })
}

// outlasts reports whether the job still runs at the end, or is expected to by the
// run time learned for its template.
func outlasts(r *placement.Reducer, j placement.Job, end, now time.Time) bool {
	if !now.Before(end) {
		return true
	}
	expected, known := r.Template(j.Template).RunTime()
	return known && j.StartedAt.Add(expected).After(end)
}

// drainEnds returns, for each draining host of the data centre, the time until which its
// jobs may keep running.
func (d *dispatcher) drainEnds() map[inventory.HostID]time.Time {
	pools := d.cfg.Fleet.Latest().Pools
	if pools == nil {
		return nil
	}
	ends := make(map[inventory.HostID]time.Time)
	for id := range pools.Active {
		h, known := pools.Hosts[id]
		if known && h.Phase == pool.Draining && h.DataCentre == d.cfg.DataCentre {
			ends[id] = h.GrantedAt.Add(evacuateAfter)
		}
	}
	return ends
}
