// Package queue is the published configuration of queues and pools, and the
// match of a request to its queue.
package queue

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Advice describes a queue whose steps may run on some workers only, which an
// adviser knows.
type Advice struct {
	// CallTime is the adviser's time for one call.
	CallTime time.Duration
	// TimePerWorker is its further time for each worker that the call names.
	TimePerWorker time.Duration
	// TicketLifetime is how long a ticket lasts.
	TicketLifetime time.Duration
}

// Queue is where callers submit jobs.
type Queue struct {
	Name string
	// Host and Prefix select the queue: the longest prefix of the path wins.
	Host, Prefix string
	// Pool runs the tasks.
	Pool string
	// Priority 0 comes first.
	Priority int
	// MaxAttempts is how many runs of a task may end as failed; at least 1.
	MaxAttempts int
	// Stretch times the chain of work, and TargetLatency more, is the objective.
	Stretch       float64
	TargetLatency time.Duration
	// Advice is nil for a queue whose steps may run on all workers of the pool.
	Advice *Advice
}

// Pool is a set of hosts that runs the tasks of some queues.
type Pool struct {
	Name string
	// Guarded pools' workers reject what does not fit.
	Guarded bool
	// Spare pools' hosts are off and are not paid for.
	Spare bool
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Configuration is one published version. It never changes once it is built.
type Configuration struct {
	// Version rises with each publication, in uneven steps.
	Version int64
	// Queues are ordered by host, then by falling length of the prefix.
	Queues []Queue
	Pools  []Pool
	Limits Limits
	byName map[string]int
	byHost map[string][]int
	pools  map[string]int
	// last is, for each pool, the priority of the queue that comes last.
	last map[string]int
}

// New returns a configuration with its indexes built.
func New(version int64, queues []Queue, pools []Pool, limits Limits) *Configuration {
	c := &Configuration{Version: version, Queues: slices.Clone(queues), Pools: slices.Clone(pools), Limits: limits}
	slices.SortStableFunc(c.Queues, func(a, b Queue) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(len(b.Prefix), len(a.Prefix)))
	})
	c.byName = make(map[string]int, len(c.Queues))
	c.byHost = make(map[string][]int)
	c.last = make(map[string]int)
	for i, q := range c.Queues {
		c.byName[q.Name] = i
		c.last[q.Pool] = max(c.last[q.Pool], q.Priority)
		c.byHost[q.Host] = append(c.byHost[q.Host], i)
	}
	c.pools = make(map[string]int, len(c.Pools))
	for i, p := range c.Pools {
		c.pools[p.Name] = i
	}
	return c
}

// Match returns the queue of a request and the rest of its path.
func (c *Configuration) Match(host, path string) (Queue, string, bool) {
	for _, i := range c.byHost[strings.ToLower(host)] {
		if rest, ok := strings.CutPrefix(path, c.Queues[i].Prefix); ok {
			return c.Queues[i], rest, true
		}
	}
	return Queue{}, "", false
}

// Queue returns the queue of the name.
func (c *Configuration) Queue(name string) (Queue, bool) {
	i, ok := c.byName[name]
	if !ok {
		return Queue{}, false
	}
	return c.Queues[i], true
}

// LastPriority returns the priority of the pool's queue that comes last.
func (c *Configuration) LastPriority(pool string) int {
	return c.last[pool]
}

// Pool returns the pool of the name.
func (c *Configuration) Pool(name string) (Pool, bool) {
	i, ok := c.pools[name]
	if !ok {
		return Pool{}, false
	}
	return c.Pools[i], true
}
