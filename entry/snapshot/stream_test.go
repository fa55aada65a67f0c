package snapshot

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/entry/follower"
	"github.com/godwitcross/godwitcross/entry/metric"
	"github.com/godwitcross/godwitcross/entry/platform"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/lease"
	"github.com/godwitcross/godwitcross/fleet/placement"
	"github.com/godwitcross/godwitcross/fleet/state"
)

const stream journal.StreamID = "Jobs.Palermo"

// memoryLog keeps streams in memory and rejects appends once remaining is 0.
type memoryLog struct {
	streams map[journal.StreamID][]json.RawMessage
	// remaining is how many more records are accepted.
	remaining int
}

func (l *memoryLog) Append(_ context.Context, s journal.StreamID, r journal.Record) error {
	if l.remaining == 0 {
		return platform.ErrNotAppended
	}
	l.remaining--
	raw, err := r.Encode()
	l.streams[s] = append(l.streams[s], raw)
	return err
}

func (l *memoryLog) Read(s journal.StreamID, from journal.Offset, limit int, _ time.Duration) (platform.Batch, error) {
	all := l.streams[s]
	end := journal.Offset(len(all))
	return platform.Batch{First: from, End: end, Records: all[min(from, end):min(from+journal.Offset(limit), end)]}, nil
}

// testHost is one host that follows a data centre's stream.
type testHost struct {
	follower *follower.Stream[*state.Jobs]
	in       chan platform.Batch
	writer   *Writer
	restore  platform.RestoreFunc
}

func newTestHost(t *testing.T, l *memoryLog) *testHost {
	t.Helper()
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	h := &testHost{in: make(chan platform.Batch)}
	h.follower = follower.NewStream(follower.StreamConfig[*state.Jobs]{Log: quiet, Stream: stream, State: state.NewJobs(), In: h.in})
	parts := ForStream(StreamConfig{Log: quiet, Name: "e1", Stream: stream, Metrics: metric.NewRegistry(), Source: l, Records: l}, h.follower)
	h.writer, h.restore = parts.Writer, parts.Restore
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() { _ = h.follower.Run(ctx) }()
	return h
}

// read lets the host apply the records of the log.
func (h *testHost) read(t *testing.T, l *memoryLog) {
	t.Helper()
	b, err := l.Read(stream, h.follower.Progress().Next, 1000, 0)
	require.NoError(t, err)
	h.in <- b
	require.NoError(t, h.follower.Do(context.Background(), func(*state.Jobs) {}))
}

func (h *testHost) state(t *testing.T) []byte {
	t.Helper()
	snap, err := h.follower.Snapshot(context.Background())
	require.NoError(t, err)
	b, err := snap.Pack()
	require.NoError(t, err)
	return b
}

func add(t *testing.T, l *memoryLog, id string, kind journal.Kind, body any) {
	t.Helper()
	r, err := journal.NewRecord(journal.RecordID(id), kind, time.Unix(1000, 0), "e1", body)
	require.NoError(t, err)
	require.NoError(t, l.Append(context.Background(), stream, r))
}

func submit(t *testing.T, l *memoryLog, n int) {
	t.Helper()
	add(t, l, fmt.Sprint("submit-", n), placement.KindSubmit, placement.Submit{Jobs: []configuration.Job{{
		ID: inventory.JobID(fmt.Sprint("job-", n)), Owner: "Campanella", Team: "Rendering", Template: "bell",
	}}})
}

func newFilledLog(t *testing.T) *memoryLog {
	t.Helper()
	l := &memoryLog{streams: make(map[journal.StreamID][]json.RawMessage), remaining: 1000}
	add(t, l, "claim", lease.KindClaim, lease.Claim{Duty: Duty, Holder: "e1"})
	for n := range 20 {
		submit(t, l, n)
	}
	return l
}

// A host that starts from a snapshot must reach the same state as one that applied all
// records.
func TestDataCentreStateContinuesFromSnapshot(t *testing.T) {
	l, now := newFilledLog(t), time.Unix(2000, 0)
	one := newTestHost(t, l)
	one.read(t, l)
	require.NoError(t, one.writer.Tick(context.Background(), now, 1))
	require.NoError(t, one.writer.Tick(context.Background(), now, 1), "the checkpoint is not read back yet")
	require.Len(t, l.streams[journal.StreamSnapshots(stream)], 1)
	two := newTestHost(t, l)
	next, ok := two.restore(context.Background(), 0)
	require.True(t, ok)
	require.Equal(t, journal.Offset(21), next)
	_, ok = two.restore(context.Background(), next)
	require.False(t, ok, "there is no newer one")
	submit(t, l, 20)
	one.read(t, l)
	two.read(t, l)
	require.Equal(t, one.state(t), two.state(t))
	require.Equal(t, next, two.follower.Progress().Checkpoint.Next)
}

// Guards against a checkpoint for a snapshot that a failed writer, or a writer with a stale
// epoch, left behind.
func TestFailedAndConcurrentWritersAreHarmless(t *testing.T) {
	l, now := newFilledLog(t), time.Unix(2000, 0)
	one, two := newTestHost(t, l), newTestHost(t, l)
	one.read(t, l)
	two.read(t, l)
	l.remaining = 1
	require.Error(t, one.writer.Tick(context.Background(), now, 1), "the checkpoint is refused")
	l.remaining = 1000
	require.NoError(t, two.writer.Tick(context.Background(), now, 7), "a stale epoch is rejected when the record is applied")
	require.NoError(t, one.writer.Tick(context.Background(), now, 1))
	one.read(t, l)
	three := newTestHost(t, l)
	_, ok := three.restore(context.Background(), 0)
	require.True(t, ok)
	three.read(t, l)
	require.Equal(t, one.state(t), three.state(t))
	require.Equal(t, journal.Offset(21), three.follower.Progress().Checkpoint.Next)
}
