package election

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/entry/store"
)

// sequencedStore keeps appends as the platform's store does: a repeated sequence number gets the
// first answer again, and its records aren't stored.
type sequencedStore struct {
	store.Store
	records []store.Record
	next    int64
	// loseAnswer makes the next append be stored without an answer.
	loseAnswer bool
}

func (s *sequencedStore) Append(_ context.Context, a store.Append) (store.Appended, error) {
	if a.Fence.Seq < s.next {
		return store.Appended{}, nil
	}
	if a.Fence.Seq > s.next {
		return store.Appended{Seq: s.next}, store.ErrSequence
	}
	s.records = append(s.records, a.Records...)
	s.next++
	if s.loseAnswer {
		s.loseAnswer = false
		return store.Appended{}, store.ErrUnknown
	}
	return store.Appended{}, nil
}

// After a heartbeat that was stored without an answer, the release still has to be stored. Under the
// sequence number of that heartbeat it gets the first answer again and is dropped: the next leader
// then waits for the election timeout, and takes it that the leader may go on extending leases.
func TestReleaseIsStoredAfterUnansweredHeartbeat(t *testing.T) {
	s := &sequencedStore{loseAnswer: true}
	h := newHeartbeater(s, nil, new(int))
	require.ErrorIs(t, h.send(context.Background(), false, false), store.ErrUnknown)
	require.NoError(t, h.Release(context.Background(), true))
	var last Heartbeat
	require.NoError(t, json.Unmarshal(s.records[len(s.records)-1].Value, &last))
	require.True(t, last.Released)
}
