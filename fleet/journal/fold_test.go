package journal

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"
)

// total is a reducer that adds numbers and rejects negative ones.
type total struct{ sum int }

func (*total) Kinds() []Kind { return []Kind{"Add"} }

func (t *total) Reduce(e Entry) error {
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

func (t *total) MarshalState() ([]byte, error) { return json.Marshal(t.sum) }

func (t *total) UnmarshalState(b []byte) error { return json.Unmarshal(b, &t.sum) }

func encoded(t *testing.T, id RecordID, kind Kind, body any) []byte {
	t.Helper()
	r, err := NewRecord(id, kind, time.Unix(0, 0), "e1", body)
	require.NoError(t, err)
	b, err := r.Encode()
	require.NoError(t, err)
	return b
}

func TestFoldGivesEachRecordAVerdict(t *testing.T) {
	tests := []struct {
		name string
		raw  []byte
		want Outcome
	}{
		{"a good record", encoded(t, "a", "Add", 2), Accepted},
		{"its repeat", encoded(t, "a", "Add", 2), Duplicate},
		{"a rejected one", encoded(t, "b", "Add", -1), Rejected},
		{"an unknown kind", encoded(t, "c", "Later", 1), Unknown},
		{"a body of another type", encoded(t, "d", "Add", "two"), Unreadable},
		{"no record at all", []byte("\x00\xff{"), Unreadable},
		{"a record without identity", []byte(`{"Kind":"Add","Schema":1}`), Unreadable},
		{"the next good record", encoded(t, "e", "Add", 3), Accepted},
	}
	sum := &total{}
	f := NewFold(nil, sum)
	for i, test := range tests {
		v, err := f.Apply(Offset(i), test.raw)
		require.NoError(t, err, test.name)
		require.Equal(t, test.want, v.Outcome, test.name)
	}
	require.Equal(t, 5, sum.sum)
	require.Equal(t, Offset(len(tests)), f.Next())
}

func TestFoldRefusesGapsAndRepeatsOfOffsets(t *testing.T) {
	f := NewFold(nil, &total{})
	_, err := f.Apply(1, encoded(t, "a", "Add", 1))
	require.ErrorIs(t, err, ErrGap)
	_, err = f.Apply(0, encoded(t, "a", "Add", 1))
	require.NoError(t, err)
	_, err = f.Apply(0, encoded(t, "b", "Add", 1))
	require.ErrorIs(t, err, ErrGap)
}

func TestDigestTellsDifferentHistoriesApart(t *testing.T) {
	digest := func(raws ...[]byte) uint64 {
		f := NewFold(nil, &total{})
		for i, raw := range raws {
			_, err := f.Apply(Offset(i), raw)
			require.NoError(t, err)
		}
		return f.Digest()
	}
	a, b := encoded(t, "a", "Add", 1), encoded(t, "b", "Add", 1)
	require.Equal(t, digest(a, b), digest(a, b))
	require.NotEqual(t, digest(a, b), digest(b, a))
}

func TestWindowForgetsTheOldestOnly(t *testing.T) {
	w := NewWindow[int](3)
	for i := range 5 {
		w.Add(i)
		w.Add(i)
	}
	require.Equal(t, []int{2, 3, 4}, w.Items())
	require.False(t, w.Contains(1))
	require.True(t, w.Contains(4))
}
