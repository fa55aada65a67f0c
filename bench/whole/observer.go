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

// observeInterval is the time between two observations.
const observeInterval = 100 * time.Millisecond

// Observer samples the state of the entry hosts and the platform during a run.
type Observer struct {
	deployment *deployment.Deployment
	pool       inventory.PoolID
	members    map[inventory.HostID]bool
	limit      int
	mu         sync.Mutex
	// excluded are hosts that are no longer queried.
	excluded map[inventory.EntryID]bool
	// clients contains a client for each host that was queried.
	clients  map[inventory.EntryID]*client.Client
	versions []VersionSample
	pools    []PoolSample
	// ownership contains violations only; hostSamples counts all checked hosts.
	ownership   []OwnershipSample
	hostSamples int
}

// NewObserver returns an observer of all entry hosts and of the budget of one pool.
func NewObserver(d *deployment.Deployment, pool inventory.PoolID) *Observer {
	sample := deployment.Sample()
	o := &Observer{deployment: d, pool: pool, members: make(map[inventory.HostID]bool), excluded: make(map[inventory.EntryID]bool), clients: make(map[inventory.EntryID]*client.Client)}
	for id := range sample.Hosts {
		o.members[id] = sample.PoolOf(id) == pool
	}
	size := 0
	for _, in := range o.members {
		if in {
			size++
		}
	}
	o.limit = max(1, int(sample.Pools[pool].Budget.MaxUnavailable.Of(int64(size))))
	return o
}

// Exclude stops querying a host that is being stopped or killed.
func (o *Observer) Exclude(id inventory.EntryID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.excluded[id] = true
}

// Run takes samples until the context ends.
func (o *Observer) Run(ctx context.Context, entries func() []*deployment.Entry) {
	for ctx.Err() == nil {
		o.sample(entries())
		time.Sleep(observeInterval)
	}
}

func (o *Observer) sample(entries []*deployment.Entry) {
	unavailable := 0
	for _, w := range o.deployment.Platform.Fleet.Workers(time.Now()) {
		if o.members[w.Facts.ID.Host()] && w.State != platform.Admitted {
			unavailable++
		}
	}
	o.mu.Lock()
	o.pools = append(o.pools, PoolSample{Pool: o.pool, Unavailable: unavailable, Limit: o.limit})
	o.mu.Unlock()
	for _, e := range entries {
		o.sampleEntry(e)
	}
}

func (o *Observer) sampleEntry(e *deployment.Entry) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.excluded[e.Settings.Name] {
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
		o.sampleHosts(s.Name, hosts)
	}
}

// sampleHosts records every host that is not in exactly one pool, and counts the
// checked hosts.
func (o *Observer) sampleHosts(entry inventory.EntryID, hosts []pool.HostStatus) {
	pools := make(map[inventory.HostID]int, len(o.members))
	for _, h := range hosts {
		if h.Pool != "" {
			pools[h.ID]++
		}
	}
	for id := range o.members {
		o.hostSamples++
		if n := pools[id]; n != 1 {
			o.ownership = append(o.ownership, OwnershipSample{Entry: entry, Host: id, Pools: n})
		}
	}
}

// Versions returns the version samples. Excluded hosts are left out, as they do not
// receive later versions.
func (o *Observer) Versions() []VersionSample {
	o.mu.Lock()
	defer o.mu.Unlock()
	var live []VersionSample
	for _, v := range o.versions {
		if !o.excluded[v.Entry] {
			live = append(live, v)
		}
	}
	return live
}

// Fill adds all samples to an observation.
func (o *Observer) Fill(to *Observation) {
	to.Versions = o.Versions()
	o.mu.Lock()
	defer o.mu.Unlock()
	to.Pools, to.Ownership, to.HostSamples = o.pools, o.ownership, o.hostSamples
	to.Reboots = make(map[inventory.HostID]int)
	for _, w := range o.deployment.Platform.Fleet.Workers(time.Now()) {
		if o.members[w.Facts.ID.Host()] {
			to.Reboots[w.Facts.ID.Host()] = w.Reboots
		}
	}
}
