package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/pool"
)

// BenchmarkKeeper measures one tick of the keeper, and one view for readers after
// a record, at the letter's size.
func BenchmarkKeeper(b *testing.B) {
	w, err := newFleetWorld(letterShape, 1)
	require.NoError(b, err)
	b.Run("idle tick", func(b *testing.B) {
		w.now = time.Date(2026, 3, 3, 12, 0, 0, 0, time.UTC)
		for b.Loop() {
			w.now = w.now.Add(fleetTick)
			in := pool.Input{Now: w.now, Configuration: w.cfg, View: w.reducer.View(), List: w.list, Platform: w.told.Hosts()}
			in.List.At = w.now
			w.planner.Commands(in)
			w.planner.Decisions(in)
		}
	})
	b.Run("status of a wave", func(b *testing.B) {
		for b.Loop() {
			pool.NewWaveStatus(w.now, w.cfg, w.reducer.View(), "Corchos")
		}
	})
	b.Run("view after a record", func(b *testing.B) {
		for b.Loop() {
			require.NoError(b, w.record(pool.Decision{Kind: pool.KindHealth, Body: pool.Health{Failed: []inventory.HostID{"host-0001"}}}))
			require.NoError(b, w.record(pool.Decision{Kind: pool.KindHealth, Body: pool.Health{Returned: []inventory.HostID{"host-0001"}}}))
			w.reducer.View()
		}
	})
	w.now = time.Date(2026, 3, 3, 22, 0, 0, 0, time.UTC)
	for range 400 {
		w.now = w.now.Add(fleetTick)
		w.relist()
		require.NoError(b, w.tick())
	}
	require.Greater(b, len(w.reducer.View().Active), 500)
	b.Run("tick in a wave", func(b *testing.B) {
		for b.Loop() {
			w.now = w.now.Add(fleetTick)
			w.relist()
			require.NoError(b, w.tick())
		}
	})
}
