package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// decisionsAt returns the decisions of a planner at a number of seconds after startTime.
func (w *fixture) decisionsAt(p *Planner, second int, live ...inventory.HostID) []Decision {
	in := Input{
		Now: startTime.Add(time.Duration(second) * time.Second), Configuration: w.cfg, View: w.r.View(),
		List: inventory.HostList{At: startTime.Add(time.Duration(second) * time.Second)},
	}
	for _, id := range live {
		in.List.Hosts = append(in.List.Hosts, inventory.ListedHost{ID: id, State: inventory.HostLive})
	}
	return p.Decisions(in)
}

func allHosts(w *fixture) []inventory.HostID {
	var ids []inventory.HostID
	for id := range w.cfg.Hosts {
		ids = append(ids, id)
	}
	return ids
}

func TestFlappingLabelMovesNoHost(t *testing.T) {
	w, p := newFixture(t), NewPlanner()
	w.configure(waves(waveOf(true)))
	for second := range 12 {
		w.relabel("A0", []string{"B", "A"}[second%2])
		require.Empty(t, w.decisionsAt(p, second, allHosts(w)...))
	}
	w.relabel("A0", "B")
	require.Empty(t, w.decisionsAt(p, 20, allHosts(w)...))
	require.Empty(t, w.decisionsAt(p, 21, allHosts(w)...))
	require.Equal(t, []Decision{{KindGrant, Grant{Requests: []Request{{Host: "A0"}}}}}, w.decisionsAt(p, 22, allHosts(w)...))
}

func TestHealthFollowsHostListWithHysteresis(t *testing.T) {
	w, p := newFixture(t), NewPlanner()
	w.configure(waves(waveOf(true)))
	all := allHosts(w)
	without := make([]inventory.HostID, 0, len(all))
	for _, id := range all {
		if id != "A0" && id != "A1" {
			without = append(without, id)
		}
	}
	failed := Health{Failed: []inventory.HostID{"A0", "A1"}}
	require.Equal(t, []Decision{{KindHealth, failed}}, w.decisionsAt(p, 0, without...), "both hosts in one record")
	require.NoError(t, w.apply(KindHealth, failed))
	require.Empty(t, w.decisionsAt(p, 1, all...), "listed as live for a moment")
	require.Empty(t, w.decisionsAt(p, 4, without...), "missing again")
	require.Empty(t, w.decisionsAt(p, 7, all...))
	require.Equal(t, []Decision{{KindHealth, Health{Returned: []inventory.HostID{"A0", "A1"}}}}, w.decisionsAt(p, 12, all...))
}

func TestWaveThatDoesNotFitIsReportedBeforeItStarts(t *testing.T) {
	w, p := newFixture(t), NewPlanner()
	v := waveOf(false)
	v.Window = configuration.Duration(4 * time.Minute)
	w.configure(waves(v))
	require.Empty(t, w.decisionsAt(p, 0, allHosts(w)...))
	s := NewWaveStatus(startTime, w.cfg, w.r.View(), "W")
	require.Equal(t, WaveNoFit, s.State)
	require.Contains(t, s.Reason, "the window is 4m0s long")
	v.Window = configuration.Duration(time.Hour)
	w.configure(waves(v))
	d := w.decisionsAt(p, 10, allHosts(w)...)
	require.Len(t, d, 1)
	require.Equal(t, KindPass, d[0].Kind)
	require.Equal(t, startTime.Add(22*time.Second).Truncate(time.Minute).Add(12*time.Minute+10*time.Second), d[0].Body.(Pass).Forecast, "two rounds of six minutes")
}

func TestDrainTooCloseToWindowEndIsReleased(t *testing.T) {
	w, p := newFixture(t), NewPlanner()
	w.startPass()
	w.offset = 220 // one minute per offset, so the window closes 20 minutes later
	require.NoError(t, w.grantReboot("A0"))
	closing := int((4 * time.Hour).Seconds())
	require.Empty(t, w.decisionsAt(p, closing-301, allHosts(w)...))
	d := w.decisionsAt(p, closing-299, allHosts(w)...)
	require.Equal(t, KindRelease, d[0].Kind)
}
