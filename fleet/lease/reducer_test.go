package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
)

func entry(t *testing.T, o journal.Offset, kind journal.Kind, body any) journal.Entry {
	t.Helper()
	r, err := journal.NewRecord("r", kind, time.Unix(0, 0), "e1", body)
	require.NoError(t, err)
	return journal.Entry{Offset: o, Record: r}
}

func TestFirstClaimOfAnEpochGetsTheDuty(t *testing.T) {
	r := NewReducer()
	require.NoError(t, r.Reduce(entry(t, 0, KindClaim, Claim{Duty: "Waves", Holder: "e1", From: 0})))
	require.ErrorIs(t, r.Reduce(entry(t, 1, KindClaim, Claim{Duty: "Waves", Holder: "e2", From: 0})), ErrClaimedByOther)
	require.Equal(t, Holding{Holder: "e1", Epoch: 1, Renewed: 0}, r.Holding("Waves"))
}

func TestPreviousHolderIsFenced(t *testing.T) {
	r := NewReducer()
	require.NoError(t, r.Reduce(entry(t, 0, KindClaim, Claim{Duty: "Waves", Holder: "e1", From: 0})))
	require.NoError(t, r.Reduce(entry(t, 1, KindClaim, Claim{Duty: "Waves", Holder: "e2", From: 1})))
	require.ErrorIs(t, r.Fence(journal.Record{Duty: "Waves", Epoch: 1}), journal.ErrStaleEpoch)
	require.NoError(t, r.Fence(journal.Record{Duty: "Waves", Epoch: 2}))
	require.ErrorIs(t, r.Reduce(entry(t, 2, KindRenew, Renew{Holder: "e1", Held: map[Duty]journal.Epoch{"Waves": 1}})), ErrNotHolder)
	require.ErrorIs(t, r.Reduce(entry(t, 3, KindRelease, Release{Duty: "Waves", Holder: "e1", Epoch: 1})), ErrNotHolder)
}

func TestRankKeepsItsOrderWhenAHostIsRemoved(t *testing.T) {
	all := []inventory.EntryID{"e1", "e2", "e3", "e4"}
	for _, d := range []Duty{"a", "b", "c", "d", "e", "f"} {
		first := Rank(d, all)
		var remaining []inventory.EntryID
		for _, h := range all {
			if h != first[3] {
				remaining = append(remaining, h)
			}
		}
		require.Equal(t, first[:3], Rank(d, remaining))
	}
}
