package keeper

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/entry/follower"
	"github.com/godwitcross/godwitcross/entry/platform"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/label"
	"github.com/godwitcross/godwitcross/fleet/lease"
	"github.com/godwitcross/godwitcross/fleet/pool"
	"github.com/godwitcross/godwitcross/fleet/state"
	"github.com/godwitcross/godwitcross/fleet/wave"
)

const (
	hostCount = 6
	limit     = 2
)

// site is the log, its fold and the platform in one place, in virtual time.
type site struct {
	t *testing.T
	// mu guards the platform's part, because commands come side by side.
	mu    sync.Mutex
	now   time.Time
	fleet *state.Fleet
	hosts map[inventory.HostID]*pool.PlatformHost
	epoch map[inventory.HostID]journal.Epoch
	begun map[wave.RebootID]int
	// most is the largest number of hosts that were not admitted at once.
	most int
	// loseAnswer and loseAppend say which answers are lost after the effect.
	loseAnswer, loseAppend func() bool
	silent                 bool
}

func newSite(t *testing.T) *site {
	never := func() bool { return false }
	s := &site{
		t: t, now: time.Date(2026, 3, 2, 22, 0, 0, 0, time.UTC), fleet: state.NewFleet(),
		hosts: map[inventory.HostID]*pool.PlatformHost{}, epoch: map[inventory.HostID]journal.Epoch{},
		begun: map[wave.RebootID]int{}, loseAnswer: never, loseAppend: never,
	}
	sel, err := label.Parse("Pool=A")
	require.NoError(t, err)
	o := configuration.Objects{
		Owners:      map[inventory.OwnerID]configuration.Owner{"Corchos": {SparePool: "Spare"}},
		Operators:   map[inventory.OperatorID]configuration.Operator{"o": {Owner: "Corchos"}},
		DataCentres: map[inventory.DataCentreID]configuration.DataCentre{"M": {Region: "R"}},
		Hosts:       map[inventory.HostID]configuration.Host{},
		Pools: map[inventory.PoolID]configuration.Pool{
			"Spare": {Owner: "Corchos"},
			"A":     {Owner: "Corchos", Hosts: sel, Budget: configuration.Budget{MaxUnavailable: 400_000}},
		},
		Waves: map[inventory.WaveID]configuration.Wave{"W": {Owner: "Corchos", Pools: []inventory.PoolID{"A"}, Window: configuration.Duration(24 * time.Hour)}},
	}
	for i := range hostCount {
		id := inventory.HostID(fmt.Sprintf("A%d", i))
		o.Hosts[id] = configuration.Host{Owner: "Corchos", DataCentre: "M", Labels: label.Set{"Pool": "A"}}
		s.hosts[id] = &pool.PlatformHost{ID: id, State: pool.PlatformAdmitted}
	}
	s.write(configuration.KindChange, "o", configuration.Change{Set: o})
	return s
}

func (s *site) write(kind journal.Kind, by string, body any) {
	r, err := journal.NewRecord(journal.RecordID(fmt.Sprint("r", s.fleet.StateMachine().NextOffset())), kind, s.now, by, body)
	require.NoError(s.t, err)
	v := s.fold(r)
	require.Equal(s.t, journal.Accepted, v.Outcome, v.Reason)
}

func (s *site) fold(r journal.Record) journal.Result {
	raw, err := r.Encode()
	require.NoError(s.t, err)
	v, err := s.fleet.StateMachine().Apply(s.fleet.StateMachine().NextOffset(), raw)
	require.NoError(s.t, err)
	require.NoError(s.t, s.fleet.Pools.Verify(s.fleet.Configuration.Current()))
	return v
}

// claim gives the duty to a holder and returns its epoch.
func (s *site) claim(holder inventory.EntryID) journal.Epoch {
	held := s.fleet.Lease.Holding(pool.DutyKeeper)
	s.write(lease.KindClaim, string(holder), lease.Claim{Duty: pool.DutyKeeper, Holder: holder, From: held.Epoch, Seen: held.Renewed})
	return held.Epoch + 1
}

func (s *site) Append(_ context.Context, _ journal.StreamID, r journal.Record) error {
	s.fold(r)
	if s.loseAppend() {
		return eris.Wrap(platform.ErrUncertain, "no answer")
	}
	return nil
}

func (s *site) DrainedHosts() ([]pool.PlatformHost, error) {
	if s.silent {
		return nil, platform.ErrUncertain
	}
	var out []pool.PlatformHost
	for _, h := range s.hosts {
		if h.State == pool.PlatformDrained {
			out = append(out, *h)
		}
	}
	return out, nil
}

