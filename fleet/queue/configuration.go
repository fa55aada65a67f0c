// Package queue holds the published configuration of queues and pools, and selects the
// queue of a request.
package queue

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/godwitcross/godwitcross/fleet/workspace"
)

// Advice describes a queue whose steps may run only on workers that an adviser allows.
type Advice struct {
	// CallTime is how long the adviser takes for a call.
	CallTime time.Duration
	// TimePerWorker is how much longer it takes for each worker that the call names.
	TimePerWorker time.Duration
	// TicketLifetime is how long a ticket is valid.
	TicketLifetime time.Duration
}

// Queue is where callers submit jobs.
type Queue struct {
	Name string
	// Host and Prefix select the queue of a request: of the queues of the host, the one
	// with the longest matching path prefix.
	Host, Prefix string
	// Pool is the pool that runs the queue's tasks.
	Pool string
	// Priority orders the queues of a pool; 0 is the highest.
	Priority int
	// MaxAttempts is how many runs of a task may fail; at least 1.
	MaxAttempts int
	// Stretch and TargetLatency set the objective for a job's response time: Stretch times
	// the duration of its critical path, plus TargetLatency.
	Stretch       float64
	TargetLatency time.Duration
	// Advice is nil if the steps may run on all workers of the pool.
	Advice *Advice
	// Public queues take calls without an API key. Their jobs belong to no workspace.
	Public bool
}

// Pool is a set of hosts that run the tasks of some queues.
type Pool struct {
	Name string
	// AdmissionControl pools have workers with admission control: they reject runs that don't fit.
	AdmissionControl bool
	// Spare pools have hosts that are switched off and cost nothing.
	Spare bool
}

// Limits are the limits of callers' requests and connections.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Configuration is one published version of the configuration. It is immutable.
type Configuration struct {
	// Version rises with each publication, not necessarily by 1.
	Version int64
	// Queues are ordered by host, then by falling length of the prefix.
	Queues []Queue
	Pools  []Pool
	Limits Limits
	// Workspaces is nil if the configuration has none.
	Workspaces *workspace.Directory
	byName     map[string]int
	byHost     map[string][]int
	pools      map[string]int
	// lastPriority holds, for each pool, the largest Priority of its queues.
	lastPriority map[string]int
}

// New returns a configuration with its indexes built.
func New(version int64, queues []Queue, pools []Pool, limits Limits) *Configuration {
	c := &Configuration{Version: version, Queues: slices.Clone(queues), Pools: slices.Clone(pools), Limits: limits}
	slices.SortStableFunc(c.Queues, func(a, b Queue) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(len(b.Prefix), len(a.Prefix)))
	})
	c.byName = make(map[string]int, len(c.Queues))
	c.byHost = make(map[string][]int)
	c.lastPriority = make(map[string]int)
	for i, q := range c.Queues {
		c.byName[q.Name] = i
		c.lastPriority[q.Pool] = max(c.lastPriority[q.Pool], q.Priority)
		c.byHost[q.Host] = append(c.byHost[q.Host], i)
	}
	c.pools = make(map[string]int, len(c.Pools))
	for i, p := range c.Pools {
		c.pools[p.Name] = i
	}
	return c
}

// WithWorkspaces returns a copy of the configuration that has the workspaces.
func (c *Configuration) WithWorkspaces(d *workspace.Directory) *Configuration {
	out := *c
	out.Workspaces = d
	return &out
}

// Match returns the queue of a request and the path after the queue's prefix.
func (c *Configuration) Match(host, path string) (Queue, string, bool) {
	for _, i := range c.byHost[strings.ToLower(host)] {
		if rest, ok := strings.CutPrefix(path, c.Queues[i].Prefix); ok {
			return c.Queues[i], rest, true
		}
	}
	return Queue{}, "", false
}

// Queue returns the queue with the name.
func (c *Configuration) Queue(name string) (Queue, bool) {
	i, ok := c.byName[name]
	if !ok {
		return Queue{}, false
	}
	return c.Queues[i], true
}

// LastPriority returns the largest Priority of the pool's queues, which is the lowest in
// precedence.
func (c *Configuration) LastPriority(pool string) int {
	return c.lastPriority[pool]
}

// Pool returns the pool with the name.
func (c *Configuration) Pool(name string) (Pool, bool) {
	i, ok := c.pools[name]
	if !ok {
		return Pool{}, false
	}
	return c.Pools[i], true
}
