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

var begin = time.Date(2026, 3, 2, 22, 0, 0, 0, time.UTC)

// testingT is what both the standard library's and rapid's tests offer.
type testingT interface {
	require.TestingT
	Helper()
}

// world is a reducer under a configuration of two owners. Pools A and B have
// four hosts each, in two racks, and may lose two, one in each rack.
type world struct {
	t         testingT
	r         *Reducer
	cfg       configuration.Configuration
	offset    journal.Offset
	transfers []Transfer
}

func (w *world) Transferred(t Transfer) { w.transfers = append(w.transfers, t) }

func newWorld(t testingT) *world {
	w := &world{t: t}
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
	w.set(o)
	return w
}

func hostOf(p, rack string) configuration.Host {
	return configuration.Host{Owner: "Corchos", DataCentre: "M", Rack: inventory.RackID(rack), Labels: labelsOf(p)}
}

// labelsOf returns the labels that put a host into a pool; B is another owner's
// than the hosts, which are lent to it.
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

// set publishes objects.
func (w *world) set(o configuration.Objects) {
	w.t.Helper()
	w.offset++
	cfg, err := w.cfg.Apply(configuration.Change{Base: w.cfg.Version, Set: o}, configuration.Version(w.offset))
	require.NoError(w.t, err)
	w.cfg = cfg
	w.r.Configure(cfg, cfg.Touched(), w.entry("Configuration.Change", nil))
	require.NoError(w.t, w.r.Verify(w.cfg))
}

// relabel asks for a host in another pool.
func (w *world) relabel(h inventory.HostID, p string) {
	w.t.Helper()
	host := w.cfg.Hosts[h]
	host.Labels = labelsOf(p)
	w.set(configuration.Objects{Hosts: map[inventory.HostID]configuration.Host{h: host}})
}

func (w *world) entry(kind journal.Kind, body any) journal.Entry {
	r, err := journal.NewRecord(journal.RecordID(fmt.Sprint(w.offset)), kind, begin.Add(time.Duration(w.offset)*time.Minute), "e1", body)
	require.NoError(w.t, err)
	r.Duty = string(DutyKeeper)
	return journal.Entry{Offset: w.offset, Record: r}
}

func (w *world) do(kind journal.Kind, body any) error {
	w.t.Helper()
	w.offset++
	err := w.r.Reduce(w.entry(kind, body))
	require.NoError(w.t, w.r.Verify(w.cfg))
	return err
}

func (w *world) move(h inventory.HostID) error {
	return w.do(KindGrant, Grant{Requests: []Request{{Host: h}}})
}

func (w *world) maintain(h inventory.HostID) error {
	return w.do(KindGrant, Grant{Requests: []Request{{Host: h, Wave: "W", Pass: 1}}})
}

func (w *world) start() {
	require.NoError(w.t, w.do(KindPass, Pass{Wave: "W", Pass: 1}))
}

func TestOwnershipChangesAtTheHandOverOnly(t *testing.T) {
	w := newWorld(t)
	w.transfers = nil
	w.relabel("A0", "B")
	require.Equal(t, inventory.PoolID("A"), w.r.hosts["A0"].Pool)
	require.ErrorIs(t, w.do(KindHandOver, HandOver{Moves: []Move{{"A0", "A", "B"}}}), ErrPhase, "not drained yet")
	require.NoError(t, w.move("A0"))
	require.Equal(t, 1, w.r.ledger.Count(budget.Domain{Pool: "A"}).Unavailable())
	require.Empty(t, w.transfers)
	require.NoError(t, w.do(KindHandOver, HandOver{Moves: []Move{{"A0", "A", "B"}}}))
	want := Transfer{Host: "A0", From: "A", FromOwner: "Corchos", To: "B", ToOwner: "Campanella", At: begin.Add(time.Duration(w.offset) * time.Minute), Offset: w.offset}
	require.Equal(t, []Transfer{want}, w.transfers)
	require.Equal(t, 0, w.r.ledger.Count(budget.Domain{Pool: "B"}).Unavailable(), "a joining host takes nothing from its new pool")
	require.ErrorIs(t, w.do(KindHandOver, HandOver{Moves: []Move{{"A0", "A", "B"}}}), ErrTarget, "a second holder repeats it")
	require.NoError(t, w.do(KindAdmit, Admit{Hosts: []inventory.HostID{"A0"}}))
	require.Equal(t, 5, w.r.ledger.Count(budget.Domain{Pool: "B"}).Members)
	require.Len(t, w.transfers, 1)
}

