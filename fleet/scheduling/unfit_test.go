package scheduling

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/job"
)

func notes(actions []Action, event string) int {
	n := 0
	for _, a := range actions {
		if note, ok := a.(Note); ok && note.Event == event {
			n++
		}
	}
	return n
}

// A job that can't run on any host is named in the log at once, and asks for no hosts.
func TestAStepThatFitsNoHostAsksForNone(t *testing.T) {
	large := job.Resources{CPU: 96000, MemMB: 100}
	tests := map[string]struct {
		room     job.Resources
		requires string
		want     bool
	}{
		"too large for every host":      {large, "", true},
		"with a label that none has":    {job.Resources{CPU: 1000}, "gpu", true},
		"with a label that one has":     {job.Resources{CPU: 1000}, "ssd", false},
		"too large for the labeled one": {job.Resources{CPU: 48000}, "ssd", true},
		"fitting":                       {job.Resources{CPU: 64000, MemMB: 100}, "", false},
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
			j.Steps[0].Room, j.Steps[0].Requires = tt.room, tt.requires
			s.Accept(testStart, 0, j)
			now := testStart
			named, asked := 0, 0
			for range 20 {
				now = now.Add(balanceEvery)
				s.ConfirmLeadership(now)
				s.HostsListed(now, now, hosts)
				s.Tick(now, 0)
				storeAll(s)
				s.Tick(now, 0)
				all := s.TakeActions()
				named += notes(all, "step fits no host")
				asked += len(of[Move](all))
			}
			if !tt.want {
				require.Zero(t, named)
				require.NotZero(t, asked)
				return
			}
			require.Equal(t, 1, named, "once")
			require.Zero(t, asked)
			hosts = append(hosts, Host{ID: "m-0", Pool: "spare", State: HostUp, Capacity: job.Resources{CPU: 500, MemMB: 100}})
			s.HostsListed(now, now, hosts)
			now = now.Add(balanceEvery)
			s.ConfirmLeadership(now)
			s.Tick(now, 0)
			require.Zero(t, notes(s.TakeActions(), "step fits no host"), "not again for each host that doesn't fit either")
			hosts = append(hosts, Host{ID: "m-3", Pool: "spare", State: HostUp, Labels: []string{"gpu", "ssd"}, Capacity: job.Resources{CPU: 128000, MemMB: 131072}})
			s.HostsListed(now, now, hosts)
			for range 3 {
				now = now.Add(balanceEvery)
				s.ConfirmLeadership(now)
				s.Tick(now, 0)
				storeAll(s)
			}
			all := s.TakeActions()
			require.Equal(t, 1, notes(all, "step fits a host now"))
			require.NotEmpty(t, of[Move](all), "a host that fits is fetched")
		})
	}
}
