package election

import (
	"context"
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
