package peer

import (
	"context"
	"encoding/json"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"

	"github.com/godwitcross/godwitcross/entry/follower"
	"github.com/godwitcross/godwitcross/entry/peer/wire"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/membership"
)

// fakeRecords returns fixed records and a fixed error.
type fakeRecords struct {
	records [][]byte
	err     error
}

func (f fakeRecords) Records(context.Context, journal.Offset, uint64, int) ([][]byte, journal.Offset, error) {
	return f.records, journal.Offset(len(f.records)), f.err
}

func (f fakeRecords) Snapshot(context.Context) (journal.Snapshot, error) {
	return journal.Snapshot{Format: journal.SnapshotFormat, Stream: journal.StreamFleet, Next: 7}, f.err
}

func codeOf(t *testing.T, err error) twirp.ErrorCode {
	t.Helper()
	var te twirp.Error
	require.True(t, errors.As(err, &te), "%v", err)
	return te.Code()
}

func TestReadRecordsBoundsAndErrors(t *testing.T) {
	big := make([]byte, maxReadBytes/2+1)
	tests := []struct {
		name    string
		host    fakeRecords
		records int
		code    twirp.ErrorCode
	}{
		{"fewer than the limit", fakeRecords{records: [][]byte{{1}, {2}}}, 2, ""},
		{"as many as fit into one response", fakeRecords{records: [][]byte{big, big, big}}, 1, ""},
		{"a record above the limit is sent alone", fakeRecords{records: [][]byte{append(big, big...), {1}}}, 1, ""},
		{"peer with another log", fakeRecords{err: follower.ErrLogDiverged}, 0, twirp.FailedPrecondition},
		{"records no longer kept", fakeRecords{err: follower.ErrNotRetained}, 0, twirp.OutOfRange},
		{"the follower has ended", fakeRecords{err: follower.ErrEnded}, 0, twirp.Unavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := NewServer(ServerConfig{Records: test.host})
			response, err := s.ReadRecords(context.Background(), &wire.ReadRecordsRequest{Limit: 1 << 30})
			if test.code != "" {
				require.Equal(t, test.code, codeOf(t, err))
				return
			}
			require.NoError(t, err)
			require.Len(t, response.GetRecords(), test.records)
		})
	}
}

func TestReadSnapshotServesChunksOfTheLatestSnapshot(t *testing.T) {
	s, ctx := NewServer(ServerConfig{Records: fakeRecords{}}), context.Background()
	a, err := s.ReadSnapshot(ctx, &wire.ReadSnapshotRequest{Index: 1})
	require.Nil(t, a)
	require.Equal(t, twirp.OutOfRange, codeOf(t, err))
	_, err = s.ReadSnapshot(ctx, &wire.ReadSnapshotRequest{Id: "another"})
	require.Equal(t, twirp.FailedPrecondition, codeOf(t, err))
	a, err = s.ReadSnapshot(ctx, &wire.ReadSnapshotRequest{})
	require.NoError(t, err)
	var c journal.Chunk
	require.NoError(t, json.Unmarshal(a.GetChunk(), &c))
	require.Equal(t, journal.Offset(7), c.Next)
	_, err = s.ReadSnapshot(ctx, &wire.ReadSnapshotRequest{Id: string(c.Snapshot)})
	require.Equal(t, twirp.FailedPrecondition, codeOf(t, err), "the snapshot is dropped after its last chunk")
}

func TestClaimIsUnknownWithoutClaims(t *testing.T) {
	a, err := NewServer(ServerConfig{}).Claim(context.Background(), &wire.ClaimRequest{Key: "k"})
	require.NoError(t, err)
	require.Equal(t, wire.ClaimResponse_STATE_UNKNOWN, a.GetState())
}

func TestHeartbeatsRoundTripAndAreBounded(t *testing.T) {
	beats := make([]membership.Heartbeat, 2*maxHeartbeatsPerMessage)
	for i := range beats {
		beats[i] = membership.Heartbeat{
			Name: "e1", DataCentre: "Palermo", Address: "127.0.0.1:1", Incarnation: 2, Sequence: int64(i), Applied: 4, Digest: 5, History: 6,
			KnownKinds: 7, Load: membership.Load{InFlight: 8, Queued: 9}, Platform: true, View: 10, Leaving: true,
		}
	}
	require.Equal(t, beats[:maxHeartbeatsPerMessage], Decode(Encode(beats)))
	require.Empty(t, Decode(nil))
}
