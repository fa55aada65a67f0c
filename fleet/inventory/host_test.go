package inventory

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestUpdateTransformsAnyListIntoAnyOther checks that applying an update, partial or
// complete, gives the newer list and leaves the older one unchanged.
func TestUpdateTransformsAnyListIntoAnyOther(t *testing.T) {
	at := time.Unix(1000, 0)
	lists := []HostList{
		{},
		{At: at, Version: 1, Hosts: []ListedHost{{ID: "a", State: HostLive}}},
		{At: at.Add(1), Version: 2, Hosts: []ListedHost{{ID: "a", State: HostLeaving}, {ID: "b", State: HostLive}}},
		{At: at.Add(2), Version: 3, Hosts: []ListedHost{{ID: "b", State: HostLive}}},
	}
	for _, older := range lists {
		for _, newer := range lists {
			before := slices.Clone(older.Hosts)
			got := older.Apply(newer.UpdateFrom(older))
			slices.SortFunc(got.Hosts, func(a, b ListedHost) int { return cmp.Compare(a.ID, b.ID) })
			require.Equal(t, newer.Version, got.Version)
			require.ElementsMatch(t, newer.Hosts, got.Hosts)
			require.Equal(t, before, older.Hosts)
			whole := older.Apply(HostListUpdate{At: newer.At, Version: newer.Version, Whole: true, Hosts: newer.Hosts})
			require.ElementsMatch(t, newer.Hosts, whole.Hosts)
		}
	}
}
