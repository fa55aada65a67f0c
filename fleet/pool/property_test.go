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

// machine is a host at the platform that forgets answers and obeys epochs.
type machine struct {
	state  PlatformState
	reboot wave.RebootID
	epoch  int
	begun  map[wave.RebootID]int
}

func (m *machine) obey(c Command, epoch int) bool {
	if epoch < m.epoch {
		return false
	}
	m.epoch = epoch
	switch {
	case c.Verb == Drain && m.state == PlatformAdmitted:
		m.state = PlatformDraining
	case c.Verb == RestartHost && m.state == PlatformDrained && c.Reboot != m.reboot:
		m.state, m.reboot = PlatformRebooting, c.Reboot
		m.begun[c.Reboot]++
	case c.Verb == AdmitToSlots && m.state != PlatformRebooting:
		m.state = PlatformAdmitted
	}
	return true
}

// holder is a process that holds, or believes that it holds, the duty.
type holder struct {
	epoch   int
	planner *Planner
	told    *Told
	// seen is the view that the holder decides by; it may be old.
	seen *View
	cfg  configuration.Configuration
}

// history drives the real reducer and planners under random trouble.
type history struct {
	*world
	now      time.Time
	machines map[inventory.HostID]*machine
	down     map[inventory.HostID]bool
	epoch    int
	holders  []*holder
	list     []inventory.ListedHost
}

func newHistory(t testingT) *history {
	h := &history{world: newWorld(t), now: begin, machines: map[inventory.HostID]*machine{}, down: map[inventory.HostID]bool{}}
	for id := range h.cfg.Hosts {
		h.machines[id] = &machine{state: PlatformAdmitted, begun: map[wave.RebootID]int{}}
	}
	h.relist()
	h.takeOver()
	return h
}

func (h *history) relist() {
	h.list = nil
	for id := range h.machines {
		if !h.down[id] {
			h.list = append(h.list, inventory.ListedHost{ID: id, State: inventory.HostLive})
		}
	}
}

// takeOver gives the duty to a new holder; the last one goes on unaware.
func (h *history) takeOver() {
	h.epoch++
	h.holders = append(h.holders, &holder{epoch: h.epoch, planner: NewPlanner(), told: NewTold(), seen: h.r.View(), cfg: h.cfg})
	if len(h.holders) > 2 {
		h.holders = h.holders[1:]
	}
}

// tick lets a holder decide by its view. Appends and answers may be lost.
func (h *history) tick(o *holder, lose func() bool) {
	var drained []PlatformHost
	for id, m := range h.machines {
		if m.state == PlatformDrained {
			drained = append(drained, PlatformHost{ID: id, State: m.state, Reboot: m.reboot})
		}
	}
	o.told.Listed(h.now, drained)
	in := Input{Now: h.now, Configuration: o.cfg, View: o.seen, List: inventory.HostList{At: h.now, Hosts: h.list}, Platform: o.told.Hosts()}
	for _, c := range o.planner.Commands(in) {
		m := h.machines[c.Host]
		if h.down[c.Host] || lose() || !m.obey(c, o.epoch) || lose() {
			continue
		}
		o.told.Answered(h.now, PlatformHost{ID: c.Host, State: m.state, Reboot: m.reboot})
	}
	for _, d := range o.planner.Decisions(in) {
		if lose() || o.epoch != h.epoch {
			continue // lost on the way, or rejected by the fence
		}
		_ = h.do(d.Kind, d.Body)
		h.check()
	}
	if !lose() {
		o.seen, o.cfg = h.r.View(), h.cfg
	}
}

// check holds what must hold after each step.
func (h *history) check() {
	require.NoError(h.t, h.r.Verify(h.cfg))
	for d, c := range h.r.ledger.Domains() {
		limit := h.r.ledger.Limit(d)
		granted := c.Unavailable() - c.Failed
		require.LessOrEqual(h.t, granted, max(limit, 1), "%s: grants alone are past the limit", d)
		if c.Unavailable() > limit {
			require.Positive(h.t, c.Failed, "%s: past the limit without a failure: %+v", d, c)
			lasting := c.Failed + c.Draining + c.Rebooting
			require.False(h.t, c.Draining > 0 && lasting > limit, "%s: a host drains that had to be given back: %+v", d, c)
		}
	}
	for id, m := range h.machines {
		for reboot, n := range m.begun {
			require.Equal(h.t, 1, n, "%s: reboot %s was repeated", id, reboot)
		}
	}
}

func TestRandomHistoriesKeepThePromises(t *testing.T) {
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		require.NoError(t, f.Value.Set("20260302"))
	}
	var rebooted, moved, breached int
	rapid.Check(t, func(r *rapid.T) {
		h := newHistory(r)
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
				for _, m := range h.machines {
					if m.state == PlatformDraining || m.state == PlatformRebooting {
						m.state = PlatformDrained
					}
				}
			case "label":
				h.tryRelabel(host(), rapid.SampledFrom([]string{"A", "B", "None"}).Draw(r, "pool"))
			case "fail":
				for range rapid.IntRange(1, 3).Draw(r, "together") {
					id := host()
					h.down[id], h.machines[id].state = true, PlatformAdmitted
				}
				h.relist()
			case "return":
				h.down = map[inventory.HostID]bool{}
				h.relist()
			case "holder":
				h.takeOver()
			case "pause":
				h.set(waves(waveOf(rapid.Bool().Draw(r, "paused"))))
			}
			h.check()
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
	require.Positive(t, breached, "failures used up some budget")
}

// tryRelabel is relabel for a pool that may lose its last host, which is refused.
func (h *history) tryRelabel(id inventory.HostID, p string) {
	host := h.cfg.Hosts[id]
	host.Labels = label.Set{"Pool": p}
	c := configuration.Change{Base: h.cfg.Version, Set: configuration.Objects{Hosts: map[inventory.HostID]configuration.Host{id: host}}}
	if _, err := h.cfg.Apply(c, h.cfg.Version+1); err == nil {
		h.relabel(id, p)
	}
}

// checkTransfers requires that the transfers of each host join without a gap.
func (h *history) checkTransfers() {
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
