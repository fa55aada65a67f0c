package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/budget"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/label"
	"github.com/godwitcross/godwitcross/fleet/wave"
)

var startTime = time.Date(2026, 3, 2, 22, 0, 0, 0, time.UTC)

// testingT is implemented by the standard library's and by rapid's test types.
type testingT interface {
	require.TestingT
	Helper()
}

// fixture is a reducer with a configuration of two owners. Pools A and B have four hosts
// each, in two racks, and budgets for two unavailable hosts, one per rack.
type fixture struct {
	t         testingT
	r         *Reducer
	cfg       configuration.Configuration
	offset    journal.Offset
	transfers []Transfer
}

func (w *fixture) Transferred(t Transfer) { w.transfers = append(w.transfers, t) }

func newFixture(t testingT) *fixture {
	w := &fixture{t: t}
	w.r = NewReducer(w)
	o := configuration.Objects{
		Owners:      map[inventory.OwnerID]configuration.Owner{"Corchos": {SparePool: "Spare"}, "Campanella": {SparePool: "FrontDesk"}},
		DataCentres: map[inventory.DataCentreID]configuration.DataCentre{"M": {Region: "R"}},
		Hosts:       map[inventory.HostID]configuration.Host{},
		Pools: map[inventory.PoolID]configuration.Pool{
			"Spare": {Owner: "Corchos"}, "FrontDesk": {Owner: "Campanella"},
			"A": poolOf(t, "Corchos", "A"), "B": poolOf(t, "Campanella", "B"),
		},
		Waves: map[inventory.WaveID]configuration.Wave{"W": waveOf(false)},
	}
	for _, p := range []string{"A", "B"} {
		for i := range 4 {
			o.Hosts[inventory.HostID(fmt.Sprintf("%s%d", p, i))] = hostOf(p, fmt.Sprintf("r%d", i/2))
		}
	}
	w.configure(o)
	return w
}

func hostOf(p, rack string) configuration.Host {
	return configuration.Host{Owner: "Corchos", DataCentre: "M", Rack: inventory.RackID(rack), Labels: labelsOf(p)}
}

// labelsOf returns the labels that assign a host to a pool. Pool B has another owner than
// the hosts, so the hosts are lent to that owner.
func labelsOf(p string) label.Set {
	if p == "B" {
		return label.Set{"Pool": p, configuration.LabelLentTo: "Campanella"}
	}
	return label.Set{"Pool": p}
}

func poolOf(t testingT, owner inventory.OwnerID, p string) configuration.Pool {
	s, err := label.Parse("Pool=" + p)
	require.NoError(t, err)
	return configuration.Pool{Owner: owner, Hosts: s, Budget: configuration.Budget{MaxUnavailable: 500_000, MaxPerRack: 1}}
}

func waveOf(paused bool) configuration.Wave {
	return configuration.Wave{Owner: "Corchos", Pools: []inventory.PoolID{"A"}, Start: configuration.Duration(22 * time.Hour), Paused: paused}
}

// configure applies a configuration change that sets objects.
func (w *fixture) configure(o configuration.Objects) {
	w.t.Helper()
	w.offset++
	cfg, err := w.cfg.Apply(configuration.Change{Base: w.cfg.Version, Set: o}, configuration.Version(w.offset))
	require.NoError(w.t, err)
	w.cfg = cfg
	w.r.Configure(cfg, cfg.Touched(), w.entry("Configuration.Change", nil))
	require.NoError(w.t, w.r.Verify(w.cfg))
}

// relabel changes the desired pool of a host.
func (w *fixture) relabel(h inventory.HostID, p string) {
	w.t.Helper()
	host := w.cfg.Hosts[h]
	host.Labels = labelsOf(p)
	w.configure(configuration.Objects{Hosts: map[inventory.HostID]configuration.Host{h: host}})
}

func (w *fixture) entry(kind journal.Kind, body any) journal.Entry {
	r, err := journal.NewRecord(journal.RecordID(fmt.Sprint(w.offset)), kind, startTime.Add(time.Duration(w.offset)*time.Minute), "e1", body)
	require.NoError(w.t, err)
	r.Duty = string(DutyKeeper)
	return journal.Entry{Offset: w.offset, Record: r}
}

func (w *fixture) apply(kind journal.Kind, body any) error {
	w.t.Helper()
	w.offset++
	err := w.r.Reduce(w.entry(kind, body))
	require.NoError(w.t, w.r.Verify(w.cfg))
	return err
}

func (w *fixture) grantMove(h inventory.HostID) error {
	return w.apply(KindGrant, Grant{Requests: []Request{{Host: h}}})
}

func (w *fixture) grantReboot(h inventory.HostID) error {
	return w.apply(KindGrant, Grant{Requests: []Request{{Host: h, Wave: "W", Pass: 1}}})
}

