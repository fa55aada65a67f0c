package scheduling

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/job"
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

// A backfill task that the last leader had paused stayed paused for ever, as the next leader
// took it for one at full pace.
func TestPausedTaskResumesAfterTakeover(t *testing.T) {
	w := testWorker("w1")
	j := testJob(1)
	j.Steps[0].Backfill = true
	s, now := successor(Restored{Jobs: []job.Job{j}, Registry: []Entry{w}})
	s.Register(now, w)
	paused := Report{StartedAt: 1, ClockMs: 5, Running: []RunRow{{Task: job.Task{Job: testID}, Run: 1, Percent: 0}}}
	for range 10 {
		now = now.Add(paceInterval)
		s.Held(now, 0, w.Incarnation, 0, now, accepted, paused)
	}
	paces := actionsOf[Pace](s.TakeActions())
	require.NotEmpty(t, paces, "no task beside it has a target")
	require.Equal(t, 100, paces[len(paces)-1].Percent)
}

// A task that the last leader had slowed down beside one over its target was sped up by the
// next leader, which took it for one at full pace (HARM).
func TestTakeoverSpeedsUpNoSlowedTask(t *testing.T) {
	w := testWorker("w1")
	j := testJob(1)
	j.Steps[0].LongRunning, j.Steps[0].Target = true, 100*time.Millisecond
	backfill := j.Steps[0]
	backfill.Target, backfill.Backfill = 0, true
	j.Steps = append(j.Steps, backfill)
	s, now := successor(Restored{Jobs: []job.Job{j}, Registry: []Entry{w}})
	s.Register(now, w)
	const pace = 20
	s.Held(now, 0, w.Incarnation, 0, now, accepted, Report{StartedAt: 1, ClockMs: 5, Running: []RunRow{
		{Task: job.Task{Job: testID}, Run: 1, Percent: 100, Load: 150},
		{Task: job.Task{Job: testID, Step: 1}, Run: 1, Percent: pace},
	}})
	for _, p := range actionsOf[Pace](s.TakeActions()) {
		require.Less(t, p.Percent, pace)
	}
}

// An unanswered start of the last leader may still arrive at a worker that has restarted under
// its ID and hasn't seen the new token: the task also started on another worker (TWICE).
func TestTaskWaitsForRestartedWorkerAfterTakeover(t *testing.T) {
	w1, w2 := testWorker("w1"), testWorker("w2")
	s, now := successor(Restored{Jobs: []job.Job{testJob(1)}, Registry: []Entry{w1, w2}})
	w1.StartedAt = 2
	s.Register(now, w1)
	s.Register(now, w2)
	s.Held(now, 0, w2.Incarnation, 0, now, accepted, Report{StartedAt: 1, ClockMs: 5})
	s.Held(now, 0, w1.Incarnation, 0, now, Answer{Outcome: Unknown}, Report{})
	now = now.Add(placementInterval)
	tickStored(s, now)
	require.Empty(t, starts(s.TakeActions()))
}
