package election

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/entry/relay"
	"github.com/godwitcross/godwitcross/entry/store"
)

// A leader that stopped soon after its takeover says nothing of the one before, which still
// runs: two holders ordered one host within its lease (ONE).
func TestStoppedLeaderHidesNoEarlierOne(t *testing.T) {
	log, _ := test.NewNullLogger()
	now := start
	s := &scriptedStore{answers: []error{nil}}
	c := NewCandidate(Config{Self: relay.Peer{Name: "c"}, Direct: s, Log: log, Now: func() time.Time { return now }})
	c.apply(claimRecord(t, 4, "a"))
	now = now.Add(10 * time.Second)
	c.apply(heartbeatRecord(t, Heartbeat{Epoch: 5, Released: true})) // in favour of a stronger host
	now = now.Add(100 * time.Millisecond)
	c.apply(claimRecord(t, 6, "b"))
	now = now.Add(500 * time.Millisecond)
	c.apply(heartbeatRecord(t, Heartbeat{Epoch: 7, Released: true, Stopping: true}))
	now = now.Add(maxJitter)
	c.campaign(context.Background(), true)
	require.Len(t, s.appends, 1)
	require.Equal(t, store.Leader, s.appends[0].Stream)
	require.GreaterOrEqual(t, c.previous.HeartbeatAge, time.Duration(0), "a has not ended")
}

// A process answers for a claim only as long as it may lead under it, so that the next leader
// knows when the leases of this one end.
func TestProcessMayLeadUntilItsLeadershipEnds(t *testing.T) {
	log, _ := test.NewNullLogger()
	var c *Candidate
	var claim Claim
	c = NewCandidate(Config{
		Self: relay.Peer{Name: "a"}, Log: log, Now: time.Now,
		Lead: func(_ context.Context, _ int64, claim Claim, _ PreviousLeader) error {
			require.True(t, c.MayLead(claim.Nonce))
			return nil
		},
	})
	claim.Nonce = c.claimNonce()
	require.True(t, c.MayLead(claim.Nonce), "the claim may still win")
	require.False(t, c.MayLead("of an earlier process"))
	c.lead(context.Background(), State{Epoch: 5, Claim: claim})
	require.False(t, c.MayLead(claim.Nonce))
}

// The first heartbeat after a takeover passes on leases at once: leaders that were killed before
// the next one was due passed on nothing.
func TestWokenHeartbeatIsSentAtOnce(t *testing.T) {
	s := &scriptedStore{answers: []error{nil}}
	wake := make(chan struct{}, 1)
	wake <- struct{}{}
	h := newHeartbeater(s, nil, new(int))
	h.Wake = wake
	startedAt := time.Now()
	require.ErrorIs(t, h.Run(context.Background()), store.ErrFenced)
	require.Len(t, s.appends, 2)
	require.Less(t, time.Since(startedAt), HeartbeatInterval)
}

// When a leader of 47 hosts ended while the store took 60 times as long, 17 hosts claimed at once, and
// the new leader waited for 2 s behind their failed claims. Only one host claims within the time that
// its claim takes to be seen, the strongest one.
func TestHostsClaimOneAfterTheOtherWhileStoreIsSlow(t *testing.T) {
	leader := relay.Peer{Name: "h0", Share: 0.8}
	peers := []relay.Peer{leader}
	for i := 1; i < 47; i++ {
		peers = append(peers, relay.Peer{Name: fmt.Sprintf("h%d", i), Share: []float64{0.2, 0.4, 0.8}[i%3]})
	}
	for name, released := range map[string]bool{"released": true, "killed": false} {
		t.Run(name, func(t *testing.T) {
			type claimant struct {
				relay.Peer
				at time.Duration
			}
			var claims []claimant
			for _, p := range peers[1:] {
				c := NewCandidate(Config{Self: p})
				st := State{Epoch: 5, Claim: Claim{Host: leader}, Peers: peers, Released: released, StoreSlow: true}
				claims = append(claims, claimant{p, c.electionTimeout(st)})
			}
			slices.SortFunc(claims, func(a, b claimant) int { return cmp.Compare(a.at, b.at) })
			const claimTime = 240 * time.Millisecond // an append to the slow store
			require.Greater(t, claims[1].at-claims[0].at, claimTime-maxJitter/2)
			require.Greater(t, claims[2].at-claims[0].at, 2*claimTime)
			require.Equal(t, leader.Share, claims[0].Share)
		})
	}
}
