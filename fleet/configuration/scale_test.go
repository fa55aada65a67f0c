package configuration

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/label"
)

// largeConfiguration returns a configuration with 8,600 hosts in 111 pools.
func largeConfiguration(t testing.TB) Configuration {
	o := Objects{
		Owners:      map[inventory.OwnerID]Owner{"Corchos": {SparePool: "Pool-000"}},
		DataCentres: map[inventory.DataCentreID]DataCentre{},
		Hosts:       map[inventory.HostID]Host{},
		Pools:       map[inventory.PoolID]Pool{"Pool-000": {Owner: "Corchos"}},
	}
	for i := range 8 {
		o.DataCentres[inventory.DataCentreID(fmt.Sprintf("DC-%d", i))] = DataCentre{Region: "R"}
	}
	for i := 1; i < 111; i++ {
		s, err := label.Parse(fmt.Sprintf("Pool=%03d", i))
		require.NoError(t, err)
		o.Pools[inventory.PoolID(fmt.Sprintf("Pool-%03d", i))] = Pool{Owner: "Corchos", Hosts: s}
	}
	for i := range 8_600 {
		o.Hosts[inventory.HostID(fmt.Sprintf("host-%04d", i))] = Host{
			Owner: "Corchos", DataCentre: inventory.DataCentreID(fmt.Sprintf("DC-%d", i%8)),
			Rack:   inventory.RackID(fmt.Sprintf("rack-%d", i/40)),
			Labels: label.Set{"Pool": fmt.Sprintf("%03d", i%111)},
		}
	}
	cfg, err := Configuration{}.Apply(Change{Set: o}, 1)
	require.NoError(t, err)
	return cfg
}

func BenchmarkApply(b *testing.B) {
	cfg := largeConfiguration(b)
	host := cfg.Hosts["host-0001"]
	host.Labels = label.Set{"Pool": "007"}
	pool := cfg.Pools["Pool-005"]
	pool.Budget.MaxPerRack = 3
	changes := map[string]Objects{
		"one host": {Hosts: map[inventory.HostID]Host{"host-0001": host}},
		"one pool": {Pools: map[inventory.PoolID]Pool{"Pool-005": pool}},
		"one team": {Teams: map[inventory.TeamID]Team{"T": {Owner: "Corchos"}}},
	}
	for name, set := range changes {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				_, err := cfg.Apply(Change{Base: 1, Set: set}, 2)
				require.NoError(b, err)
			}
		})
	}
}
