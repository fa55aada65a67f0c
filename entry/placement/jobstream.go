// Package placement runs the jobs of a data centre. It follows the data centre's job
// stream and answers operators' requests about jobs. On the entry host that holds the
// duty it also places jobs on workers and monitors their tasks.
package placement

import (
	"context"
	"maps"
	"time"

	"github.com/godwitcross/godwitcross/entry/follower"
	"github.com/godwitcross/godwitcross/entry/platform"
	"github.com/godwitcross/godwitcross/entry/view"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/placement"
	"github.com/godwitcross/godwitcross/fleet/pool"
	"github.com/godwitcross/godwitcross/fleet/state"
)

// batchQueueSize is the capacity of the queue of batches; a full queue blocks the reader.
const batchQueueSize = 16

// layoutInterval is the time between two checks of the fleet and the host list for changes.
const layoutInterval = 200 * time.Millisecond

// JobStream holds the state of the job stream and the scheduler that plans its jobs.
type JobStream struct {
	*follower.Stream[*state.Jobs]
	dataCentre inventory.DataCentreID
	fleet      *view.Value[follower.State]
	hosts      *view.Value[inventory.HostList]
	// scheduler plans the jobs of the state. A restored snapshot replaces the jobs, so
	// the scheduler is then created anew, without a layout.
	scheduler *placement.Scheduler
	// version, pools and live are the inputs of the scheduler's current layout.
	version configuration.Version
	pools   *pool.View
	live    map[inventory.HostID]bool
	// listVersion is the version of the host list that live was computed from; 0 if the
	// platform reports no version.
	listVersion int64
}

// newJobStream returns a job stream that applies the batches received from in.
func newJobStream(cfg Config, stream journal.StreamID, in <-chan platform.Batch) *JobStream {
	jobs := state.NewJobs()
	j := &JobStream{dataCentre: cfg.DataCentre, fleet: cfg.Fleet, hosts: cfg.Hosts, scheduler: placement.NewScheduler(jobs.Placement)}
	j.Stream = follower.NewStream(follower.StreamConfig[*state.Jobs]{
		Log: cfg.Log, Stream: stream, State: jobs, In: in, Every: layoutInterval, Tick: j.refreshLayout,
		Restored: func() { j.scheduler, j.pools, j.live = placement.NewScheduler(jobs.Placement), nil, nil },
	})
	return j
}

// Do runs a function on the stream's goroutine and waits until it returns.
func (j *JobStream) Do(ctx context.Context, call func(*placement.Reducer, *placement.Scheduler)) error {
	return j.Stream.Do(ctx, func(s *state.Jobs) { call(s.Placement, j.scheduler) })
}

// refreshLayout sets a new layout of the scheduler if the fleet has changed.
func (j *JobStream) refreshLayout() {
	st := j.fleet.Latest()
	if st.Pools == nil {
		return
	}
	list := j.hosts.Latest()
	sameFleet := st.Configuration.Version == j.version && st.Pools == j.pools
	if sameFleet && list.Version != 0 && list.Version == j.listVersion {
		return
	}
	j.listVersion = list.Version
	live := j.liveWorkers(st.Pools, list)
	if sameFleet && maps.Equal(live, j.live) {
		return
	}
	j.version, j.pools, j.live = st.Configuration.Version, st.Pools, live
	poolOf := func(id inventory.HostID) (inventory.PoolID, bool) {
		h, ok := st.Pools.Hosts[id]
		if !ok {
			return "", false
		}
		return h.Pool, true
	}
	j.scheduler.SetLayout(placement.NewLayout(st.Configuration, j.dataCentre, poolOf, func(id inventory.HostID) bool { return live[id] }))
}

// liveWorkers returns the workers of the data centre that are live and in service.
func (j *JobStream) liveWorkers(pools *pool.View, list inventory.HostList) map[inventory.HostID]bool {
	live := make(map[inventory.HostID]bool)
	for _, h := range list.Hosts {
		isHere := h.Role == inventory.RoleWorker && h.DataCentre == j.dataCentre
		host, known := pools.Hosts[h.ID]
		if isHere && known && h.State == inventory.HostLive && host.Phase == pool.InService {
			live[h.ID] = true
		}
	}
	return live
}
