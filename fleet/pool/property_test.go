package pool

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/label"
	"github.com/godwitcross/godwitcross/fleet/wave"
)

// fakePlatformHost is the platform's side of a host. It rejects commands of older epochs.
type fakePlatformHost struct {
	state      PlatformState
	reboot     wave.RebootID
	epoch      int
	rebootRuns map[wave.RebootID]int
}

func (m *fakePlatformHost) execute(c Command, epoch int) bool {
	if epoch < m.epoch {
		return false
	}
	m.epoch = epoch
	switch {
	case c.Verb == Drain && m.state == PlatformAdmitted:
		m.state = PlatformDraining
	case c.Verb == RestartHost && m.state == PlatformDrained && c.Reboot != m.reboot:
		m.state, m.reboot = PlatformRebooting, c.Reboot
		m.rebootRuns[c.Reboot]++
	case c.Verb == AdmitToSlots && m.state != PlatformRebooting:
		m.state = PlatformAdmitted
	}
	return true
}

// holder is a process that holds the duty or does not know yet that it lost it.
type holder struct {
	epoch   int
	planner *Planner
	cache   *PlatformCache
	// view is the view from which the holder decides. It may be stale.
	view *View
	cfg  configuration.Configuration
}

// simulation runs the real reducer and planners with random faults.
type simulation struct {
	*fixture
	now           time.Time
	platformHosts map[inventory.HostID]*fakePlatformHost
	down          map[inventory.HostID]bool
	epoch         int
	holders       []*holder
	list          []inventory.ListedHost
}

func newSimulation(t testingT) *simulation {
	h := &simulation{fixture: newFixture(t), now: startTime, platformHosts: map[inventory.HostID]*fakePlatformHost{}, down: map[inventory.HostID]bool{}}
	for id := range h.cfg.Hosts {
		h.platformHosts[id] = &fakePlatformHost{state: PlatformAdmitted, rebootRuns: map[wave.RebootID]int{}}
	}
	h.refreshList()
	h.takeOver()
	return h
}

func (h *simulation) refreshList() {
	h.list = nil
	for id := range h.platformHosts {
		if !h.down[id] {
			h.list = append(h.list, inventory.ListedHost{ID: id, State: inventory.HostLive})
		}
	}
}

// takeOver gives the duty to a new holder. The previous one continues unaware.
func (h *simulation) takeOver() {
	h.epoch++
	h.holders = append(h.holders, &holder{epoch: h.epoch, planner: NewPlanner(), cache: NewPlatformCache(), view: h.r.View(), cfg: h.cfg})
	if len(h.holders) > 2 {
		h.holders = h.holders[1:]
	}
}

// tick runs one plan of a holder. Commands, answers and appends may be lost.
func (h *simulation) tick(o *holder, lose func() bool) {
	var drained []PlatformHost
	for id, m := range h.platformHosts {
		if m.state == PlatformDrained {
			drained = append(drained, PlatformHost{ID: id, State: m.state, Reboot: m.reboot})
		}
	}
	o.cache.SetDrained(h.now, drained)
	in := Input{Now: h.now, Configuration: o.cfg, View: o.view, List: inventory.HostList{At: h.now, Hosts: h.list}, Platform: o.cache.Hosts()}
	for _, c := range o.planner.Commands(in) {
		m := h.platformHosts[c.Host]
		if h.down[c.Host] || lose() || !m.execute(c, o.epoch) || lose() {
			continue
		}
		o.cache.SetHost(h.now, PlatformHost{ID: c.Host, State: m.state, Reboot: m.reboot})
	}
	for _, d := range o.planner.Decisions(in) {
		if lose() || o.epoch != h.epoch {
			continue // the append is lost, or rejected because of its older epoch
		}
		_ = h.apply(d.Kind, d.Body)
		h.checkInvariants()
	}
	if !lose() {
		o.view, o.cfg = h.r.View(), h.cfg
	}
}

