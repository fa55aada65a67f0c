package whole

import (
	"context"
	"sync"
	"time"

	"github.com/godwitcross/godwitcross/ctl/client"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/operation"
	"github.com/godwitcross/godwitcross/fleet/pool"
	"github.com/godwitcross/godwitcross/standin/deployment"
	"github.com/godwitcross/godwitcross/standin/platform"
)

// observeEvery is the time between two looks.
const observeEvery = 100 * time.Millisecond

// Observer looks at the entry hosts and at the platform while a run goes on.
type Observer struct {
	d       *deployment.Deployment
	pool    inventory.PoolID
	members map[inventory.HostID]bool
	allowed int
	mu      sync.Mutex
	// stopped are hosts that are not asked any more.
	stopped map[inventory.EntryID]bool
	// clients has one for each host that was asked.
	clients  map[inventory.EntryID]*client.Client
	versions []VersionSample
	pools    []PoolSample
	// ownership holds the breaks only; hostLooks counts all looks at hosts.
	ownership []OwnershipSample
	hostLooks int
}

// NewObserver returns an observer that watches the budget of one pool.
func NewObserver(d *deployment.Deployment, pool inventory.PoolID) *Observer {
	sample := deployment.Sample()
	o := &Observer{d: d, pool: pool, members: make(map[inventory.HostID]bool), stopped: make(map[inventory.EntryID]bool), clients: make(map[inventory.EntryID]*client.Client)}
	for id := range sample.Hosts {
		o.members[id] = sample.PoolOf(id) == pool
	}
	size := 0
	for _, in := range o.members {
		if in {
			size++
		}
	}
	o.allowed = max(1, int(sample.Pools[pool].Budget.MaxUnavailable.Of(int64(size))))
	return o
}

// Forget stops asking a host that is stopped or killed.
func (o *Observer) Forget(id inventory.EntryID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stopped[id] = true
}

// Run looks until the context ends.
func (o *Observer) Run(ctx context.Context, entries func() []*deployment.Entry) {
	for ctx.Err() == nil {
		o.look(entries())
		time.Sleep(observeEvery)
	}
}

func (o *Observer) look(entries []*deployment.Entry) {
	unavailable := 0
	for _, w := range o.d.Platform.Fleet.Workers(time.Now()) {
		if o.members[w.Facts.ID.Host()] && w.State != platform.Admitted {
			unavailable++
		}
	}
	o.mu.Lock()
	o.pools = append(o.pools, PoolSample{Pool: o.pool, Unavailable: unavailable, Allowed: o.allowed})
	o.mu.Unlock()
	for _, e := range entries {
		o.lookAt(e)
	}
}

func (o *Observer) lookAt(e *deployment.Entry) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopped[e.Settings.Name] {
		return
	}
	var s operation.Status
	c, ok := o.clients[e.Settings.Name]
	if !ok {
		c = client.New(e.Settings.OperatorAddress, "")
		o.clients[e.Settings.Name] = c
	}
	if err := c.Get("/status", &s); err != nil {
		return
	}
	o.versions = append(o.versions, VersionSample{Entry: s.Name, Version: s.Version})
	var hosts []pool.HostStatus
	if err := c.Get("/hosts", &hosts); err == nil {
		o.lookAtHosts(s.Name, hosts)
	}
}

// lookAtHosts notes every host that is not in exactly one pool, and how many
// hosts were looked at.
func (o *Observer) lookAtHosts(entry inventory.EntryID, hosts []pool.HostStatus) {
	pools := make(map[inventory.HostID]int, len(o.members))
	for _, h := range hosts {
		if h.Pool != "" {
			pools[h.ID]++
		}
	}
	for id := range o.members {
		o.hostLooks++
		if n := pools[id]; n != 1 {
			o.ownership = append(o.ownership, OwnershipSample{Entry: entry, Host: id, Pools: n})
		}
	}
}

// Versions returns what was seen of versions. Those of hosts that were stopped
// end where they were stopped and are left out.
func (o *Observer) Versions() []VersionSample {
	o.mu.Lock()
	defer o.mu.Unlock()
	var live []VersionSample
	for _, v := range o.versions {
		if !o.stopped[v.Entry] {
			live = append(live, v)
		}
	}
	return live
}

// Fill adds everything that was seen to an observation.
func (o *Observer) Fill(to *Observation) {
	to.Versions = o.Versions()
	o.mu.Lock()
	defer o.mu.Unlock()
	to.Pools, to.Ownership, to.HostLooks = o.pools, o.ownership, o.hostLooks
	to.Reboots = make(map[inventory.HostID]int)
	for _, w := range o.d.Platform.Fleet.Workers(time.Now()) {
		if o.members[w.Facts.ID.Host()] {
			to.Reboots[w.Facts.ID.Host()] = w.Reboots
		}
	}
}
