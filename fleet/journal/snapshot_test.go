package journal

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newStateMachineWithRecords returns a state machine that applied n records, some of them
// duplicates or rejected.
func newStateMachineWithRecords(t testing.TB, n int) (*StateMachine, *sumReducer) {
	t.Helper()
	sum := &sumReducer{}
	m := NewStateMachine(nil, sum)
	for i := range n {
		applyRecord(t, m, i)
	}
	return m, sum
}

func applyRecord(t testing.TB, m *StateMachine, i int) {
	t.Helper()
	r, err := NewRecord(RecordID(fmt.Sprint("r", i-i%5/4)), "Add", time.Unix(0, 0), "e1", i%7-1)
	require.NoError(t, err)
	b, err := r.Encode()
	require.NoError(t, err)
	_, err = m.Apply(Offset(i), b)
	require.NoError(t, err)
}

func TestRestoredStateMachineMatchesFullReplay(t *testing.T) {
	const cut, all = 400, 1000
	m, _ := newStateMachineWithRecords(t, cut)
	s, err := m.Snapshot("S")
	require.NoError(t, err)
	g, _ := newStateMachineWithRecords(t, cut/2)
	require.NoError(t, g.Restore(s))
	require.ErrorIs(t, g.Restore(s), ErrInvalidSnapshot, "the snapshot is no longer ahead of the state machine")
	for i := cut; i < all; i++ {
		applyRecord(t, m, i)
		applyRecord(t, g, i)
	}
	want, err := m.Snapshot("S")
	require.NoError(t, err)
	got, err := g.Snapshot("S")
	require.NoError(t, err)
	require.Equal(t, want, got)
}

func TestRestoreRefusesInvalidSnapshots(t *testing.T) {
	f, _ := newStateMachineWithRecords(t, 10)
	tests := []struct {
		name    string
		corrupt func(s *Snapshot)
		want    error
	}{
		{"another format", func(s *Snapshot) { s.Format++ }, ErrInvalidSnapshot},
		{"an offset other than the number of outcomes", func(s *Snapshot) { s.Next++ }, ErrInvalidSnapshot},
		{"a truncated window", func(s *Snapshot) { s.Seen = s.Seen[1:] }, ErrInvalidSnapshot},
		{"a part of a newer release", func(s *Snapshot) { s.Parts["Later"] = json.RawMessage("1") }, ErrInvalidSnapshot},
		{"a missing part whose records had unknown kinds", func(s *Snapshot) {
			delete(s.Parts, "Add")
			s.Counts[Unknown], s.Counts[Accepted] = s.Counts[Accepted], 0
		}, ErrInvalidSnapshot},
		{"a part that can't be decoded", func(s *Snapshot) { s.Parts["Add"] = json.RawMessage(`"x"`) }, ErrPartialRestore},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s, err := f.Snapshot("S")
			require.NoError(t, err)
			test.corrupt(&s)
			require.ErrorIs(t, NewStateMachine(nil, &sumReducer{}).Restore(s), test.want)
		})
	}
}

func TestAssemblerReturnsOnlyCompleteSnapshots(t *testing.T) {
	f, _ := newStateMachineWithRecords(t, 30_000)
	older, err := f.Snapshot("S")
	require.NoError(t, err)
	applyRecord(t, f, 30_000)
	newer, err := f.Snapshot("S")
	require.NoError(t, err)
	split := func(s Snapshot, id SnapshotID) []Chunk {
		chunks, err := Split(s, id)
		require.NoError(t, err)
		require.Greater(t, len(chunks), 1, "the test needs several chunks")
		return chunks
	}
	a, b := split(older, "a"), split(newer, "b")
	changed := func(c Chunk, change func(c *Chunk)) Chunk {
		change(&c)
		return c
	}
	tests := []struct {
		name   string
		chunks []Chunk
		want   Offset
	}{
		{"nothing", nil, 0},
		{"incomplete", b[1:], 0},
		{"an incomplete newer one does not hide the older", append(append([]Chunk{}, a...), b[1:]...), older.Next},
		{"two writers at once", interleave(a, b), newer.Next},
		{"repeats", append(append([]Chunk{}, b...), b...), newer.Next},
		{"chunks of another snapshot under the same name", append(append([]Chunk{}, b[1:]...), changed(a[0], func(c *Chunk) { c.Snapshot = "b" })), 0},
		{"a flipped byte", append(append([]Chunk{}, b[1:]...), changed(b[0], func(c *Chunk) { c.Data = append([]byte{c.Data[0] ^ 1}, c.Data[1:]...) })), 0},
		{"chunks with a wrong offset", mapChunks(b, func(c *Chunk) { c.Next++ }), 0},
		{"chunks of another stream", mapChunks(b, func(c *Chunk) { c.Stream = "T" }), 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			as := NewAssembler("S")
			for _, c := range test.chunks {
				_ = as.Add(c)
			}
			s, ok := as.Newest()
			require.Equal(t, test.want > 0, ok)
			require.Equal(t, test.want, s.Next)
		})
	}
}