// checkInvariants verifies what must be true after each step.
func (h *simulation) checkInvariants() {
	require.NoError(h.t, h.r.Verify(h.cfg))
	for d, c := range h.r.ledger.Domains() {
		limit := h.r.ledger.Limit(d)
		granted := c.Unavailable() - c.Failed
		require.LessOrEqual(h.t, granted, max(limit, 1), "%s: grants alone exceed the limit", d)
		if c.Unavailable() > limit {
			require.Positive(h.t, c.Failed, "%s: over the limit without a failure: %+v", d, c)
			lasting := c.Failed + c.Draining + c.Rebooting
			require.False(h.t, c.Draining > 0 && lasting > limit, "%s: a draining host should have been released: %+v", d, c)
		}
	}
	for id, m := range h.platformHosts {
		for reboot, n := range m.rebootRuns {
			require.Equal(h.t, 1, n, "%s: reboot %s was repeated", id, reboot)
		}
	}
}

func TestRandomHistoriesPreserveInvariants(t *testing.T) {
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		require.NoError(t, f.Value.Set("20260302"))
	}
	var rebooted, moved, breached int
	rapid.Check(t, func(r *rapid.T) {
		h := newSimulation(r)
		hosts := make([]inventory.HostID, 0, 8)
		for i := range 4 {
			hosts = append(hosts, inventory.HostID(fmt.Sprintf("A%d", i)), inventory.HostID(fmt.Sprintf("B%d", i)))
		}
		lose := func() bool { return rapid.IntRange(0, 9).Draw(r, "loss") == 9 }
		host := func() inventory.HostID { return rapid.SampledFrom(hosts).Draw(r, "host") }
		for range rapid.IntRange(20, 120).Draw(r, "steps") {
			h.now = h.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(r, "seconds")) * time.Second)
			switch rapid.SampledFrom([]string{"tick", "tick", "tick", "tick", "machine", "machine", "label", "fail", "return", "holder", "pause"}).Draw(r, "step") {
			case "tick":
				h.tick(rapid.SampledFrom(h.holders).Draw(r, "holder"), lose)
				h.tick(h.holders[len(h.holders)-1], lose)
			case "machine":
				for _, m := range h.platformHosts {
					if m.state == PlatformDraining || m.state == PlatformRebooting {
						m.state = PlatformDrained
					}
				}
			case "label":
				h.tryRelabel(host(), rapid.SampledFrom([]string{"A", "B", "None"}).Draw(r, "pool"))
			case "fail":
				for range rapid.IntRange(1, 3).Draw(r, "together") {
					id := host()
					h.down[id], h.platformHosts[id].state = true, PlatformAdmitted
				}
				h.refreshList()
			case "return":
				h.down = map[inventory.HostID]bool{}
				h.refreshList()
			case "holder":
				h.takeOver()
			case "pause":
				h.configure(waves(waveOf(rapid.Bool().Draw(r, "paused"))))
			}
			h.checkInvariants()
			if len(h.r.View().Breaches) > 0 {
				breached++
			}
		}
		rebooted += len(h.r.waves["W"].Rebooted)
		for _, x := range h.transfers {
			if x.From != "" {
				moved++
			}
		}
		h.checkTransfers()
	})
	require.Positive(t, rebooted, "some hosts were rebooted")
	require.Positive(t, moved, "some hosts moved")
	require.Positive(t, breached, "failures exceeded some budget")
}

// tryRelabel calls relabel unless the configuration rejects the change, because a pool
// would lose its last host.
func (h *simulation) tryRelabel(id inventory.HostID, p string) {
	host := h.cfg.Hosts[id]
	host.Labels = label.Set{"Pool": p}
	c := configuration.Change{Base: h.cfg.Version, Set: configuration.Objects{Hosts: map[inventory.HostID]configuration.Host{id: host}}}
	if _, err := h.cfg.Apply(c, h.cfg.Version+1); err == nil {
		h.relabel(id, p)
	}
}

// checkTransfers requires that the transfers of each host have no gap.
func (h *simulation) checkTransfers() {
	last := map[inventory.HostID]Transfer{}
	for _, x := range h.transfers {
		if before, ok := last[x.Host]; ok {
			require.Equal(h.t, before.To, x.From)
			require.False(h.t, x.At.Before(before.At))
		}
		last[x.Host] = x
	}
	for id, x := range last {
		require.Equal(h.t, h.r.hosts[id].Pool, x.To)
	}
}
