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
	"github.com/godwitcross/godwitcross/fleet/scheduling"
)

const (
	// HeartbeatInterval is how often the leader sends a heartbeat.
	HeartbeatInterval = 500 * time.Millisecond
	// baseElectionTimeout is how long a leader may send no heartbeat before another host
	// claims: three heartbeat intervals, so that one heartbeat may be slow.
	baseElectionTimeout = 1500 * time.Millisecond
	// maxJitter bounds the jitter of the election timeout, so that few hosts claim at once.
	maxJitter = 300 * time.Millisecond
	// readWait is how long a read of the leader stream waits for records.
	readWait = time.Second
	// retryDelay is the delay after a failed call to the store.
	retryDelay = 150 * time.Millisecond
	// slowClaimStep is the time between the claims of two hosts while the store is slow: an append
	// and a read, so that one host sees the claim of the other. maxSlowClaimDelay bounds the sum of
	// the steps before a host claims.
	slowClaimStep     = 500 * time.Millisecond
	maxSlowClaimDelay = 3 * time.Second
	// stepDownBackoff is how long a host does not claim after its leadership has ended.
	stepDownBackoff = 4 * time.Second
	// maxStallBackoff bounds the backoff after leaderships that have stalled, which doubles with each in a row.
	maxStallBackoff = 32 * time.Second
	// firstElectionDelay is how much longer than a host with a whole core one without any
	// share waits before the first claim; all hosts start within 300 ms.
	firstElectionDelay = 2 * time.Second
	// strongerPeerDelay is how much longer a host waits if it knows a stronger one.
	strongerPeerDelay = 400 * time.Millisecond
	// strongerFactor is the ratio of core shares above which a host counts as stronger.
	strongerFactor = 1.3
	// maxRestarts is how often in a row a host succeeds its own previous process at once. One
	// to three kills a day are normal; more suggest that the host can't sustain leadership.
	maxRestarts = 3
	// firstElectionTimeout is the election timeout while there has been no leader.
	firstElectionTimeout = 50 * time.Millisecond
)

// LeadFunc performs the leader's tasks and returns when the leadership ends.
type LeadFunc func(ctx context.Context, epoch int64, claim Claim, previous PreviousLeader) error

// PreviousLeader is what the claim of a leader shows about the previous one.
type PreviousLeader struct {
	// HeartbeatAge is the time since the last heartbeat of a leader that may still send orders,
	// the previous one or one before it. It is negative if none is known.
	HeartbeatAge time.Duration
	// Leases is what is known about the leases that it and earlier leaders extended.
	Leases scheduling.PreviousLeader
	// Host and Nonce are those of its claim. Host is empty if there was no previous leader.
	Host  relay.Peer
	Nonce string
}

// Config holds a candidate's settings and dependencies.
type Config struct {
	Self relay.Peer
	// Direct accesses the store without a peer. Claims use it, so that a host that can't
	// reach the store by itself doesn't become the leader. Coalescing and hedging, if any,
	// leave claims unchanged because they are conditional.
	Direct store.Store
	// Store reads the leader stream, through peers if needed.
	Store store.Store
	Log   logrus.FieldLogger
	// Now is the clock that times the leader's heartbeats.
	Now func() time.Time
	// Lead is called each time this host becomes the leader.
	Lead LeadFunc
}

// Candidate follows the leader stream and claims leadership when there is no leader.
type Candidate struct {
	cfg Config
	// nonces are all nonces of this process.
	nonces map[string]bool
	// previous is passed to the next call of Lead.
	previous PreviousLeader
	// stalls is how many leaderships of this host in a row have stalled.
	stalls int

	mu sync.Mutex
	// nonce is that of the present or next claim; guarded by mu.
	nonce string
	// state is guarded by mu.
	state State
	// noClaimUntil is when this host may claim again; guarded by mu.
	noClaimUntil time.Time
}

// NewCandidate returns a candidate that has read nothing yet.
func NewCandidate(cfg Config) *Candidate {
	c := &Candidate{cfg: cfg, nonces: make(map[string]bool)}
	c.renewNonce()
	return c
}

// renewNonce generates the nonce of the next claim.
func (c *Candidate) renewNonce() {
	nonce := uuid.NewString()
	c.nonces[nonce] = true
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nonce = nonce
}

