// Package publication follows what operators publish, on every entry host.
package publication

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/godwitcross/godwitcross/entry/clock"
	"github.com/godwitcross/godwitcross/entry/store"
	"github.com/godwitcross/godwitcross/fleet/queue"
)

const (
	// readWait is how long a read waits for a publication, and so the age up to which
	// a connection that went silent goes unnoticed.
	readWait = 1500 * time.Millisecond
	// retryPause follows a read that failed.
	retryPause = 100 * time.Millisecond
	// maxStaleness is the age up to which a configuration is taken as the newest.
	maxStaleness = 200 * time.Millisecond
)

// Decoder reads an operators' record; nil is a record of something else.
type Decoder func(r store.Record) (*queue.Configuration, error)

// Config is what a follower is built from.
type Config struct {
	Store  store.Store
	Decode Decoder
	Log    logrus.FieldLogger
	Now    func() time.Time
	// Published is told of each newer configuration, or nil.
	Published func(c *queue.Configuration)
}

// Follower holds the newest configuration that this host has seen.
type Follower struct {
	cfg Config
	// current never goes back to a lower version.
	current atomic.Pointer[queue.Configuration]

	mu sync.Mutex
	// next and checkedAt are guarded by mu: where to read on, and when nothing newer
	// was there.
	next      int64
	checkedAt time.Time
	loaded    bool
}

// NewFollower returns a follower that knows no configuration yet.
func NewFollower(cfg Config) *Follower {
	return &Follower{cfg: cfg}
}

// Current returns the newest configuration, or nil before the first.
func (f *Follower) Current() *queue.Configuration {
	return f.current.Load()
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.read(ctx, readWait); err != nil {
			f.cfg.Log.WithField("Error", err.Error()).Debug("publications not read")
			clock.Pause(ctx, retryPause)
		}
	}
}

// Fresh returns the newest configuration, after looking at the store if what is
// known isn't proved to be the newest. It reports false where that failed.
func (f *Follower) Fresh(ctx context.Context) (*queue.Configuration, bool) {
	f.mu.Lock()
	isFresh := f.loaded && f.cfg.Now().Sub(f.checkedAt) <= maxStaleness
	f.mu.Unlock()
	if isFresh {
		return f.Current(), true
	}
	if err := f.read(ctx, 0); err != nil {
		f.cfg.Log.WithField("Error", err.Error()).Info("configuration not proved to be the newest")
		return f.Current(), false
	}
	return f.Current(), true
}

// read takes the next publications into account.
func (f *Follower) read(ctx context.Context, wait time.Duration) error {
	f.mu.Lock()
	next, loaded := f.next, f.loaded
	f.mu.Unlock()
	var page store.Page
	var err error
	askedAt := f.cfg.Now()
	if loaded {
		page, err = f.cfg.Store.Read(ctx, store.Operator, next, wait)
	}
	if !loaded || errors.Is(err, store.ErrTrimmed) {
		page, err = f.cfg.Store.Newest(ctx, store.Operator)
	}
	if err != nil {
		return err
	}
	for _, r := range page.Records {
		f.apply(r)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next = max(f.next, page.Next)
	f.loaded = true
	if wait == 0 || len(page.Records) > 0 || f.checkedAt.Before(askedAt) {
		f.checkedAt = askedAt
	}
	return nil
}

func (f *Follower) apply(r store.Record) {
	log := f.cfg.Log.WithFields(logrus.Fields{"Key": r.Key, "Offset": r.Offset})
	c, err := f.cfg.Decode(r)
	if err != nil {
		log.WithField("Error", err.Error()).Warn("publication skipped")
		return
	}
	if c != nil {
		f.Adopt(c)
	}
}

// Adopt takes a configuration into force unless a newer one is. All parts of a host
// hand on what they read, so that none acts by an older version than another.
func (f *Follower) Adopt(c *queue.Configuration) {
	for {
		old := f.current.Load()
		if old != nil && old.Version >= c.Version {
			return
		}
		if !f.current.CompareAndSwap(old, c) {
			continue
		}
		from := int64(0)
		if old != nil {
			from = old.Version
		}
		f.cfg.Log.WithFields(logrus.Fields{"Version": c.Version, "From": from, "Queues": len(c.Queues), "Pools": len(c.Pools)}).Info("configuration in force")
		if f.cfg.Published != nil {
			f.cfg.Published(c)
		}
		return
	}
}
