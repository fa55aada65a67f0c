package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/pool"
)

// BenchmarkKeeper measures a tick of the pool duty, and a read view after a record, at
// the target size.
func BenchmarkKeeper(b *testing.B) {
	sim, err := newFleetSimulation(targetShape, 1)
	require.NoError(b, err)
	b.Run("idle tick", func(b *testing.B) {
		sim.now = time.Date(2026, 3, 3, 12, 0, 0, 0, time.UTC)
		for b.Loop() {
			sim.now = sim.now.Add(fleetTick)
			in := pool.Input{Now: sim.now, Configuration: sim.cfg, View: sim.reducer.View(), List: sim.hostList, Platform: sim.platformCache.Hosts()}
			in.List.At = sim.now
			sim.planner.Commands(in)
			sim.planner.Decisions(in)
		}
	})
	b.Run("status of a wave", func(b *testing.B) {
		for b.Loop() {
			pool.NewWaveStatus(sim.now, sim.cfg, sim.reducer.View(), "Corchos")
		}
	})
	b.Run("view after a record", func(b *testing.B) {
		for b.Loop() {
			require.NoError(b, sim.record(pool.Decision{Kind: pool.KindHealth, Body: pool.Health{Failed: []inventory.HostID{"host-0001"}}}))
			require.NoError(b, sim.record(pool.Decision{Kind: pool.KindHealth, Body: pool.Health{Returned: []inventory.HostID{"host-0001"}}}))
			sim.reducer.View()
		}
	})
	sim.now = time.Date(2026, 3, 3, 22, 0, 0, 0, time.UTC)
	for range 400 {
		sim.now = sim.now.Add(fleetTick)
		sim.refreshHostList()
		require.NoError(b, sim.tick())
	}
	require.Greater(b, len(sim.reducer.View().Active), 500)
	b.Run("tick in a wave", func(b *testing.B) {
		for b.Loop() {
			sim.now = sim.now.Add(fleetTick)
			sim.refreshHostList()
			require.NoError(b, sim.tick())
		}
	})
}