func interleave(a, b []Chunk) []Chunk {
	var out []Chunk
	for i := range max(len(a), len(b)) {
		if i < len(a) {
			out = append(out, a[i])
		}
		if i < len(b) {
			out = append(out, b[i])
		}
	}
	return out
}

func mapChunks(chunks []Chunk, change func(c *Chunk)) []Chunk {
	out := append([]Chunk{}, chunks...)
	for i := range out {
		change(&out[i])
	}
	return out
}

func TestSnapshotDueAndAlarm(t *testing.T) {
	at := time.Unix(1000, 0)
	tests := []struct {
		name              string
		oldest, end, next Offset
		age               time.Duration
		due, alarm        bool
	}{
		{"no record", 0, 0, 0, 0, false, false},
		{"no snapshot yet", 0, 10, 0, 0, true, false},
		{"recent", 0, 100, 90, time.Minute, false, false},
		{"old", 0, 100, 90, SnapshotInterval, true, false},
		{"many records", 0, 90 + SnapshotRecords, 90, time.Minute, true, false},
		{"covers less than half of the retained records", 100, 300, 190, time.Minute, true, false},
		{"covers less than a quarter of the retained records", 100, 300, 140, time.Minute, true, true},
		{"covers none of the retained records", 200, 300, 140, time.Minute, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := NewMargin(test.oldest, test.end, test.next)
			c := Checkpoint{Next: test.next, At: at}
			require.Equal(t, test.due, c.Due(m, test.end, at.Add(test.age)))
			require.Equal(t, test.alarm, m.NeedsAlarm())
		})
	}
}

func TestFrequentChecksPreventAlarm(t *testing.T) {
	at := time.Unix(1000, 0)
	for _, kept := range []Offset{2 * SnapshotRecords, 20_000, 100_000} {
		c, alarms, snapshots := Checkpoint{}, 0, 0
		for end := Offset(1); end < 5*kept; end += kept / 50 {
			oldest := max(0, end-kept)
			if c.Due(NewMargin(oldest, end, c.Next), end, at) {
				c, snapshots = Checkpoint{Next: end, At: at}, snapshots+1
			}
			if NewMargin(oldest, end, c.Next).NeedsAlarm() {
				alarms++
			}
			require.GreaterOrEqual(t, c.Next, oldest, "the log deleted records that are in no snapshot")
		}
		require.Zero(t, alarms, "with %d retained records", kept)
		require.LessOrEqual(t, snapshots, int(5*kept/SnapshotRecords)+2)
	}
}

func FuzzUnpack(f *testing.F) {
	m, _ := newStateMachineWithRecords(f, 10)
	s, err := m.Snapshot("S")
	require.NoError(f, err)
	packed, err := s.Pack()
	require.NoError(f, err)
	f.Add(packed)
	f.Add(packed[:len(packed)/2])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := Unpack(b)
		if err != nil {
			require.ErrorIs(t, err, ErrInvalidSnapshot)
			return
		}
		g := NewStateMachine(nil, &sumReducer{})
		if g.Restore(s) != nil {
			return
		}
		again, err := g.Snapshot(s.Stream)
		require.NoError(t, err)
		require.Equal(t, s.Next, again.Next)
		require.Equal(t, s.Digest, again.Digest)
	})
}

func FuzzAssemble(f *testing.F) {
	m, _ := newStateMachineWithRecords(f, 10)
	s, err := m.Snapshot("S")
	require.NoError(f, err)
	chunks, err := Split(s, "a")
	require.NoError(f, err)
	b, err := json.Marshal(chunks[0])
	require.NoError(f, err)
	f.Add(b)
	f.Add([]byte(`{"Snapshot":"a","Stream":"S","Count":1000000000,"Index":5}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var c Chunk
		if json.Unmarshal(b, &c) != nil {
			return
		}
		a := NewAssembler("S")
		if a.Add(c) != nil {
			return
		}
		if s, ok := a.Newest(); ok {
			require.Equal(t, c.Next, s.Next)
		}
	})
}
