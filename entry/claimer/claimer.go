// Package claimer claims idempotency keys in the platform's log. Claims of one service are
// batched into groups, one record each.
package claimer

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/godwitcross/godwitcross/entry/platform"
	"github.com/godwitcross/godwitcross/fleet/claim"
	"github.com/godwitcross/godwitcross/fleet/dispatch"
	"github.com/godwitcross/godwitcross/fleet/inventory"
)

const (
	// maxQueuedEvents bounds the event queue of a service's follower. A claim that finds
	// the queue full is answered with ClaimUnproven.
	maxQueuedEvents = 1024
	// MaxWait bounds how long a claim waits for its result.
	MaxWait = time.Second
)

// Config has the dependencies of a Claimer.
type Config struct {
	Log  logrus.FieldLogger
	Name inventory.EntryID
	// Records is the platform's log.
	Records platform.StreamLog
}

// Claimer claims keys of all services. It follows a service's stream from the first key of
// the service on.
type Claimer struct {
	cfg Config
	mu  sync.Mutex
	// followers has one entry for each service that has had a key; guarded by mu.
	followers map[inventory.ServiceID]*follower
	// newFollowers passes new followers to Run, which starts them.
	newFollowers chan *follower
}

// New returns a claimer that follows no stream yet.
func New(cfg Config) *Claimer {
	return &Claimer{cfg: cfg, followers: make(map[inventory.ServiceID]*follower), newFollowers: make(chan *follower, maxQueuedEvents)}
}

// Name returns the task's name.
func (c *Claimer) Name() string {
	return "claims of keys"
}

// Run follows the streams of all services with keys until the context ends.
func (c *Claimer) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for {
		select {
		case f := <-c.newFollowers:
			g.Go(func() error { return f.run(ctx) })
		case <-ctx.Done():
			return g.Wait()
		}
	}
}

// Claim claims the key. It returns once the order of the log determines the result, or with
// ClaimUnproven as soon as the result can't be known in time.
func (c *Claimer) Claim(ctx context.Context, s inventory.ServiceID, k claim.Digest) Grant {
	ctx, cancel := context.WithTimeout(ctx, MaxWait)
	defer cancel()
	f := c.follower(s)
	pending := &pendingClaim{key: k, reply: make(chan Grant, 1)}
	select {
	case f.events <- pending:
	default:
		return Grant{Result: dispatch.ClaimUnproven}
	}
	select {
	case g := <-pending.reply:
		return g
	case <-ctx.Done():
	}
	select {
	case f.events <- abandonment{pending}:
	default:
		c.cfg.Log.WithField("Service", s).Warn("abandoned claim not released: queue is full")
	}
	return Grant{Result: dispatch.ClaimUnproven}
}

// Release releases a granted claim. If the release is lost, the key stays claimed and a
// repeated request is answered with an unknown outcome.
func (c *Claimer) Release(s inventory.ServiceID, k claim.Digest, g Grant) {
	select {
	case c.follower(s).events <- release{claim.Release{Key: k, Record: g.Record}}:
	default:
		c.cfg.Log.WithField("Service", s).Warn("key not released: queue is full")
	}
}

func (c *Claimer) follower(s inventory.ServiceID) *follower {
	c.mu.Lock()
	defer c.mu.Unlock()
	f, ok := c.followers[s]
	if !ok {
		f = newFollower(c.cfg, s)
		c.followers[s] = f
		c.newFollowers <- f
	}
	return f
}
