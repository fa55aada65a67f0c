package configuration

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/label"
)

// randomChange returns a change, often invalid, of one or two of a few objects.
func randomChange(t *testing.T, r *rand.Rand) Change {
	host := inventory.HostID(fmt.Sprintf("h%d", r.IntN(4)))
	pool := inventory.PoolID([]string{"Administration", "A", "B", "C"}[r.IntN(4)])
	labels := label.Set{"Pool": []string{"A", "B", "C"}[r.IntN(3)]}
	switch r.IntN(6) {
	case 0:
		return Change{Delete: []Key{{KindHost, string(host)}}}
	case 1:
		return Change{Delete: []Key{{KindPool, string(pool)}}}
	case 2:
		selectors := []string{"Pool=A", "Pool=B", "Pool in (B,C)", "Pool", "Host=h1", ""}
		return Change{Set: Objects{Pools: map[inventory.PoolID]Pool{pool: {Owner: "Corchos", Hosts: selector(t, selectors[r.IntN(len(selectors))])}}}}
	case 3:
		return Change{Delete: []Key{{KindDataCentre, "Montevideo"}, {KindHost, string(host)}}}
	}
	dc := inventory.DataCentreID([]string{"Montevideo", "Montevideo", "Nowhere"}[r.IntN(3)])
	return Change{Set: Objects{Hosts: map[inventory.HostID]Host{host: {Owner: "Corchos", DataCentre: dc, Labels: labels}}}}
}

// Applies random changes with the incremental claims index and without it. Both must
// accept the same changes, return the same errors and lead to the same index.
func TestIncrementalValidationMatchesFullValidation(t *testing.T) {
	accepted, rejected := 0, 0
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 1))
		cfg, err := Configuration{}.Apply(Change{Set: twoPools(t)}, 1)
		require.NoError(t, err)
		for v := Version(2); v < 60; v++ {
			c := randomChange(t, r)
			c.Base = v
			next, err := cfg.Apply(c, v)
			full := cfg
			full.claims = claims{}
			_, fullErr := full.Apply(c, v)
			require.Equal(t, fmt.Sprint(fullErr), fmt.Sprint(err), "seed %d version %d", seed, v)
			if err != nil {
				rejected++
				continue
			}
			accepted++
			require.NoError(t, next.Objects.Validate())
			want, err := newClaims(next.Objects)
			require.NoError(t, err)
			require.Equal(t, want.poolByHost, next.claims.poolByHost, "seed %d version %d", seed, v)
			for p := range next.Pools {
				require.Equal(t, want.hostCounts[p], next.claims.hostCounts[p])
			}
			cfg = next
		}
	}
	require.Greater(t, accepted, 100)
	require.Greater(t, rejected, 100)
}
