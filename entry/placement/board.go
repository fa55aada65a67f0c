// Package placement runs the jobs of a data centre: it follows the data
// centre's job stream, answers operators' questions about jobs, and, on the
// host that holds the duty, fills the workers and watches their tasks.
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

// batchQueue is how many batches wait; a full queue holds the reader back.
const batchQueue = 16

// layoutEvery is the time between two looks at the fleet and the host list.
const layoutEvery = 200 * time.Millisecond

// Board owns the state of the job stream and its scheduler.
type Board struct {
	*follower.Stream[*state.Jobs]
	dataCentre inventory.DataCentreID
	fleet      *view.Box[follower.State]
	hosts      *view.Box[inventory.HostList]
	// scheduler plans the jobs of the state. It is made anew, with no layout yet,
	// when a snapshot has replaced them.
	scheduler *placement.Scheduler
	// version, pools and live are what the scheduler's layout was made from.
	version configuration.Version
	pools   *pool.View
	live    map[inventory.HostID]bool
	// listed is the version of the host list that live was made from; 0 if the
	// platform tells none.
	listed int64
}

// newBoard returns a board that folds the batches of in.
func newBoard(cfg Config, stream journal.StreamID, in <-chan platform.Batch) *Board {
	jobs := state.NewJobs()
	b := &Board{dataCentre: cfg.DataCentre, fleet: cfg.Fleet, hosts: cfg.Hosts, scheduler: placement.NewScheduler(jobs.Placement)}
	b.Stream = follower.NewStream(follower.StreamConfig[*state.Jobs]{
		Log: cfg.Log, Stream: stream, State: jobs, In: in, Every: layoutEvery, Tick: b.refreshLayout,
		Restored: func() { b.scheduler, b.pools, b.live = placement.NewScheduler(jobs.Placement), nil, nil },
	})
	return b
}

// Do runs a function on the board's task and waits for its end.
func (b *Board) Do(ctx context.Context, ask func(*placement.Reducer, *placement.Scheduler)) error {
	return b.Stream.Do(ctx, func(s *state.Jobs) { ask(s.Placement, b.scheduler) })
}

// refreshLayout gives the scheduler a new layout if the fleet has changed.
func (b *Board) refreshLayout() {
	st := b.fleet.Latest()
	if st.Pools == nil {
		return
	}
	list := b.hosts.Latest()
	sameFleet := st.Configuration.Version == b.version && st.Pools == b.pools
	if sameFleet && list.Version != 0 && list.Version == b.listed {
		return
	}
	b.listed = list.Version
	live := b.liveWorkers(st.Pools, list)
	if sameFleet && maps.Equal(live, b.live) {
		return
	}
	b.version, b.pools, b.live = st.Configuration.Version, st.Pools, live
	poolOf := func(id inventory.HostID) (inventory.PoolID, bool) {
		h, ok := st.Pools.Hosts[id]
		if !ok {
			return "", false
		}
		return h.Pool, true
	}
	b.scheduler.SetLayout(placement.NewLayout(st.Configuration, b.dataCentre, poolOf, func(id inventory.HostID) bool { return live[id] }))
}

// liveWorkers returns the hosts of the data centre that are live and in service.
func (b *Board) liveWorkers(pools *pool.View, list inventory.HostList) map[inventory.HostID]bool {
	live := make(map[inventory.HostID]bool)
	for _, h := range list.Hosts {
		isHere := h.Role == inventory.RoleWorker && h.DataCentre == b.dataCentre
		folded, known := pools.Hosts[h.ID]
		if isHere && known && h.State == inventory.HostLive && folded.Phase == pool.InService {
			live[h.ID] = true
		}
	}
	return live
}
