package lease

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

func TestRankDistributesDutiesEvenly(t *testing.T) {
	const duties = 1000
	for _, n := range []int{3, 9, 72} {
		var hosts []inventory.EntryID
		for i := range n {
			hosts = append(hosts, inventory.EntryID(fmt.Sprint("entry-", i)))
		}
		first := make(map[inventory.EntryID]int)
		for d := range duties {
			first[Rank(Duty(fmt.Sprint("duty-", d)), hosts)[0]]++
		}
		require.Len(t, first, n, "every host is the first of some duty")
		for h, k := range first {
			require.LessOrEqual(t, k, 2*duties/n, "%s of %d hosts", h, n)
		}
	}
}