func (w *fixture) startPass() {
	require.NoError(w.t, w.apply(KindPass, Pass{Wave: "W", Pass: 1}))
}

func TestOwnershipChangesOnlyAtHandOver(t *testing.T) {
	w := newFixture(t)
	w.transfers = nil
	w.relabel("A0", "B")
	require.Equal(t, inventory.PoolID("A"), w.r.hosts["A0"].Pool)
	require.ErrorIs(t, w.apply(KindHandOver, HandOver{Moves: []Move{{"A0", "A", "B"}}}), ErrPhase, "not drained yet")
	require.NoError(t, w.grantMove("A0"))
	require.Equal(t, 1, w.r.ledger.Count(budget.Domain{Pool: "A"}).Unavailable())
	require.Empty(t, w.transfers)
	require.NoError(t, w.apply(KindHandOver, HandOver{Moves: []Move{{"A0", "A", "B"}}}))
	want := Transfer{Host: "A0", From: "A", FromOwner: "Corchos", To: "B", ToOwner: "Campanella", At: startTime.Add(time.Duration(w.offset) * time.Minute), Offset: w.offset}
	require.Equal(t, []Transfer{want}, w.transfers)
	require.Equal(t, 0, w.r.ledger.Count(budget.Domain{Pool: "B"}).Unavailable(), "a joining host is not unavailable in its new pool")
	require.ErrorIs(t, w.apply(KindHandOver, HandOver{Moves: []Move{{"A0", "A", "B"}}}), ErrTarget, "another holder repeats the record")
	require.NoError(t, w.apply(KindAdmit, Admit{Hosts: []inventory.HostID{"A0"}}))
	require.Equal(t, 5, w.r.ledger.Count(budget.Domain{Pool: "B"}).Members)
	require.Len(t, w.transfers, 1)
}

func TestInterruptedMoveEndsInConsistentState(t *testing.T) {
	tests := map[string]struct {
		event  func(w *fixture)
		phase  Phase
		pool   inventory.PoolID
		failed bool
	}{
		"the target changes back while the host drains": {
			func(w *fixture) { w.relabel("A0", "A") }, Returning, "A", false,
		},
		"the target changes to a third pool": {
			func(w *fixture) { w.relabel("A0", "None") }, Draining, "A", false,
		},
		"the host fails while it drains": {
			func(w *fixture) { _ = w.apply(KindHealth, Health{Failed: []inventory.HostID{"A0"}}) }, InService, "A", true,
		},
		"the host fails after the hand-over": {
			func(w *fixture) {
				_ = w.apply(KindHandOver, HandOver{Moves: []Move{{"A0", "A", "B"}}})
				_ = w.apply(KindHealth, Health{Failed: []inventory.HostID{"A0"}})
			}, InService, "B", true,
		},
		"the target changes after the hand-over": {
			func(w *fixture) {
				_ = w.apply(KindHandOver, HandOver{Moves: []Move{{"A0", "A", "B"}}})
				w.relabel("A0", "A")
				_ = w.apply(KindHandOver, HandOver{Moves: []Move{{"A0", "B", "A"}}})
			}, Joining, "A", false,
		},
		"failures use up the budget": {
			func(w *fixture) { _ = w.apply(KindHealth, Health{Failed: []inventory.HostID{"A2", "A3"}}) }, Returning, "A", false,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t)
			w.relabel("A0", "B")
			require.NoError(t, w.grantMove("A0"))
			test.event(w)
			h := w.r.hosts["A0"]
			require.Equal(t, test.phase, h.Phase)
			require.Equal(t, test.pool, h.Pool)
			require.Equal(t, test.failed, h.Failed)
		})
	}
}

func TestGrantIsCheckedWhenApplied(t *testing.T) {
	tests := map[string]struct {
		before func(w *fixture)
		host   inventory.HostID
		want   error
	}{
		"within the budget":                         {func(*fixture) {}, "A0", nil},
		"rack budget used by another host":          {func(w *fixture) { _ = w.grantReboot("A1") }, "A0", budget.ErrLimitReached},
		"pool budget used by simultaneous failures": {func(w *fixture) { _ = w.apply(KindHealth, Health{Failed: []inventory.HostID{"A2", "A3"}}) }, "A0", budget.ErrLimitReached},
		"host has failed":                           {func(w *fixture) { _ = w.apply(KindHealth, Health{Failed: []inventory.HostID{"A0"}}) }, "A0", ErrFailed},
		"host already drains":                       {func(w *fixture) { _ = w.grantReboot("A0") }, "A0", ErrPhase},
		"host belongs to another pool":              {func(*fixture) {}, "B0", ErrWave},
		"wave is paused":                            {func(w *fixture) { w.configure(waves(waveOf(true))) }, "A0", ErrWave},
		"budget still used by a released host": {func(w *fixture) {
			_ = w.grantReboot("A1")
			w.configure(waves(waveOf(true)))
			w.configure(waves(waveOf(false)))
		}, "A0", budget.ErrLimitReached},
		"rebooted in this pass": {func(w *fixture) {
			_ = w.grantReboot("A0")
			_ = w.apply(KindReboot, Reboot{Hosts: []inventory.HostID{"A0"}})
			_ = w.apply(KindAdmit, Admit{Hosts: []inventory.HostID{"A0"}})
		}, "A0", ErrWave},
		"rebooted in this pass and failed since": {func(w *fixture) {
			_ = w.grantReboot("A0")
			_ = w.apply(KindReboot, Reboot{Hosts: []inventory.HostID{"A0"}})
			_ = w.apply(KindHealth, Health{Failed: []inventory.HostID{"A0"}})
			_ = w.apply(KindHealth, Health{Returned: []inventory.HostID{"A0"}})
		}, "A0", ErrWave},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t)
			w.startPass()
			test.before(w)
			require.ErrorIs(t, w.grantReboot(test.host), test.want)
		})
	}
}

