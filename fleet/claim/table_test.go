package claim

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
)

func digest(t *testing.T, tenant inventory.TenantID, service inventory.ServiceID, key string) Digest {
	t.Helper()
	d, err := NewDigest(tenant, service, key)
	require.NoError(t, err)
	return d
}

func record(t *testing.T, id string, at time.Time, g Group) journal.Record {
	t.Helper()
	r, err := journal.NewRecord(journal.RecordID(id), KindGroup, at, "e1", g)
	require.NoError(t, err)
	return r
}

func TestApplyClaimsAndReleases(t *testing.T) {
	k := digest(t, "Plant", "Orders", "k")
	claimed := func(id string) journal.Record { return record(t, id, time.Unix(0, 0), Group{Claims: []Digest{k}}) }
	released := func(id, of string) journal.Record {
		return record(t, id, time.Unix(0, 0), Group{Releases: []Release{{Key: k, Record: journal.RecordID(of)}}})
	}
	tests := []struct {
		name    string
		records []journal.Record
		want    journal.RecordID
	}{
		{"the first claim holds the key", []journal.Record{claimed("1"), claimed("2")}, "1"},
		{"a release releases the key", []journal.Record{claimed("1"), released("2", "1")}, ""},
		{"the next claim after a release holds the key", []journal.Record{claimed("1"), released("2", "1"), claimed("3")}, "3"},
		{"a release of another claim has no effect", []journal.Record{claimed("1"), claimed("2"), released("3", "2")}, "1"},
		{"a second release of a claim does not release a later claim", []journal.Record{claimed("1"), released("2", "1"), claimed("3"), released("4", "1")}, "3"},
		{"a repeated record does not claim a released key again", []journal.Record{claimed("1"), released("2", "1"), claimed("1")}, ""},
		{"a record of another kind is ignored", []journal.Record{{ID: "1", Kind: "Other"}, claimed("2")}, "2"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := NewTable()
			for _, r := range test.records {
				require.NoError(t, table.Apply(r))
			}
			holder, ok := table.Holder(k)
			require.Equal(t, test.want, holder)
			require.Equal(t, test.want != "", ok)
		})
	}
}

func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	start := time.Unix(0, 0)
	const groups = 100
	for i := range groups {
		var g Group
		for j := range (MaxClaims + claimHeadroom) / groups {
			g.Claims = append(g.Claims, digest(t, "Plant", "Orders", strconv.Itoa(i)+"-"+strconv.Itoa(j)))
		}
		require.NoError(t, table.Apply(record(t, strconv.Itoa(i), start.Add(time.Duration(i)*time.Second), g)))
	}
	require.True(t, table.IsFull(start.Add(time.Minute)), "a further claim would evict a recent one")
	require.False(t, table.IsFull(start.Add(KeyRetention+groups*time.Second)))
	_, ok := table.Holder(digest(t, "Plant", "Orders", "0-0"))
	require.True(t, ok)
	require.NoError(t, table.Apply(record(t, "last", start, Group{Claims: make([]Digest, 1)})))
	require.LessOrEqual(t, len(table.holders), MaxClaims+claimHeadroom)
}

func TestDigestIsScopedToTenantAndService(t *testing.T) {
	base := digest(t, "Plant", "Orders", "k")
	require.NotEqual(t, base, digest(t, "OrderDesk", "Orders", "k"))
	require.NotEqual(t, base, digest(t, "Plant", "Prices", "k"))
	require.NotEqual(t, base, digest(t, "Plant", "Orders", "l"))
	require.Equal(t, base, digest(t, "Plant", "Orders", "k"))
	for _, bad := range []string{"", " ", "a b", "a\n", "é", string(make([]byte, MaxKeyBytes+1))} {
		_, err := NewDigest("Plant", "Orders", bad)
		require.ErrorIs(t, err, ErrInvalidKey, "%q", bad)
	}
}
