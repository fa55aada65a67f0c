package scheduling

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/job"
)

// countDecisions counts the decisions with an event.
func countDecisions(actions []Action, event string) int {
	n := 0
	for _, a := range actions {
		if decision, ok := a.(Decision); ok && decision.Event == event {
			n++
		}
	}
	return n
}

// A step that fits no host is logged once, and no hosts are requested for it until a host
// that fits joins.
func TestStepThatFitsNoHostRequestsNone(t *testing.T) {
	large := job.Resources{CPU: 96000, MemMB: 100}
	tests := map[string]struct {
		resources job.Resources
		requires  string
		want      bool
	}{
		"too large for every host":              {large, "", true},
		"label of no host":                      {job.Resources{CPU: 1000}, "gpu", true},
		"label of one host":                     {job.Resources{CPU: 1000}, "ssd", false},
		"too large for the host with the label": {job.Resources{CPU: 48000}, "ssd", true},
		"fits":                                  {job.Resources{CPU: 64000, MemMB: 100}, "", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := New(testStart, testConfig())
			s.cfg.Term = 0
			s.Configure(testConfiguration())
			hosts := []Host{
				{ID: "m-1", Pool: "spare", State: HostUp, Capacity: job.Resources{CPU: 64000, MemMB: 131072}},
				{ID: "m-2", Pool: "spare", State: HostUp, Labels: []string{"ssd"}, Capacity: job.Resources{CPU: 32000, MemMB: 131072}},
			}
			s.HostsListed(testStart, testStart, hosts)
			j := testJob(1)
			j.Steps[0].Resources, j.Steps[0].Requires = tt.resources, tt.requires
			s.Accept(testStart, 0, j)
			now := testStart
			logged, moves := 0, 0
			for range 20 {
				now = now.Add(balanceInterval)
				s.ConfirmLeadership(now)
				s.HostsListed(now, now, hosts)
				s.Tick(now, 0)
				storeAll(s)
				s.Tick(now, 0)
				all := s.TakeActions()
				logged += countDecisions(all, "step fits no host")
				moves += len(actionsOf[Move](all))
			}
			if !tt.want {
				require.Zero(t, logged)
				require.NotZero(t, moves)
				return
			}
			require.Equal(t, 1, logged, "once")
			require.Zero(t, moves)
			hosts = append(hosts, Host{ID: "m-0", Pool: "spare", State: HostUp, Capacity: job.Resources{CPU: 500, MemMB: 100}})
			s.HostsListed(now, now, hosts)
			now = now.Add(balanceInterval)
			s.ConfirmLeadership(now)
			s.Tick(now, 0)
			require.Zero(t, countDecisions(s.TakeActions(), "step fits no host"), "not again when another host that doesn't fit joins")
			hosts = append(hosts, Host{ID: "m-3", Pool: "spare", State: HostUp, Labels: []string{"gpu", "ssd"}, Capacity: job.Resources{CPU: 128000, MemMB: 131072}})
			s.HostsListed(now, now, hosts)
			for range 3 {
				now = now.Add(balanceInterval)
				s.ConfirmLeadership(now)
				s.Tick(now, 0)
				storeAll(s)
			}
			all := s.TakeActions()
			require.Equal(t, 1, countDecisions(all, "step fits a host now"))
			require.NotEmpty(t, actionsOf[Move](all), "a host that fits is moved to the pool")
		})
	}
}
