package election

import (
	"context"
	"encoding/json"
	"errors"
	"hash/fnv"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/godwitcross/godwitcross/entry/clock"
	"github.com/godwitcross/godwitcross/entry/relay"
	"github.com/godwitcross/godwitcross/entry/store"
)

const (
	// HeartbeatInterval is how often the owner gives a sign of life.
	HeartbeatInterval = 500 * time.Millisecond
	// baseElectionTimeout is how long an owner may give no sign before another host claims:
	// three signs, of which one may be slow.
	baseElectionTimeout = 1500 * time.Millisecond
	// maxJitter bounds by how much hosts differ in election timeout, so that few claim at once.
	maxJitter = 300 * time.Millisecond
	// readWait is how long a read of the owner's stream waits.
	readWait = time.Second
	// retryPause follows a call to the store that failed.
	retryPause = 150 * time.Millisecond
	// stepDownBackoff is how long a host that gave ownership up does not claim again.
	stepDownBackoff = 4 * time.Second
	// firstElectionDelay is how much longer a host without any share of a core waits for the
	// first claim; all hosts start within 300 ms.
	firstElectionDelay = 2 * time.Second
	// strongerPeerDelay is how much longer a host waits if a stronger one is there.
	strongerPeerDelay = 400 * time.Millisecond
	// strongerFactor is the factor in the share of a core that makes a host a stronger one.
	strongerFactor = 1.3
	// maxRestarts is how often in a row a host succeeds its own former process at once. A
	// day has one to three kills; more speak of a host that can't carry the ownership.
	maxRestarts = 3
	// firstElectionTimeout is the pause of the first start, when there has been no owner.
	firstElectionTimeout = 50 * time.Millisecond
)

// LeadFunc is one ownership; it returns when it ends. silent is how long the owner
// before had given no sign, negative if it has ended for certain.
type LeadFunc func(ctx context.Context, epoch int64, claim Claim, silent time.Duration) error

// Config is what a candidate is built from.
type Config struct {
	Self relay.Peer
	// Direct is this host's own path to the store: a host that can't reach the
	// store by itself doesn't claim.
	Direct store.Store
	// Store also goes through peers.
	Store store.Store
	Log   logrus.FieldLogger
	// Now is the clock on which the owner's signs are judged.
	Now func() time.Time
	// Lead is run for each ownership of this host.
	Lead LeadFunc
}

// Candidate follows who owns and claims when nobody does.
type Candidate struct {
	cfg   Config
	nonce string
	// nonces are all that this process has claimed with.
	nonces map[string]bool
	// silent is what the next LeadFunc is told of the owner before.
	silent time.Duration

	mu sync.Mutex
	// state is guarded by mu.
	state State
	// noClaimUntil is until when this host doesn't claim; guarded by mu.
	noClaimUntil time.Time
}

// NewCandidate returns a candidate that knows nothing yet.
func NewCandidate(cfg Config) *Candidate {
	c := &Candidate{cfg: cfg, nonces: make(map[string]bool)}
	c.renewNonce()
	return c
}

// renewNonce takes another nonce for the next claim.
func (c *Candidate) renewNonce() {
	c.nonce = uuid.NewString()
	c.nonces[c.nonce] = true
}

// State returns what is known of the owner.
func (c *Candidate) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

func (c *Candidate) mayClaim(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !now.Before(c.noClaimUntil)
}

// Run follows the owner until the context ends.
func (c *Candidate) Run(ctx context.Context) {
	loaded := false
	for ctx.Err() == nil {
		if !loaded {
			loaded = c.load(ctx)
		} else if !c.follow(ctx) {
			loaded = false
		}
		c.campaign(ctx, loaded)
	}
}

// load reads the newest claim and sign.
func (c *Candidate) load(ctx context.Context) bool {
	page, err := c.cfg.Store.Newest(ctx, store.Leader)
	if err != nil {
		c.cfg.Log.WithField("Error", err.Error()).Debug("owner not read")
		clock.Pause(ctx, retryPause)
		return false
	}
	// The claim goes first: a sign counts only for its epoch.
	for _, key := range []string{keyClaim, keyHeartbeat} {
		for _, r := range page.Records {
			if r.Key == key {
				c.apply(r)
			}
		}
	}
	c.mu.Lock()
	c.state.Next = page.Next
	c.mu.Unlock()
	return true
}

// follow reads the next records. It reports false after a gap.
func (c *Candidate) follow(ctx context.Context) bool {
	st := c.State()
	page, err := c.cfg.Store.Read(ctx, store.Leader, st.Next, c.wait(st))
	switch {
	case errors.Is(err, store.ErrTrimmed):
		return false
	case err != nil:
		c.cfg.Log.WithField("Error", err.Error()).Debug("owner not read")
		c.restartTimeout()
		clock.Pause(ctx, retryPause)
		return true
	}
	for _, r := range page.Records {
		c.apply(r)
	}
	c.mu.Lock()
	c.state.Next = page.Next
	c.mu.Unlock()
	return true
}

// restartTimeout lets the owner's election timeout begin anew: while the store can't be read,
// nothing is known of the owner's signs.
func (c *Candidate) restartTimeout() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.HeartbeatAt = c.cfg.Now()
}

// wait is how long to read: until the election timeout ends at most.
func (c *Candidate) wait(st State) time.Duration {
	left := c.electionTimeout(st) - c.cfg.Now().Sub(st.HeartbeatAt)
	return min(max(left, time.Millisecond), readWait)
}

