package scheduling

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// successor returns a scheduler whose predecessor's host stopped in an orderly way, so that
// the predecessor has certainly ended, and which has restored what that one stored.
func successor(r Restored) (*Scheduler, time.Time) {
	cfg := testConfig()
	cfg.PreviousHeartbeatAge = -1
	s := New(testStart, cfg)
	s.Configure(testConfiguration())
	s.Restore(testStart, 0, r)
	return s, testStart
}

// firstMaintenance runs the scheduler for d with a store that answers at once and a host list
// that doesn't change, and returns the first host whose maintenance it orders, if any.
func firstMaintenance(s *Scheduler, now time.Time, hosts []Host, d time.Duration) HostID {
	for end := now.Add(d); now.Before(end); now = now.Add(balanceInterval) {
		s.ConfirmLeadership(now)
		s.HostsListed(now, now, hosts)
		s.Tick(now, 0)
		storeAll(s)
		for _, m := range actionsOf[Maintain](s.TakeActions()) {
			return m.Host
		}
	}
	return ""
}

// openWave is a wave of two hosts without workers, of which one at a time may be down.
func openWave() map[int64]WaveProgress {
	return map[int64]WaveProgress{1: {Wave: Wave{Number: 1, Hosts: []HostID{"m-2", "m-1"}, Duration: time.Minute, MaxCount: 1}}}
}

// handedOver is a successor with an open wave and a reservation of the host m-1.
func handedOver() (*Scheduler, time.Time) {
	waves := openWave()
	s, now := successor(Restored{Reserved: []HostID{"m-1"}, Waves: waves})
	s.RequestWave(now, 0, waves[1].Wave)
	return s, now
}

// A host in maintenance whose order the last leader could not record any more counts as down:
// the next leader took a second host of the wave down beside it (LIMIT).
func TestUnrecordedMaintenanceCountsAsDown(t *testing.T) {
	s, now := handedOver()
	hosts := []Host{{ID: "m-1", Pool: "p", State: HostMaintenance}, {ID: "m-2", Pool: "p", State: HostUp}}
	require.Empty(t, firstMaintenance(s, now, hosts, s.cfg.MaintenanceTime))
}

// While the last leader's unanswered order may still be executed, another host of the wave is
// maintained only after an order with a higher token for the reserved one (LIMIT).
func TestUnansweredMaintenanceCountsAsDown(t *testing.T) {
	s, now := handedOver()
	hosts := []Host{{ID: "m-1", Pool: "p", State: HostUp}, {ID: "m-2", Pool: "p", State: HostUp}}
	require.NotEqual(t, HostID("m-2"), firstMaintenance(s, now, hosts, maxOrderDelay))
}

// A wave whose end was recorded but not reported before a takeover stayed "running" for its
// operators for ever.
func TestRecordedEndOfWaveIsReportedAfterTakeover(t *testing.T) {
	waves := openWave()
	p := waves[1]
	p.Begun, p.Completed = p.Hosts, true
	s, now := successor(Restored{Waves: map[int64]WaveProgress{1: p}})
	s.RequestWave(now, 0, p.Wave)
	s.HostsListed(now, now, []Host{{ID: "m-1", Pool: "p", State: HostUp}, {ID: "m-2", Pool: "p", State: HostUp}})
	s.Tick(now, 0)
	require.Equal(t, []ReportWave{{Wave: 1, Completed: true}}, actionsOf[ReportWave](s.TakeActions()))
}
