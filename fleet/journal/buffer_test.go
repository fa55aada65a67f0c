package journal

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestBufferRulesDuringOutage(t *testing.T) {
	cfg := BufferConfig{MaxRecords: 4, Rules: map[Kind]BufferRule{"Renew": Coalesce, "Claim": Refuse}}
	tests := []struct {
		name          string
		maybeAppended bool
		refused       []string
		left          []string
	}{
		{"a send that certainly failed refuses claims", false, []string{"c1"}, []string{"k1", "r1"}},
		{"a lost answer keeps all sent records", true, nil, []string{"c1", "k1", "r1"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := NewBuffer[string](cfg)
			for _, r := range []struct {
				kind  Kind
				token string
			}{{"Claim", "c1"}, {"Keep", "k1"}, {"Renew", "r1"}} {
				_, _, err := b.Add(Record{Kind: r.kind, By: "e1"}, r.token)
				require.NoError(t, err)
			}
			b.Take(10)
			require.ElementsMatch(t, test.refused, b.Fail(test.maybeAppended))
			_, _, err := b.Add(Record{Kind: "Claim", By: "e1"}, "c2")
			require.ErrorIs(t, err, ErrLogUnavailable)
			old, ok, err := b.Add(Record{Kind: "Renew", By: "e1"}, "r2")
			require.NoError(t, err)
			require.Equal(t, !test.maybeAppended, ok, "only a record that is certainly not in the log is superseded")
			if ok {
				require.Equal(t, "r1", old)
				test.left[len(test.left)-1] = "r2"
			} else {
				test.left = append(test.left, "r2")
			}
			b.Take(10)
			require.Equal(t, test.left, b.Succeed())
		})
	}
}

func TestBufferIsBounded(t *testing.T) {
	b := NewBuffer[int](BufferConfig{MaxRecords: 2})
	for i := range 2 {
		_, _, err := b.Add(Record{Kind: "K"}, i)
		require.NoError(t, err)
	}
	b.Take(1)
	_, _, err := b.Add(Record{Kind: "K"}, 2)
	require.ErrorIs(t, err, ErrBufferFull)
}

func TestRemoveReportsWhetherRecordMayBeInLog(t *testing.T) {
	b := NewBuffer[string](BufferConfig{MaxRecords: 4})
	for _, token := range []string{"sent", "waiting"} {
		_, _, err := b.Add(Record{Kind: "K"}, token)
		require.NoError(t, err)
	}
	b.Take(1)
	require.False(t, b.Remove("waiting"))
	require.True(t, b.Remove("sent"))
	require.Empty(t, b.Fail(true))
	require.Zero(t, b.Len(), "a removed record is not sent again")
}

func TestBackoffSpreadsRetriesOfManyHosts(t *testing.T) {
	const hosts, streams, appendsPerSecond = 72, 4, 400
	calls := make(map[time.Duration]int)
	for h := range hosts * streams {
		rnd := rand.New(rand.NewPCG(1, uint64(h)))
		at, failures := time.Duration(0), 0
		for at < time.Minute {
			failures++
			at += Backoff(failures, rnd)
			calls[at.Truncate(time.Second)]++
		}
	}
	for second, n := range calls {
		if second >= 20*time.Second {
			require.Less(t, n, appendsPerSecond, "in second %s of the outage", second)
		}
	}
}

func TestRepeatBeyondWindowIsRejected(t *testing.T) {
	sum := &sumReducer{}
	f := NewStateMachine(nil, sum)
	f.seen = NewWindow[idDigest](2)
	r, err := NewRecord("a", "Add", time.Unix(0, 0), "e1", 1)
	require.NoError(t, err)
	r.Before = 2
	raw, err := r.Encode()
	require.NoError(t, err)
	var outcomes []Outcome
	for i, b := range [][]byte{raw, encodeRecord(t, "b", "Add", 1), raw, encodeRecord(t, "c", "Add", 1), raw} {
		result, err := f.Apply(Offset(i), b)
		require.NoError(t, err)
		outcomes = append(outcomes, result.Outcome)
	}
	require.Equal(t, []Outcome{Accepted, Accepted, Duplicate, Accepted, Rejected}, outcomes)
	require.Equal(t, 3, sum.sum)
}