func TestAMoveEndsCleanlyWhateverHappens(t *testing.T) {
	tests := map[string]struct {
		happen func(w *world)
		phase  Phase
		pool   inventory.PoolID
		failed bool
	}{
		"the target changes back while the host drains": {
			func(w *world) { w.relabel("A0", "A") }, Returning, "A", false,
		},
		"the target changes to a third pool": {
			func(w *world) { w.relabel("A0", "None") }, Draining, "A", false,
		},
		"the host dies while it drains": {
			func(w *world) { _ = w.do(KindHealth, Health{Failed: []inventory.HostID{"A0"}}) }, InService, "A", true,
		},
		"the host dies after the hand-over": {
			func(w *world) {
				_ = w.do(KindHandOver, HandOver{Moves: []Move{{"A0", "A", "B"}}})
				_ = w.do(KindHealth, Health{Failed: []inventory.HostID{"A0"}})
			}, InService, "B", true,
		},
		"the target changes after the hand-over": {
			func(w *world) {
				_ = w.do(KindHandOver, HandOver{Moves: []Move{{"A0", "A", "B"}}})
				w.relabel("A0", "A")
				_ = w.do(KindHandOver, HandOver{Moves: []Move{{"A0", "B", "A"}}})
			}, Joining, "A", false,
		},
		"failures use up the budget": {
			func(w *world) { _ = w.do(KindHealth, Health{Failed: []inventory.HostID{"A2", "A3"}}) }, Returning, "A", false,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.relabel("A0", "B")
			require.NoError(t, w.move("A0"))
			test.happen(w)
			h := w.r.hosts["A0"]
			require.Equal(t, test.phase, h.Phase)
			require.Equal(t, test.pool, h.Pool)
			require.Equal(t, test.failed, h.Failed)
		})
	}
}

func TestGrantsAreRefusedAtTheFold(t *testing.T) {
	tests := map[string]struct {
		before func(w *world)
		host   inventory.HostID
		want   error
	}{
		"room":                            {func(*world) {}, "A0", nil},
		"rack used by a second holder":    {func(w *world) { _ = w.maintain("A1") }, "A0", budget.ErrUsedUp},
		"pool used by failures together":  {func(w *world) { _ = w.do(KindHealth, Health{Failed: []inventory.HostID{"A2", "A3"}}) }, "A0", budget.ErrUsedUp},
		"host has failed":                 {func(w *world) { _ = w.do(KindHealth, Health{Failed: []inventory.HostID{"A0"}}) }, "A0", ErrFailed},
		"host drains already":             {func(w *world) { _ = w.maintain("A0") }, "A0", ErrPhase},
		"host is of another pool":         {func(*world) {}, "B0", ErrWave},
		"wave is paused":                  {func(w *world) { w.set(waves(waveOf(true))) }, "A0", ErrWave},
		"host that a given-back one held": {func(w *world) { _ = w.maintain("A1"); w.set(waves(waveOf(true))); w.set(waves(waveOf(false))) }, "A0", budget.ErrUsedUp},
		"rebooted in this pass": {func(w *world) {
			_ = w.maintain("A0")
			_ = w.do(KindReboot, Reboot{Hosts: []inventory.HostID{"A0"}})
			_ = w.do(KindAdmit, Admit{Hosts: []inventory.HostID{"A0"}})
		}, "A0", ErrWave},
		"rebooted and failed in between": {func(w *world) {
			_ = w.maintain("A0")
			_ = w.do(KindReboot, Reboot{Hosts: []inventory.HostID{"A0"}})
			_ = w.do(KindHealth, Health{Failed: []inventory.HostID{"A0"}})
			_ = w.do(KindHealth, Health{Returned: []inventory.HostID{"A0"}})
		}, "A0", ErrWave},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.start()
			test.before(w)
			require.ErrorIs(t, w.maintain(test.host), test.want)
		})
	}
}

