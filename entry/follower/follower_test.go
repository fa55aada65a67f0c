package follower

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/entry/platform"
	"github.com/godwitcross/godwitcross/entry/view"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/membership"
	"github.com/godwitcross/godwitcross/fleet/state"
)

func raw(t *testing.T, id string) json.RawMessage {
	t.Helper()
	r, err := journal.NewRecord(journal.RecordID(id), "Later.Kind", time.Unix(0, 0), "e1", 1)
	require.NoError(t, err)
	b, err := r.Encode()
	require.NoError(t, err)
	return b
}

func batch(t *testing.T, first journal.Offset, ids ...string) platform.Batch {
	t.Helper()
	b := platform.Batch{First: first, End: first + journal.Offset(len(ids))}
	for _, id := range ids {
		b.Records = append(b.Records, raw(t, id))
	}
	return b
}

func newFollower() (*Follower, *view.Value[State]) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	out := view.NewValue(State{})
	return New(log, state.NewFleet(), nil, out), out
}

// Guards against applying records from a log that changed or lost records that were
// already applied.
func TestInconsistentLogIsNotApplied(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name  string
		then  platform.Batch
		next  journal.Offset
		fault bool
	}{
		{"the same records again", batch(t, 0, "a", "b", "c"), 3, false},
		{"another record at an applied offset", batch(t, 1, "x", "c"), 2, true},
		{"an end that moved back", platform.Batch{First: 2, End: 1, Fault: platform.ErrEndMovedBack}, 2, true},
		{"records beyond a gap", batch(t, 5, "f"), 2, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f, out := newFollower()
			f.apply(batch(t, 0, "a", "b"), now)
			f.apply(test.then, now)
			require.Equal(t, test.next, out.Latest().Next)
			require.Equal(t, test.fault, out.Latest().Fault != "")
			f.apply(batch(t, test.next, "later"), now)
			require.Equal(t, test.fault, out.Latest().Next == test.next, "nothing is applied after a fault")
		})
	}
}

// After the log's end moved back, records are applied again only once the log itself has
// the last applied record at its offset; a relayed copy proves nothing about the log.
func TestLogEndThatMovedBackRecoversWithTheLastRecord(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name string
		then platform.Batch
		next journal.Offset
	}{
		{"the same record again", batch(t, 1, "b", "c"), 3},
		{"a different record", batch(t, 1, "x", "c"), 2},
		{"later records only", batch(t, 2, "c"), 2},
		{"from a peer", platform.Batch{First: 1, End: 3, Records: batch(t, 1, "b", "c").Records, Relayed: true}, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f, out := newFollower()
			f.apply(batch(t, 0, "a", "b"), now)
			f.apply(platform.Batch{First: 2, End: 1, Fault: platform.ErrEndMovedBack}, now)
			f.apply(test.then, now)
			require.Equal(t, test.next, out.Latest().Next)
			require.Equal(t, test.next == 2, out.Latest().Fault != "")
		})
	}
}

func TestPeersGetRecordsOfTheSameLogOnly(t *testing.T) {
	f, out := newFollower()
	ctx, stop := context.WithCancel(context.Background())
	go func() { _ = f.Run(ctx) }()
	t.Cleanup(func() { stop(); <-f.ended })
	f.apply(batch(t, 0, "a", "b", "c"), time.Unix(1000, 0))
	records, end, err := f.Records(ctx, 0, 0, 2)
	require.NoError(t, err)
	require.Len(t, records, 2)
	require.Equal(t, journal.Offset(3), end)
	_, _, err = f.Records(ctx, 2, 12345, 2)
	require.ErrorIs(t, err, ErrLogDiverged)
	_, _, err = f.Records(ctx, 4, 0, 2)
	require.ErrorIs(t, err, ErrNotRetained)
	own := out.Latest()
	relations, err := f.Compare(ctx, []membership.Peer{
		{Heartbeat: membership.Heartbeat{Applied: 3, Digest: own.Digest, History: own.History, KnownKinds: own.KnownKinds}},
		{Heartbeat: membership.Heartbeat{Applied: 3, Digest: own.Digest + 1, History: own.History, KnownKinds: own.KnownKinds}},
	})
	require.NoError(t, err)
	require.Equal(t, []membership.Relation{membership.Same, membership.Diverged}, relations)
}

func TestSnapshotIsRestoredOnlyIfAhead(t *testing.T) {
	ahead, _ := newFollower()
	ahead.apply(batch(t, 0, "a", "b", "c"), time.Unix(1000, 0))
	s, err := ahead.fleet.StateMachine().Snapshot(journal.StreamFleet)
	require.NoError(t, err)
	for applied, want := range map[int]journal.Offset{0: 3, 2: 3, 5: 5} {
		f, out := newFollower()
		var ids []string
		for i := range applied {
			ids = append(ids, fmt.Sprint("r", i))
		}
		f.apply(batch(t, 0, ids...), time.Unix(1000, 0))
		require.NoError(t, f.restore(s, time.Unix(1000, 0)))
		require.Equal(t, want, out.Latest().Next)
	}
}

func TestTailIsBounded(t *testing.T) {
	var k tail
	for range 2 * tailRecords {
		k.add([]byte("x"))
	}
	require.Len(t, k.records, tailRecords)
	k.add(make([]byte, tailBytes+1))
	require.LessOrEqual(t, k.bytes, tailBytes)
	_, err := k.from(0, 1)
	require.ErrorIs(t, err, ErrNotRetained)
}
