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

// memoryLog keeps streams; from a record on it refuses as told.
type memoryLog struct {
	streams map[journal.StreamID][]json.RawMessage
	// room is how many more records are taken.
	room int
}

func (l *memoryLog) Append(_ context.Context, s journal.StreamID, r journal.Record) error {
	if l.room == 0 {
		return platform.ErrNotAppended
	}
	l.room--
	raw, err := r.Encode()
	l.streams[s] = append(l.streams[s], raw)
	return err
}

func (l *memoryLog) Read(s journal.StreamID, from journal.Offset, limit int, _ time.Duration) (platform.Batch, error) {
	all := l.streams[s]
	end := journal.Offset(len(all))
	return platform.Batch{First: from, End: end, Records: all[min(from, end):min(from+journal.Offset(limit), end)]}, nil
}

// site is one host's part in a data centre's stream.
type site struct {
	follower *follower.Stream[*state.Jobs]
	in       chan platform.Batch
	writer   *Writer
	restore  platform.RestoreFunc
}

func newSite(t *testing.T, l *memoryLog) *site {
	t.Helper()
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	s := &site{in: make(chan platform.Batch)}
	s.follower = follower.NewStream(follower.StreamConfig[*state.Jobs]{Log: quiet, Stream: stream, State: state.NewJobs(), In: s.in})
	parts := ForStream(StreamConfig{Log: quiet, Name: "e1", Stream: stream, Metrics: metric.NewRegistry(), Source: l, Records: l}, s.follower)
	s.writer, s.restore = parts.Writer, parts.Restore
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() { _ = s.follower.Run(ctx) }()
	return s
}

// read lets the host fold what the log has.
func (s *site) read(t *testing.T, l *memoryLog) {
	t.Helper()
	b, err := l.Read(stream, s.follower.Progress().Next, 1000, 0)
	require.NoError(t, err)
	s.in <- b
	require.NoError(t, s.follower.Do(context.Background(), func(*state.Jobs) {}))
}

func (s *site) state(t *testing.T) []byte {
	t.Helper()
	snap, err := s.follower.Snapshot(context.Background())
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

func filledLog(t *testing.T) *memoryLog {
	t.Helper()
	l := &memoryLog{streams: make(map[journal.StreamID][]json.RawMessage), room: 1000}
	add(t, l, "claim", lease.KindClaim, lease.Claim{Duty: Duty, Holder: "e1"})
	for n := range 20 {
		submit(t, l, n)
	}
	return l
}

func TestTheJobsOfADataCentreGoOnFromASnapshot(t *testing.T) {
	l, now := filledLog(t), time.Unix(2000, 0)
	one := newSite(t, l)
	one.read(t, l)
	require.NoError(t, one.writer.Tick(context.Background(), now, 1))
	require.NoError(t, one.writer.Tick(context.Background(), now, 1), "the checkpoint is not read back yet")
	require.Len(t, l.streams[journal.StreamSnapshots(stream)], 1)
	two := newSite(t, l)
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

func TestWritersThatBreakOffOrWriteAtOnceDoNoHarm(t *testing.T) {
	l, now := filledLog(t), time.Unix(2000, 0)
	one, two := newSite(t, l), newSite(t, l)
	one.read(t, l)
	two.read(t, l)
	l.room = 1
	require.Error(t, one.writer.Tick(context.Background(), now, 1), "the checkpoint is refused")
	l.room = 1000
	require.NoError(t, two.writer.Tick(context.Background(), now, 7), "a stale epoch is found out at the fold")
	require.NoError(t, one.writer.Tick(context.Background(), now, 1))
	one.read(t, l)
	three := newSite(t, l)
	_, ok := three.restore(context.Background(), 0)
	require.True(t, ok)
	three.read(t, l)
	require.Equal(t, one.state(t), three.state(t))
	require.Equal(t, journal.Offset(21), three.follower.Progress().Checkpoint.Next)
}