func waves(w configuration.Wave) configuration.Objects {
	return configuration.Objects{Waves: map[inventory.WaveID]configuration.Wave{"W": w}}
}

func TestSimultaneousFailuresReleaseOnlyDrainingHosts(t *testing.T) {
	w := newFixture(t)
	w.startPass()
	require.NoError(t, w.grantReboot("A0"))
	require.NoError(t, w.grantReboot("A2"))
	require.NoError(t, w.apply(KindReboot, Reboot{Hosts: []inventory.HostID{"A0"}}))
	require.NoError(t, w.apply(KindHealth, Health{Failed: []inventory.HostID{"A1", "A3"}}))
	require.Equal(t, Rebooting, w.r.hosts["A0"].Phase, "a started reboot is not released")
	require.Equal(t, Returning, w.r.hosts["A2"].Phase)
	require.ErrorIs(t, w.apply(KindReboot, Reboot{Hosts: []inventory.HostID{"A2"}}), ErrPhase, "the holder's view is older than the failures")
	breach := w.r.View().Breaches[0]
	require.Equal(t, "A", breach.Domain.String())
	require.Equal(t, 2, breach.Count.Failed, "the breach shows the failures")
	require.NoError(t, w.apply(KindAdmit, Admit{Hosts: []inventory.HostID{"A0", "A2"}}))
	require.NoError(t, w.apply(KindHealth, Health{Returned: []inventory.HostID{"A1", "A3"}}))
	require.Empty(t, w.r.View().Breaches)
	require.NoError(t, w.grantReboot("A2"), "a released host does not count as rebooted")
}

func TestRemovedPoolKeepsHostsUntilMoved(t *testing.T) {
	w := newFixture(t)
	w.offset++
	cfg, err := w.cfg.Apply(configuration.Change{Base: w.cfg.Version, Delete: []configuration.Key{{Kind: configuration.KindPool, Name: "B"}}}, configuration.Version(w.offset))
	require.NoError(t, err)
	w.cfg = cfg
	w.r.Configure(cfg, cfg.Touched(), w.entry("Configuration.Change", nil))
	require.NoError(t, w.r.Verify(cfg))
	require.True(t, w.r.pools["B"].Retired)
	for i := range 4 {
		h := inventory.HostID(fmt.Sprintf("B%d", i))
		require.NoError(t, w.grantMove(h))
		require.NoError(t, w.apply(KindHandOver, HandOver{Moves: []Move{{h, "B", "Spare"}}}))
	}
	require.NotContains(t, w.r.pools, inventory.PoolID("B"))
}

func TestSnapshotRestoresWholeState(t *testing.T) {
	w := newFixture(t)
	w.startPass()
	require.NoError(t, w.grantReboot("A0"))
	require.NoError(t, w.apply(KindReboot, Reboot{Hosts: []inventory.HostID{"A0"}}))
	b, err := w.r.MarshalState()
	require.NoError(t, err)
	other := NewReducer()
	require.NoError(t, other.UnmarshalState(b))
	require.NoError(t, other.Verify(w.cfg))
	w.r = other
	require.ErrorIs(t, w.grantReboot("A1"), budget.ErrLimitReached)
	require.Equal(t, wave.RebootID("W/1/A0"), other.hosts["A0"].Reboot)
	require.NoError(t, w.apply(KindAdmit, Admit{Hosts: []inventory.HostID{"A0"}}))
	require.ErrorIs(t, w.grantReboot("A0"), ErrWave)
}

func TestRecordsWithoutDutyAreRejected(t *testing.T) {
	w := newFixture(t)
	e := w.entry(KindGrant, Grant{Requests: []Request{{Host: "A0"}}})
	e.Record.Duty = ""
	require.ErrorIs(t, w.r.Reduce(e), ErrUnguarded)
}