func (s *site) Command(c pool.Command, epoch journal.Epoch) (pool.PlatformHost, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent {
		s.t.Errorf("%s of %s while the platform is silent", c.Verb, c.Host)
	}
	h := s.hosts[c.Host]
	if epoch < s.epoch[c.Host] {
		return pool.PlatformHost{}, platform.ErrRefused
	}
	s.epoch[c.Host] = epoch
	switch {
	case c.Verb == pool.Drain && h.State == pool.PlatformAdmitted:
		h.State = pool.PlatformDraining
	case c.Verb == pool.RestartHost && h.State == pool.PlatformDrained && c.Reboot != h.Reboot:
		h.State, h.Reboot = pool.PlatformRebooting, c.Reboot
		s.begun[c.Reboot]++
	case c.Verb == pool.AdmitToSlots && h.State != pool.PlatformRebooting:
		h.State = pool.PlatformAdmitted
	}
	if s.loseAnswer() {
		return pool.PlatformHost{}, platform.ErrUncertain
	}
	return *h, nil
}

// pass lets time go on; drains and reboots end after 20 s.
func (s *site) pass(round int) {
	s.now = s.now.Add(time.Second)
	away := 0
	for _, h := range s.hosts {
		if h.State != pool.PlatformAdmitted {
			away++
		}
		if round%20 == 0 && h.State != pool.PlatformAdmitted {
			h.State = pool.PlatformDrained
		}
	}
	s.most = max(s.most, away)
}

func (s *site) keeper(name inventory.EntryID) *Keeper {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(Config{
		Log: log, Name: name, Records: s, Pools: s,
		State: func() follower.State {
			return follower.State{
				Configuration: s.fleet.Configuration.Current(), Pools: s.fleet.Pools.View(),
				Next: s.fleet.StateMachine().NextOffset(), Recent: s.fleet.StateMachine().Recent(),
			}
		},
		List: func() inventory.HostList {
			l := inventory.HostList{At: s.now}
			for id := range s.hosts {
				l.Hosts = append(l.Hosts, inventory.ListedHost{ID: id, State: inventory.HostLive})
			}
			return l
		},
	})
}

func TestAWaveEndsWithOneRebootEach(t *testing.T) {
	everySecond := func() func() bool {
		n := 0
		return func() bool { n++; return n%2 == 0 }
	}
	tests := map[string]func(s *site, round int, first *holding){
		"without trouble": func(*site, int, *holding) {},
		"every second answer of the platform is lost after the effect": func(s *site, round int, _ *holding) {
			if round == 0 {
				s.loseAnswer = everySecond()
			}
		},
		"every second answer of the log is lost after the effect": func(s *site, round int, _ *holding) {
			if round == 0 {
				s.loseAppend = everySecond()
			}
		},
		"the platform is silent for a while":             func(s *site, round int, _ *holding) { s.silent = round > 21 && round < 100 },
		"the holder is lost while hosts drain":           lostAt(5),
		"the holder is lost while hosts reboot":          lostAt(25),
		"the holder is lost right after a reboot is due": lostAt(21),
		"the holder is lost while hosts come back":       lostAt(41),
		"the platform admits a draining host by itself": func(s *site, round int, _ *holding) {
			if round == 5 {
				s.hosts["A0"].State, s.hosts["A1"].State = pool.PlatformAdmitted, pool.PlatformAdmitted
			}
		},
		"a holder loses the duty and gets it again": func(s *site, round int, h *holding) {
			switch round {
			case 22:
				h.second, h.epoch2 = s.keeper("e2"), s.claim("e2")
			case 60:
				h.second, h.epoch1 = nil, s.claim("e1")
			}
		},
		"a holder that lost the duty goes on for a while": func(s *site, round int, h *holding) {
			if round == 22 {
				h.second, h.epoch2 = s.keeper("e2"), s.claim("e2")
			}
		},
	}
	for name, happen := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			h := &holding{first: s.keeper("e1"), epoch1: s.claim("e1")}
			round := 0
			for ; round < 1000 && s.fleet.Pools.View().Waves["W"].Finished.IsZero(); round++ {
				happen(s, round, h)
				h.tick(s)
				s.pass(round)
			}
			require.Less(t, round, 1000, "the wave did not end: %+v", s.fleet.Pools.View().Waves["W"])
			require.Len(t, s.begun, hostCount)
			for id, n := range s.begun {
				require.Equal(t, 1, n, "%s", id)
			}
			require.LessOrEqual(t, s.most, limit)
		})
	}
}

// holding is up to two processes that believe they hold the duty.
type holding struct {
	first, second  *Keeper
	epoch1, epoch2 journal.Epoch
}

func (h *holding) tick(s *site) {
	if h.first != nil {
		_ = h.first.Tick(context.Background(), s.now, h.epoch1)
	}
	if h.second != nil {
		_ = h.second.Tick(context.Background(), s.now, h.epoch2)
	}
}

// lostAt ends the first holder at the round and lets another take over later.
func lostAt(at int) func(*site, int, *holding) {
	return func(s *site, round int, h *holding) {
		if round == at {
			h.first = nil
		}
		if round == at+8 {
			h.second, h.epoch2 = s.keeper("e2"), s.claim("e2")
		}
	}
}