func (c *Candidate) apply(r store.Record) {
	if r.Err != nil {
		c.cfg.Log.WithFields(logrus.Fields{"Offset": r.Offset, "Error": r.Err.Error()}).Warn("record skipped")
		return
	}
	c.mu.Lock()
	isNew, err := c.state.Apply(c.cfg.Now(), r)
	st := c.state
	c.mu.Unlock()
	if err != nil {
		c.cfg.Log.WithFields(logrus.Fields{"Key": r.Key, "Offset": r.Offset, "Error": err.Error()}).Warn("record skipped")
		return
	}
	if isNew {
		c.cfg.Log.WithFields(logrus.Fields{"Epoch": st.Epoch, "Term": st.Claim.Term, "Owner": st.Claim.Host.Name}).Info("new owner")
	}
}

// electionTimeout is how long this host waits for a sign of the owner.
func (c *Candidate) electionTimeout(st State) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(c.cfg.Self.Name))
	jitter := time.Duration(float64(h.Sum32()%100) / 100 * float64(maxJitter))
	switch {
	case st.Epoch == 0:
		// The others aren't known yet: a whole core goes first.
		return firstElectionTimeout + jitter/2 + time.Duration((1-min(c.cfg.Self.Share, 1))*float64(firstElectionDelay))
	case c.isPreviousIncarnation(st):
		return 0
	case st.Released:
		return jitter/2 + c.electionDelay(st)
	default:
		return baseElectionTimeout + jitter + c.electionDelay(st)
	}
}

// isPreviousIncarnation reports whether the owner was an earlier process on this very host. It has
// ended for certain, as this one runs in its place. A host whose processes end again and
// again leaves ownership to others.
func (c *Candidate) isPreviousIncarnation(st State) bool {
	h := st.Claim.Host
	return h.Name == c.cfg.Self.Name && h.Address == c.cfg.Self.Address && !c.nonces[st.Claim.Nonce] && st.Claim.Restarts < maxRestarts
}

// electionDelay is how much longer a host waits than one that has more of a core: the
// owner carries the calls to all workers.
func (c *Candidate) electionDelay(st State) time.Duration {
	for _, p := range st.Peers {
		if p.Name != st.Claim.Host.Name && p.Share > strongerFactor*c.cfg.Self.Share {
			return strongerPeerDelay
		}
	}
	return 0
}

// campaign claims if nobody owns, and runs the ownership that it wins.
func (c *Candidate) campaign(ctx context.Context, loaded bool) {
	st := c.State()
	now := c.cfg.Now()
	if st.Epoch > 0 && st.Claim.Nonce == c.nonce && !st.Released {
		c.lead(ctx, st)
		return
	}
	if !loaded || !c.mayClaim(now) {
		return
	}
	if st.Epoch == 0 && st.HeartbeatAt.IsZero() {
		c.restartTimeout()
		return
	}
	if now.Sub(st.HeartbeatAt) < c.electionTimeout(st) {
		return
	}
	c.claim(ctx, st)
}

// claim appends a claim where the stream ended when it was read last. Whether it
// won is read from the stream, as any other claim.
func (c *Candidate) claim(ctx context.Context, st State) {
	claim := Claim{Host: c.cfg.Self, Nonce: c.nonce, Term: st.Claim.Term + 1}
	if st.Epoch == 0 {
		claim.Term = 0
	}
	if c.isPreviousIncarnation(st) {
		claim.Restarts = st.Claim.Restarts + 1
	}
	b, err := json.Marshal(claim)
	if err != nil {
		c.cfg.Log.WithField("Error", err.Error()).Error("claim not encoded")
		return
	}
	c.silent = c.cfg.Now().Sub(st.HeartbeatAt)
	if st.Stopping || c.isPreviousIncarnation(st) {
		c.silent = -1
	}
	at := st.Next
	_, err = c.cfg.Direct.Append(ctx, store.Append{Stream: store.Leader, At: &at, Records: []store.Record{{Key: keyClaim, Value: b}}})
	entry := c.cfg.Log.WithFields(logrus.Fields{
		"FormerEpoch": st.Epoch, "FormerOwner": st.Claim.Host.Name, "Term": claim.Term,
		"SilentMs": c.cfg.Now().Sub(st.HeartbeatAt).Milliseconds(), "Released": st.Released,
	})
	if err != nil {
		entry.WithField("Error", err.Error()).Info("claim not taken")
		if !errors.Is(err, store.ErrConflict) {
			c.restartTimeout()
		}
		return
	}
	entry.Info("claimed")
}

// lead runs one ownership to its end.
func (c *Candidate) lead(ctx context.Context, st State) {
	log := c.cfg.Log.WithFields(logrus.Fields{"Epoch": st.Epoch, "Term": st.Claim.Term})
	log.Info("ownership begins")
	err := c.cfg.Lead(ctx, st.Epoch, st.Claim, c.silent)
	fields := logrus.Fields{}
	if err != nil {
		fields["Error"] = err.Error()
	}
	log.WithFields(fields).Info("ownership ends")
	c.renewNonce()
	c.mu.Lock()
	c.state.HeartbeatAt = c.cfg.Now()
	c.noClaimUntil = c.cfg.Now().Add(stepDownBackoff)
	c.mu.Unlock()
}
