// Package publication keeps every entry host's configuration up to date with what operators
// publish.
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
	// readWait is how long a read waits for a publication. It also bounds how long an
	// unresponsive connection goes unnoticed.
	readWait = 1500 * time.Millisecond
	// retryDelay is the delay after a failed read.
	retryDelay = 100 * time.Millisecond
	// maxStaleness is how long after a check a configuration still counts as the newest.
	maxStaleness = 200 * time.Millisecond
)

// Decoder decodes an operators' record. It returns nil for a record of another kind.
type Decoder func(r store.Record) (*queue.Configuration, error)

// Config configures a Follower.
type Config struct {
	Store  store.Store
	Decode Decoder
	Log    logrus.FieldLogger
	Now    func() time.Time
	// OnConfiguration is called with each newer configuration, unless it is nil.
	OnConfiguration func(c *queue.Configuration)
}

// Follower holds the newest configuration that this host has read.
type Follower struct {
	cfg Config
	// current never returns to a lower version.
	current atomic.Pointer[queue.Configuration]

	mu sync.Mutex
	// The fields below are guarded by mu. nextOffset is where to read on, checkedAt is
	// when current was last known to be the newest, and loaded is set after the first read.
	nextOffset int64
	checkedAt  time.Time
	loaded     bool
}

// NewFollower returns a follower without a configuration.
func NewFollower(cfg Config) *Follower {
	return &Follower{cfg: cfg}
}

// Current returns the newest configuration, or nil before the first.
func (f *Follower) Current() *queue.Configuration {
	return f.current.Load()
}

// Run reads publications until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if _, err := f.read(ctx, readWait); err != nil {
			f.cfg.Log.WithField("Error", err.Error()).Debug("reading publications failed")
			clock.Sleep(ctx, retryDelay)
		}
	}
}

// EnsureFresh returns the current configuration and whether it is known to be the newest. It
// reads the store to the end of the publications if the last check is older than
// maxStaleness.
func (f *Follower) EnsureFresh(ctx context.Context) (*queue.Configuration, bool) {
	f.mu.Lock()
	isFresh := f.loaded && f.cfg.Now().Sub(f.checkedAt) <= maxStaleness
	f.mu.Unlock()
	if isFresh {
		return f.Current(), true
	}
	for reachesEnd := false; !reachesEnd; {
		var err error
		if reachesEnd, err = f.read(ctx, 0); err != nil {
			f.cfg.Log.WithField("Error", err.Error()).Info("checking for a newer configuration failed")
			return f.Current(), false
		}
	}
	return f.Current(), true
}

// read reads and applies the next publications, and reports whether there were no more. It
// starts over from the newest records on the first call and if the next ones were trimmed.
func (f *Follower) read(ctx context.Context, wait time.Duration) (bool, error) {
	f.mu.Lock()
	next, loaded := f.nextOffset, f.loaded
	f.mu.Unlock()
	var page store.Page
	var err error
	askedAt := f.cfg.Now()
	if loaded {
		page, err = f.cfg.Store.Read(ctx, store.Operator, next, wait)
	}
	reachesEnd := page.ReachesEnd()
	if !loaded || errors.Is(err, store.ErrTrimmed) {
		page, err = f.cfg.Store.Newest(ctx, store.Operator)
		reachesEnd = true
	}
	if err != nil {
		return false, err
	}
	for _, r := range page.Records {
		f.apply(r)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextOffset = max(f.nextOffset, page.Next)
	f.loaded = true
	if reachesEnd && (wait == 0 || len(page.Records) > 0 || f.checkedAt.Before(askedAt)) {
		f.checkedAt = askedAt
	}
	return reachesEnd, nil
}

// apply adopts the configuration of a record, if it has one.
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

// Adopt makes a configuration current unless the current one is as new or newer. The
// scheduler passes on the configurations that it reads, so that no part of a host uses an
// older version than another.
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
		if f.cfg.OnConfiguration != nil {
			f.cfg.OnConfiguration(c)
		}
		return
	}
}
