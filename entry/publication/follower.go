// Package publication keeps every entry host's configuration up to date with what operators
// publish.
package publication

import (
	"context"
	"errors"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/singleflight"

	"github.com/godwitcross/godwitcross/entry/clock"
	"github.com/godwitcross/godwitcross/entry/store"
	"github.com/godwitcross/godwitcross/fleet/queue"
)

const (
	// readWait is how long a read waits for a publication. It also bounds how long an
	// unresponsive connection goes unnoticed: with a read that fails and one through a peer, well
	// within the 3 s after which a version has to be in force.
	readWait = 500 * time.Millisecond
	// retryDelay is the delay after a failed read.
	retryDelay = 100 * time.Millisecond
	// maxStaleness is how long after a check a configuration still counts as the newest.
	maxStaleness = 200 * time.Millisecond
	// checkTimeout bounds a check for a newer configuration. With a longer wait, a request could be
	// answered by a newer version than requests that arrived after it.
	checkTimeout = 200 * time.Millisecond
	// maxAge is how old a confirmed configuration gets before a request has it checked. Without disruptions
	// reads confirm it every readWait. A host that was frozen hasn't read meanwhile.
	maxAge = 1500 * time.Millisecond
	// earlierRecords is how many publications before an invalid one a host that starts reads first. It reads twice as
	// many each time, until it finds a good one.
	earlierRecords = 16
	// checkRetryDelay is the delay after a failed check before a request with a known queue and key has
	// the configuration checked again. All requests would wait for checks while the store is unavailable.
	checkRetryDelay = 500 * time.Millisecond
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

	// checks has the requests that need a check at the same time share one.
	checks singleflight.Group

	mu sync.Mutex
	// The fields below are guarded by mu. nextOffset is where to read on, checkedAt is
	// when current was last known to be the newest, failedAt when the last check failed, and loaded
	// is set after the first read.
	nextOffset int64
	checkedAt  time.Time
	failedAt   time.Time
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

// Age returns how long ago the current configuration was last known to be the newest.
func (f *Follower) Age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.loaded {
		return math.MaxInt64
	}
	return now.Sub(f.checkedAt)
}

// EnsureFresh returns the current configuration and whether it is known to be the newest. It
// has the store read to the end of the publications if the last check is older than
// maxStaleness.
func (f *Follower) EnsureFresh(ctx context.Context) (*queue.Configuration, bool) {
	return f.ensureAge(ctx, maxStaleness)
}

// EnsureRecent returns the current configuration. It first has it checked if it was last confirmed earlier than
// maxAge ago, as on a host that was frozen, unless a check has just failed.
func (f *Follower) EnsureRecent(ctx context.Context) *queue.Configuration {
	now := f.cfg.Now()
	f.mu.Lock()
	hasJustFailed := now.Sub(f.failedAt) < checkRetryDelay
	f.mu.Unlock()
	if hasJustFailed {
		return f.Current()
	}
	c, _ := f.ensureAge(ctx, maxAge)
	return c
}

// ensureAge returns the current configuration and whether it was confirmed at most maxAge ago. If it wasn't, it waits
// for a check, which it shares with other requests.
func (f *Follower) ensureAge(ctx context.Context, maxAge time.Duration) (*queue.Configuration, bool) {
	for try := 0; f.Age(f.cfg.Now()) > maxAge; try++ {
		result := f.checks.DoChan("", func() (any, error) { return nil, f.check() })
		select {
		case r := <-result:
			// A check that began before the request may have failed because the process was frozen.
			if r.Err != nil && (!r.Shared || try > 0) {
				return f.Current(), false
			}
		case <-ctx.Done():
			return f.Current(), false
		}
	}
	return f.Current(), true
}

// check reads the store to the end of the publications, unless another check has just done so.
func (f *Follower) check() error {
	if f.Age(f.cfg.Now()) <= maxStaleness {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	for reachesEnd := false; !reachesEnd; {
		var err error
		if reachesEnd, err = f.read(ctx, 0); err != nil {
			f.cfg.Log.WithField("Error", err.Error()).Info("checking for a newer configuration failed")
			f.mu.Lock()
			f.failedAt = f.cfg.Now()
			f.mu.Unlock()
			return err
		}
	}
	return nil
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
		page, err = store.ReadNewest(ctx, f.cfg.Store, store.Operator, nil)
		reachesEnd = true
	}
	if err != nil {
		return false, err
	}
	skipped := int64(0)
	for _, r := range page.Records {
		if !f.apply(r) {
			skipped = max(skipped, r.Offset)
		}
	}
	if f.Current() == nil && skipped > 0 {
		if err := f.readEarlier(ctx, skipped); err != nil {
			return false, err
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextOffset = max(f.nextOffset, page.Next)
	f.loaded = true
	if at := askedAt.Add(page.Waited); reachesEnd && at.After(f.checkedAt) {
		f.checkedAt = at
	}
	return reachesEnd, nil
}

// readEarlier adopts the last good configuration before an offset, as far as the store keeps the publications. The newest
// one is invalid, and a host that has just started has no other.
func (f *Follower) readEarlier(ctx context.Context, before int64) error {
	// All publications from before on have been read, and those before kept aren't in the store.
	kept, count := int64(0), int64(earlierRecords)
	for f.Current() == nil && before > kept {
		first := max(kept, before-count)
		err := f.readRange(ctx, first, before)
		switch {
		case err == nil:
			before = first
			count *= 2
		case errors.Is(err, store.ErrTrimmed):
			kept = first + 1
			count = max(1, (before-kept)/2)
		default:
			return err
		}
	}
	return nil
}

// readRange applies the publications of a range of offsets.
func (f *Follower) readRange(ctx context.Context, from, to int64) error {
	for from < to {
		page, err := f.cfg.Store.Read(ctx, store.Operator, from, 0)
		if err != nil {
			return err
		}
		for _, r := range page.Records {
			f.apply(r)
		}
		if page.Next <= from {
			return nil
		}
		from = page.Next
	}
	return nil
}

// apply adopts the configuration of a record, if it has one. It returns false if the record can't be decoded.
func (f *Follower) apply(r store.Record) bool {
	log := f.cfg.Log.WithFields(logrus.Fields{"Key": r.Key, "Offset": r.Offset})
	c, err := f.cfg.Decode(r)
	if err != nil {
		log.WithField("Error", err.Error()).Warn("publication skipped")
		return false
	}
	if c != nil {
		f.Adopt(c)
	}
	return true
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
