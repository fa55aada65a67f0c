package journal

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"
)

// sumReducer is a reducer that adds numbers and rejects negative ones.
type sumReducer struct{ sum int }

func (*sumReducer) Kinds() []Kind { return []Kind{"Add"} }

func (t *sumReducer) Reduce(e Entry) error {
	n, err := DecodeBody[int](e.Record)
	if err != nil {
		return err
	}
	if n < 0 {
		return eris.New("negative")
	}
	t.sum += n
	return nil
}

func (t *sumReducer) MarshalState() ([]byte, error) { return json.Marshal(t.sum) }

func (t *sumReducer) UnmarshalState(b []byte) error { return json.Unmarshal(b, &t.sum) }

func encodeRecord(t *testing.T, id RecordID, kind Kind, body any) []byte {
	t.Helper()
	r, err := NewRecord(id, kind, time.Unix(0, 0), "e1", body)
	require.NoError(t, err)
	b, err := r.Encode()
	require.NoError(t, err)
	return b
}

func TestApplyOutcomes(t *testing.T) {
	tests := []struct {
		name string
		raw  []byte
		want Outcome
	}{
		{"a valid record", encodeRecord(t, "a", "Add", 2), Accepted},
		{"a repeat of it", encodeRecord(t, "a", "Add", 2), Duplicate},
		{"a record that the reducer rejects", encodeRecord(t, "b", "Add", -1), Rejected},
		{"an unknown kind", encodeRecord(t, "c", "Later", 1), Unknown},
		{"a body of another type", encodeRecord(t, "d", "Add", "two"), Unreadable},
		{"bytes that are no record", []byte("\x00\xff{"), Unreadable},
		{"a record without an ID", []byte(`{"Kind":"Add","Schema":1}`), Unreadable},
		{"the next valid record", encodeRecord(t, "e", "Add", 3), Accepted},
	}
	sum := &sumReducer{}
	f := NewStateMachine(nil, sum)
	for i, test := range tests {
		result, err := f.Apply(Offset(i), test.raw)
		require.NoError(t, err, test.name)
		require.Equal(t, test.want, result.Outcome, test.name)
	}
	require.Equal(t, 5, sum.sum)
	require.Equal(t, Offset(len(tests)), f.NextOffset())
}

func TestApplyRefusesOffsetsOutOfOrder(t *testing.T) {
	f := NewStateMachine(nil, &sumReducer{})
	_, err := f.Apply(1, encodeRecord(t, "a", "Add", 1))
	require.ErrorIs(t, err, ErrGap)
	_, err = f.Apply(0, encodeRecord(t, "a", "Add", 1))
	require.NoError(t, err)
	_, err = f.Apply(0, encodeRecord(t, "b", "Add", 1))
	require.ErrorIs(t, err, ErrGap)
}

func TestDigestDependsOnOrderOfRecords(t *testing.T) {
	digest := func(raws ...[]byte) uint64 {
		f := NewStateMachine(nil, &sumReducer{})
		for i, raw := range raws {
			_, err := f.Apply(Offset(i), raw)
			require.NoError(t, err)
		}
		return f.Digest()
	}
	a, b := encodeRecord(t, "a", "Add", 1), encodeRecord(t, "b", "Add", 1)
	require.Equal(t, digest(a, b), digest(a, b))
	require.NotEqual(t, digest(a, b), digest(b, a))
}

func TestWindowEvictsOnlyTheOldest(t *testing.T) {
	w := NewWindow[int](3)
	for i := range 5 {
		w.Add(i)
		w.Add(i)
	}
	require.Equal(t, []int{2, 3, 4}, w.Items())
	require.False(t, w.Contains(1))
	require.True(t, w.Contains(4))
}
