package election

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/godwitcross/godwitcross/entry/clock"
	"github.com/godwitcross/godwitcross/entry/relay"
	"github.com/godwitcross/godwitcross/entry/store"
	"github.com/godwitcross/godwitcross/fleet/scheduling"
	"github.com/godwitcross/godwitcross/fleet/shedding"
)

// Producer is the producer name, fenced by epoch, under which leaders append heartbeats.
// The store knows it by this name, which therefore keeps the word owner for the leader.
const Producer = "Owner"

// Heartbeater appends a leader's heartbeats. Each that the store accepts confirms the
// leadership.
type Heartbeater struct {
	Epoch int64
	// Term numbers the leaders. Later ones step down later, so that leadership doesn't
	// flap where the stronger host can't claim.
	Term  int64
	Self  relay.Peer
	Store store.Store
	Log   logrus.FieldLogger
	// Now is the clock that times heartbeats and confirmations.
	Now func() time.Time
	// Peers returns the hosts to list in each heartbeat.
	Peers func() []relay.Peer
	// Leases returns what the next leader has to know about leases, or nil before the takeover
	// is complete.
	Leases func() *scheduling.LeaseHandover
	// Delays returns the delays of overloaded queues as of a time; it may be nil.
	Delays func(now time.Time) map[string]shedding.Delay
	// IsStoreSlow reports whether appends to the store take long; it may be nil.
	IsStoreSlow func() bool
	// DirectLostFor returns how long this host has had no direct path to the store; it may be nil.
	DirectLostFor func(now time.Time) time.Duration
	// Wake makes the next heartbeat due at once; it may be nil.
	Wake <-chan struct{}
	// Confirmed is called with the send time of each heartbeat that the store accepted.
	Confirmed func(sentAt time.Time)

	// seq is the number of the next heartbeat, and isUnanswered is set if one was sent under it
	// already and may be stored.
	seq          int64
	isUnanswered bool
}

// ErrStrongerPeer means that the leader stepped down in favour of a host with a larger
// share of a core. Unlike a fenced leader, it ends its leadership of its own accord and
// then releases it.
var ErrStrongerPeer = eris.New("a peer has a larger CPU share")

// ErrNoDirectPath means that the leader stepped down because it reaches the store through peers only, so
// that one of them should lead. It releases its leadership.
var ErrNoDirectPath = eris.New("no direct path to the store")

// ErrStalled means that the leader stepped down because it could neither load the state nor store its decisions, though
// the store took its heartbeats. It releases its leadership.
var ErrStalled = eris.New("the leader makes no progress")

// maxRelayedTime is how long a leader leads without a direct path to the store: until the first
// retry of the path has failed too. A relayed read takes some 0.4 s, so jobs start and new workers are used
// late; a handover delays them by about as much, but once.
const maxRelayedTime = 1200 * time.Millisecond

// stepDownAfter, times the term plus one, is how long a leader leads before it steps down
// in favour of a stronger host.
const stepDownAfter = 3 * time.Second

// Run sends heartbeats until the context ends, another host should lead (ErrStrongerPeer, ErrNoDirectPath), or
// a later leader has fenced this one, which returns store.ErrFenced.
func (h *Heartbeater) Run(ctx context.Context) error {
	startedAt := h.Now()
	for ctx.Err() == nil {
		sentAt := h.Now()
		err := h.send(ctx, false, false)
		switch {
		case err == nil:
			h.Confirmed(sentAt)
			if h.Now().Sub(startedAt) > time.Duration(h.Term+1)*stepDownAfter && h.hasStrongerPeer() {
				return ErrStrongerPeer
			}
			if h.isRelayed(h.Now(), startedAt) {
				return ErrNoDirectPath
			}
		case errors.Is(err, store.ErrFenced):
			return err
		case ctx.Err() == nil:
			h.Log.WithField("Error", err.Error()).Debug("heartbeat failed")
		}
		clock.SleepUnlessWoken(ctx, HeartbeatInterval-h.Now().Sub(sentAt), h.Wake)
	}
	return ctx.Err()
}

// isRelayed reports whether the heartbeat that was accepted last must have gone through a peer, and all calls
// for some time. That counts from the start of the leadership at the earliest: a claim uses the direct path, which
// the other calls may not have tried again yet.
func (h *Heartbeater) isRelayed(now, startedAt time.Time) bool {
	return h.DirectLostFor != nil && min(h.DirectLostFor(now), now.Sub(startedAt)) > maxRelayedTime
}

// hasStrongerPeer reports whether a peer should lead in place of this host.
func (h *Heartbeater) hasStrongerPeer() bool {
	return slices.ContainsFunc(h.Peers(), func(p relay.Peer) bool { return isStronger(p, h.Self) })
}

// isStronger reports whether a peer's share of a core is larger by strongerFactor and the peer can claim.
func isStronger(p, self relay.Peer) bool {
	return !p.NoDirectPath && p.Share > strongerFactor*self.Share
}

// Release sends a heartbeat that tells the other hosts that this leader steps down.
// stopping means that its host stops.
func (h *Heartbeater) Release(ctx context.Context, stopping bool) error {
	if h.isUnanswered {
		// The store drops a heartbeat under the number of one that it has stored, so the next is
		// the release.
		if err := h.send(ctx, true, stopping); err != nil {
			return err
		}
	}
	return h.send(ctx, true, stopping)
}

func (h *Heartbeater) send(ctx context.Context, released, stopping bool) error {
	hb := Heartbeat{
		Epoch: h.Epoch, Host: h.Self, Peers: h.Peers(), Released: released, Stopping: stopping, Leases: encodeLeases(h.Now(), h.Leases()),
	}
	hb.StoreSlow = h.IsStoreSlow != nil && h.IsStoreSlow()
	if h.Delays != nil && !released {
		hb.Delays = encodeDelays(h.Delays(h.Now()))
	}
	b, err := json.Marshal(hb)
	if err != nil {
		return err
	}
	res, err := h.Store.Append(ctx, store.Append{
		Stream:  store.Leader,
		Records: []store.Record{{Key: keyHeartbeat, Value: b}},
		Fence:   &store.Fence{Producer: Producer, Epoch: h.Epoch, Seq: h.seq},
	})
	h.isUnanswered = err != nil && !errors.Is(err, store.ErrSequence)
	switch {
	case err == nil:
		h.seq++
	case errors.Is(err, store.ErrSequence):
		// An earlier heartbeat that got no answer was stored.
		h.seq = res.Seq
	}
	return err
}
