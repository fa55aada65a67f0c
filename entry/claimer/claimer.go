// Package claimer claims idempotency keys through the platform's log, in groups.
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
	// queueLength is how many messages wait for a service's follower. A full
	// queue answers that the key is unproven.
	queueLength = 1024
	// MaxWait bounds how long one claim waits for its verdict.
	MaxWait = time.Second
)

// Config is what a claimer is built from.
type Config struct {
	Log  logrus.FieldLogger
	Name inventory.EntryID
	// Records is the platform's log.
	Records platform.StreamLog
}

// Claimer claims keys of all services. A service's stream is followed from the
// first key on.
type Claimer struct {
	cfg Config
	mu  sync.Mutex
	// followers has one entry for each service that had a key; guarded by mu.
	followers map[inventory.ServiceID]*follower
	// started hands new followers to Run.
	started chan *follower
}

// New returns a claimer that follows nothing yet.
func New(cfg Config) *Claimer {
	return &Claimer{cfg: cfg, followers: make(map[inventory.ServiceID]*follower), started: make(chan *follower, queueLength)}
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
		case f := <-c.started:
			g.Go(func() error { return f.run(ctx) })
		case <-ctx.Done():
			return g.Wait()
		}
	}
}

// Claim claims the key and returns once the log's order has decided, or as soon
// as it is plain that it can't be told in time.
func (c *Claimer) Claim(ctx context.Context, s inventory.ServiceID, k claim.Digest) Grant {
	ctx, cancel := context.WithTimeout(ctx, MaxWait)
	defer cancel()
	f := c.follower(s)
	a := &ask{key: k, reply: make(chan Grant, 1)}
	select {
	case f.in <- a:
	default:
		return Grant{Verdict: dispatch.ClaimUnproven}
	}
	select {
	case g := <-a.reply:
		return g
	case <-ctx.Done():
	}
	select {
	case f.in <- abandon{a}:
	default:
		c.cfg.Log.WithField("Service", s).Warn("a claim that nobody waits for stays with its key")
	}
	return Grant{Verdict: dispatch.ClaimUnproven}
}

// Release gives a granted claim back. A release that is lost leaves the key
// claimed, so that its repeat is answered with an unknown outcome.
func (c *Claimer) Release(s inventory.ServiceID, k claim.Digest, g Grant) {
	select {
	case c.follower(s).in <- giveBack{claim.Release{Key: k, Record: g.Record}}:
	default:
		c.cfg.Log.WithField("Service", s).Warn("release of a key was dropped")
	}
}

func (c *Claimer) follower(s inventory.ServiceID) *follower {
	c.mu.Lock()
	defer c.mu.Unlock()
	f, ok := c.followers[s]
	if !ok {
		f = newFollower(c.cfg, s)
		c.followers[s] = f
		c.started <- f
	}
	return f
}