// claimNonce returns the nonce of the present or next claim.
func (c *Candidate) claimNonce() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nonce
}

// MayLead reports whether this process leads under the claim with a nonce, or may still come to.
// Once that is false it stays so.
func (c *Candidate) MayLead(nonce string) bool {
	return nonce == c.claimNonce()
}

// State returns what this host has read about the leader.
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

// Run follows the leader stream, and claims and leads where due, until the context ends.
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

// load reads the newest claim and heartbeat and reports whether that succeeded.
func (c *Candidate) load(ctx context.Context) bool {
	page, err := store.ReadNewest(ctx, c.cfg.Store, store.Leader, nil)
	if err != nil {
		c.cfg.Log.WithField("Error", err.Error()).Debug("reading the leader stream failed")
		clock.Sleep(ctx, retryDelay)
		return false
	}
	// The claim goes first, as a heartbeat counts only in the epoch of its claim.
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

// follow reads the next records. It returns false if some were trimmed before they were
// read.
func (c *Candidate) follow(ctx context.Context) bool {
	st := c.State()
	page, err := c.cfg.Store.Read(ctx, store.Leader, st.Next, c.pollWait(st))
	switch {
	case errors.Is(err, store.ErrTrimmed):
		return false
	case err != nil:
		c.cfg.Log.WithField("Error", err.Error()).Debug("reading the leader stream failed")
		c.restartTimeout()
		clock.Sleep(ctx, retryDelay)
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

// restartTimeout restarts the election timeout, as nothing is known of the leader's
// heartbeats while the store can't be read.
func (c *Candidate) restartTimeout() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.HeartbeatAt = c.cfg.Now()
}

// pollWait returns how long a read may wait: until the election timeout ends at most.
func (c *Candidate) pollWait(st State) time.Duration {
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
		// Logged names stay: the fields Owner here and FormerOwner in claim are leaders.
		c.cfg.Log.WithFields(logrus.Fields{"Epoch": st.Epoch, "Term": st.Claim.Term, "Owner": st.Claim.Host.Name}).Info("new leader")
	}
}

// electionTimeout returns how long this host waits for a heartbeat before it claims.
func (c *Candidate) electionTimeout(st State) time.Duration {
	jitter := time.Duration(float64(hashName(c.cfg.Self.Name)%100) / 100 * float64(maxJitter))
	switch {
	case st.Epoch == 0:
		// The peers' shares aren't known yet, so a host with a whole core claims first.
		return firstElectionTimeout + jitter/2 + time.Duration((1-min(c.cfg.Self.Share, 1))*float64(firstElectionDelay))
	case c.isPreviousIncarnation(st):
		return 0
	case st.Released:
		return jitter/2 + c.electionDelay(st) + c.slowClaimDelay(st)
	default:
		return baseElectionTimeout + jitter + c.electionDelay(st) + c.slowClaimDelay(st)
	}
}

func hashName(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return h.Sum32()
}

// slowClaimDelay returns the extra election timeout of a host while the store is slow: the known
// hosts claim one after the other, the strongest first. Claims that fail take as long as others in
// the leader stream, and the winner can't fence the previous leader before they are done.
func (c *Candidate) slowClaimDelay(st State) time.Duration {
	if !st.StoreSlow {
		return 0
	}
	isBefore := func(a, b relay.Peer) bool {
		if a.Share != b.Share {
			return a.Share > b.Share
		}
		return hashName(a.Name) < hashName(b.Name)
	}
	before := 0
	for _, p := range st.Peers {
		if p.Name != c.cfg.Self.Name && p.Name != st.Claim.Host.Name && isBefore(p, c.cfg.Self) {
			before++
		}
	}
	return min(time.Duration(before)*slowClaimStep, maxSlowClaimDelay)
}

// isPreviousIncarnation reports whether the leader was an earlier process on this host,
// which has ended for certain, as this one replaced it. It returns false after maxRestarts
// in a row, so that a host whose processes keep ending leaves leadership to others.
func (c *Candidate) isPreviousIncarnation(st State) bool {
	h := st.Claim.Host
	return h.Name == c.cfg.Self.Name && h.Address == c.cfg.Self.Address && !c.nonces[st.Claim.Nonce] && st.Claim.Restarts < maxRestarts
}

// electionDelay returns the extra election timeout of a host that knows a stronger one. The
// stronger one should lead, as the leader makes the calls to all workers. The leader that
// stopped sending heartbeats doesn't count. One that has lost its direct path does: what the last heartbeat says of
// it may be seconds old, and after an outage of the store it is true of all hosts.
func (c *Candidate) electionDelay(st State) time.Duration {
	for _, p := range st.Peers {
		if p.Name != st.Claim.Host.Name && p.Share > strongerFactor*c.cfg.Self.Share {
			return strongerPeerDelay
		}
	}
	return 0
}

// campaign leads if this process's claim has won, and claims if the election timeout has
// passed.
func (c *Candidate) campaign(ctx context.Context, loaded bool) {
	st := c.State()
	now := c.cfg.Now()
	if st.Epoch > 0 && st.Claim.Nonce == c.claimNonce() && !st.Released {
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

// claim appends a claim on the condition that the stream still ends where it was last read.
// Whether the claim won is read from the stream like any other claim.
func (c *Candidate) claim(ctx context.Context, st State) {
	claim := Claim{Host: c.cfg.Self, Nonce: c.claimNonce(), Term: st.Claim.Term + 1}
	if st.Epoch == 0 {
		claim.Term = 0
	}
	if c.isPreviousIncarnation(st) {
		claim.Restarts = st.Claim.Restarts + 1
	}
	b, err := json.Marshal(claim)
	if err != nil {
		c.cfg.Log.WithField("Error", err.Error()).Error("encoding the leadership claim failed")
		return
	}
	c.previous = c.previousLeader(st)
	at := st.Next
	_, err = c.cfg.Direct.Append(ctx, store.Append{Stream: store.Leader, At: &at, Records: []store.Record{{Key: keyClaim, Value: b}}})
	entry := c.cfg.Log.WithFields(logrus.Fields{
		"FormerEpoch": st.Epoch, "FormerOwner": st.Claim.Host.Name, "Term": claim.Term,
		"SilentMs": c.cfg.Now().Sub(st.HeartbeatAt).Milliseconds(), "Released": st.Released,
	})
	if err != nil {
		entry.WithField("Error", err.Error()).Info("leadership claim failed")
		if !errors.Is(err, store.ErrConflict) {
			c.restartTimeout()
		}
		return
	}
	entry.Info("leadership claimed")
}

// previousLeader returns what is known about the leader in whose place this host claims.
func (c *Candidate) previousLeader(st State) PreviousLeader {
	p := PreviousLeader{
		HeartbeatAge: c.cfg.Now().Sub(st.HeartbeatAt),
		// A leader releases its leadership after its last order.
		Leases: scheduling.PreviousLeader{Ended: st.Released || c.isPreviousIncarnation(st), Handover: st.Leases},
		Host:   st.Claim.Host, Nonce: st.Claim.Nonce,
	}
	if !st.Stopping && !c.isPreviousIncarnation(st) {
		return p
	}
	// The previous leader has certainly ended and sends no more orders, but the one before may go
	// on.
	p.HeartbeatAge = -1
	if !st.UnendedAt.IsZero() {
		p.HeartbeatAge = c.cfg.Now().Sub(st.UnendedAt)
	}
	return p
}

// lead calls Lead until the leadership ends, then blocks claims for the backoff.
func (c *Candidate) lead(ctx context.Context, st State) {
	log := c.cfg.Log.WithFields(logrus.Fields{"Epoch": st.Epoch, "Term": st.Claim.Term})
	log.Info("leadership started")
	err := c.cfg.Lead(ctx, st.Epoch, st.Claim, c.previous)
	fields := logrus.Fields{}
	if err != nil {
		fields["Error"] = err.Error()
	}
	log.WithFields(fields).Info("leadership ended")
	c.renewNonce()
	c.mu.Lock()
	c.state.HeartbeatAt = c.cfg.Now()
	c.noClaimUntil = c.cfg.Now().Add(c.backoff(err))
	c.mu.Unlock()
}

// backoff returns how long this host doesn't claim after a leadership that ended with an error. One that stalls
// repeatedly leaves the others more and more time.
func (c *Candidate) backoff(err error) time.Duration {
	if !errors.Is(err, ErrStalled) {
		c.stalls = 0
		return stepDownBackoff
	}
	c.stalls++
	d := stepDownBackoff
	for range c.stalls - 1 {
		d = min(2*d, maxStallBackoff)
	}
	return d
}