func waves(w configuration.Wave) configuration.Objects {
	return configuration.Objects{Waves: map[inventory.WaveID]configuration.Wave{"W": w}}
}

func TestFailuresTogetherGiveBackDrainingHostsOnly(t *testing.T) {
	w := newWorld(t)
	w.start()
	require.NoError(t, w.maintain("A0"))
	require.NoError(t, w.maintain("A2"))
	require.NoError(t, w.do(KindReboot, Reboot{Hosts: []inventory.HostID{"A0"}}))
	require.NoError(t, w.do(KindHealth, Health{Failed: []inventory.HostID{"A1", "A3"}}))
	require.Equal(t, Rebooting, w.r.hosts["A0"].Phase, "past the point of no return")
	require.Equal(t, Returning, w.r.hosts["A2"].Phase)
	require.ErrorIs(t, w.do(KindReboot, Reboot{Hosts: []inventory.HostID{"A2"}}), ErrPhase, "the holder did not know of the failures")
	breach := w.r.View().Breaches[0]
	require.Equal(t, "A", breach.Domain.String())
	require.Equal(t, 2, breach.Count.Failed, "the cause is shown")
	require.NoError(t, w.do(KindAdmit, Admit{Hosts: []inventory.HostID{"A0", "A2"}}))
	require.NoError(t, w.do(KindHealth, Health{Returned: []inventory.HostID{"A1", "A3"}}))
	require.Empty(t, w.r.View().Breaches)
	require.NoError(t, w.maintain("A2"), "a host that was given back is not counted as rebooted")
}

func TestAPoolTakenOutKeepsItsHostsUntilTheyMoved(t *testing.T) {
	w := newWorld(t)
	w.offset++
	cfg, err := w.cfg.Apply(configuration.Change{Base: w.cfg.Version, Delete: []configuration.Key{{Kind: configuration.KindPool, Name: "B"}}}, configuration.Version(w.offset))
	require.NoError(t, err)
	w.cfg = cfg
	w.r.Configure(cfg, cfg.Touched(), w.entry("Configuration.Change", nil))
	require.NoError(t, w.r.Verify(cfg))
	require.True(t, w.r.pools["B"].Retired)
	for i := range 4 {
		h := inventory.HostID(fmt.Sprintf("B%d", i))
		require.NoError(t, w.move(h))
		require.NoError(t, w.do(KindHandOver, HandOver{Moves: []Move{{h, "B", "Spare"}}}))
	}
	require.NotContains(t, w.r.pools, inventory.PoolID("B"))
}

func TestSnapshotHoldsTheWholeState(t *testing.T) {
	w := newWorld(t)
	w.start()
	require.NoError(t, w.maintain("A0"))
	require.NoError(t, w.do(KindReboot, Reboot{Hosts: []inventory.HostID{"A0"}}))
	b, err := w.r.MarshalState()
	require.NoError(t, err)
	other := NewReducer()
	require.NoError(t, other.UnmarshalState(b))
	require.NoError(t, other.Verify(w.cfg))
	w.r = other
	require.ErrorIs(t, w.maintain("A1"), budget.ErrUsedUp)
	require.Equal(t, wave.RebootID("W/1/A0"), other.hosts["A0"].Reboot)
	require.NoError(t, w.do(KindAdmit, Admit{Hosts: []inventory.HostID{"A0"}}))
	require.ErrorIs(t, w.maintain("A0"), ErrWave)
}

func TestRecordsWithoutTheDutyAreRejected(t *testing.T) {
	w := newWorld(t)
	e := w.entry(KindGrant, Grant{Requests: []Request{{Host: "A0"}}})
	e.Record.Duty = ""
	require.ErrorIs(t, w.r.Reduce(e), ErrUnguarded)
}
