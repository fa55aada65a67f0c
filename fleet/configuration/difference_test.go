package configuration

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/label"
)

func TestCompare(t *testing.T) {
	cfg, err := Configuration{}.Apply(Change{Set: twoPools(t)}, 1)
	require.NoError(t, err)
	c := Change{
		Base: 1,
		Set: Objects{
			Hosts: map[inventory.HostID]Host{"h2": {Owner: "Corchos", DataCentre: "Montevideo", Rack: "r1", Labels: label.Set{"Pool": "None"}}},
			Pools: map[inventory.PoolID]Pool{
				"A":              {Owner: "Corchos", Hosts: selector(t, "Pool=A"), Budget: Budget{MaxUnavailable: 500_000}},
				"Administration": {Owner: "Corchos"},
			},
			Teams: map[inventory.TeamID]Team{"T": {Owner: "Corchos"}},
		},
		Delete: []Key{{KindHost, "h3"}},
	}
	next, err := cfg.Apply(c, 2)
	require.NoError(t, err)
	d := Compare(cfg.Objects, next.Objects, c.Touched())
	require.Equal(t, Difference{
		Added:     []Key{{KindTeam, "T"}},
		Changed:   []Key{{KindHost, "h2"}, {KindPool, "A"}},
		Deleted:   []Key{{KindHost, "h3"}},
		Unchanged: []Key{{KindPool, "Administration"}},
		Budgets:   []inventory.PoolID{"A"},
		Moves:     []HostMove{{"h2", "A", "Administration"}, {"h3", "Administration", ""}},
	}, d)
}
