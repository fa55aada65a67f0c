package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// plan returns the decisions of a planner some seconds after the beginning.
func (w *world) plan(p *Planner, second int, live ...inventory.HostID) []Decision {
	in := Input{
		Now: begin.Add(time.Duration(second) * time.Second), Configuration: w.cfg, View: w.r.View(),
		List: inventory.HostList{At: begin.Add(time.Duration(second) * time.Second)},
	}
	for _, id := range live {
		in.List.Hosts = append(in.List.Hosts, inventory.ListedHost{ID: id, State: inventory.HostLive})
	}
	return p.Decisions(in)
}

func allHosts(w *world) []inventory.HostID {
	var ids []inventory.HostID
	for id := range w.cfg.Hosts {
		ids = append(ids, id)
	}
	return ids
}

func TestALabelThatChangesBackMovesNothing(t *testing.T) {
	w, p := newWorld(t), NewPlanner()
	w.set(waves(waveOf(true)))
	for second := range 12 {
		w.relabel("A0", []string{"B", "A"}[second%2])
		require.Empty(t, w.plan(p, second, allHosts(w)...))
	}
	w.relabel("A0", "B")
	require.Empty(t, w.plan(p, 20, allHosts(w)...))
	require.Empty(t, w.plan(p, 21, allHosts(w)...))
	require.Equal(t, []Decision{{KindGrant, Grant{Requests: []Request{{Host: "A0"}}}}}, w.plan(p, 22, allHosts(w)...))
}

func TestHealthFollowsTheListWithHysteresis(t *testing.T) {
	w, p := newWorld(t), NewPlanner()
	w.set(waves(waveOf(true)))
	all := allHosts(w)
	without := make([]inventory.HostID, 0, len(all))
	for _, id := range all {
		if id != "A0" && id != "A1" {
			without = append(without, id)
		}
	}
	failed := Health{Failed: []inventory.HostID{"A0", "A1"}}
	require.Equal(t, []Decision{{KindHealth, failed}}, w.plan(p, 0, without...), "together, in one record")
	require.NoError(t, w.do(KindHealth, failed))
	require.Empty(t, w.plan(p, 1, all...), "back for a moment")
	require.Empty(t, w.plan(p, 4, without...), "and gone again")
	require.Empty(t, w.plan(p, 7, all...))
	require.Equal(t, []Decision{{KindHealth, Health{Returned: []inventory.HostID{"A0", "A1"}}}}, w.plan(p, 12, all...))
}

func TestAWaveThatCannotFitSaysSoBeforeItStarts(t *testing.T) {
	w, p := newWorld(t), NewPlanner()
	v := waveOf(false)
	v.Window = configuration.Duration(4 * time.Minute)
	w.set(waves(v))
	require.Empty(t, w.plan(p, 0, allHosts(w)...))
	s := NewWaveStatus(begin, w.cfg, w.r.View(), "W")
	require.Equal(t, WaveNoFit, s.State)
	require.Contains(t, s.Reason, "the window is 4m0s long")
	v.Window = configuration.Duration(time.Hour)
	w.set(waves(v))
	d := w.plan(p, 10, allHosts(w)...)
	require.Len(t, d, 1)
	require.Equal(t, KindPass, d[0].Kind)
	require.Equal(t, begin.Add(22*time.Second).Truncate(time.Minute).Add(12*time.Minute+10*time.Second), d[0].Body.(Pass).Forecast, "two rounds of six minutes")
}

func TestADrainThatLeavesNoTimeIsGivenBack(t *testing.T) {
	w, p := newWorld(t), NewPlanner()
	w.start()
	w.offset = 220 // a minute each, so the window closes 20 minutes later
	require.NoError(t, w.maintain("A0"))
	closing := int((4 * time.Hour).Seconds())
	require.Empty(t, w.plan(p, closing-301, allHosts(w)...))
	d := w.plan(p, closing-299, allHosts(w)...)
	require.Equal(t, KindGiveBack, d[0].Kind)
}
