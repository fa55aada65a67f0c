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
	hostCount        = 6
	unavailableLimit = 2
)

// simulation combines the log, the state that applies it and the platform in virtual time.
type simulation struct {
	t *testing.T
	// mu guards the platform's part, because commands are sent concurrently.
	mu      sync.Mutex
	now     time.Time
	fleet   *state.Fleet
	hosts   map[inventory.HostID]*pool.PlatformHost
	epoch   map[inventory.HostID]journal.Epoch
	reboots map[wave.RebootID]int
	// maxUnavailable is the largest number of hosts that were not admitted at the same time.
	maxUnavailable int
	// loseAnswer and loseAppend report whether the next answer of the platform or the log
	// is lost after its effect.
	loseAnswer, loseAppend func() bool
	unresponsive           bool
}

func newSimulation(t *testing.T) *simulation {
	never := func() bool { return false }
	s := &simulation{
		t: t, now: time.Date(2026, 3, 2, 22, 0, 0, 0, time.UTC), fleet: state.NewFleet(),
		hosts: map[inventory.HostID]*pool.PlatformHost{}, epoch: map[inventory.HostID]journal.Epoch{},
		reboots: map[wave.RebootID]int{}, loseAnswer: never, loseAppend: never,
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

func (s *simulation) write(kind journal.Kind, by string, body any) {
	r, err := journal.NewRecord(journal.RecordID(fmt.Sprint("r", s.fleet.StateMachine().NextOffset())), kind, s.now, by, body)
	require.NoError(s.t, err)
	v := s.apply(r)
	require.Equal(s.t, journal.Accepted, v.Outcome, v.Reason)
}

func (s *simulation) apply(r journal.Record) journal.Result {
	raw, err := r.Encode()
	require.NoError(s.t, err)
	v, err := s.fleet.StateMachine().Apply(s.fleet.StateMachine().NextOffset(), raw)
	require.NoError(s.t, err)
	require.NoError(s.t, s.fleet.Pools.Verify(s.fleet.Configuration.Current()))
	return v
}

// claim lets a holder claim the duty and returns its epoch.
func (s *simulation) claim(holder inventory.EntryID) journal.Epoch {
	held := s.fleet.Lease.Holding(pool.DutyKeeper)
	s.write(lease.KindClaim, string(holder), lease.Claim{Duty: pool.DutyKeeper, Holder: holder, From: held.Epoch, Seen: held.Renewed})
	return held.Epoch + 1
}

func (s *simulation) Append(_ context.Context, _ journal.StreamID, r journal.Record) error {
	s.apply(r)
	if s.loseAppend() {
		return eris.Wrap(platform.ErrUncertain, "no answer")
	}
	return nil
}

func (s *simulation) DrainedHosts() ([]pool.PlatformHost, error) {
	if s.unresponsive {
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

func (s *simulation) Command(c pool.Command, epoch journal.Epoch) (pool.PlatformHost, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unresponsive {
		s.t.Errorf("%s of %s while the platform is unresponsive", c.Verb, c.Host)
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
		s.reboots[c.Reboot]++
	case c.Verb == pool.AdmitToSlots && h.State != pool.PlatformRebooting:
		h.State = pool.PlatformAdmitted
	}
	if s.loseAnswer() {
		return pool.PlatformHost{}, platform.ErrUncertain
	}
	return *h, nil
}

// advance advances the time by 1 s; drains and reboots end every 20 rounds.
func (s *simulation) advance(round int) {
	s.now = s.now.Add(time.Second)
	unavailable := 0
	for _, h := range s.hosts {
		if h.State != pool.PlatformAdmitted {
			unavailable++
		}
		if round%20 == 0 && h.State != pool.PlatformAdmitted {
			h.State = pool.PlatformDrained
		}
	}
	s.maxUnavailable = max(s.maxUnavailable, unavailable)
}

func (s *simulation) keeper(name inventory.EntryID) *Keeper {
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
		HostList: func() inventory.HostList {
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
	tests := map[string]func(s *simulation, round int, first *holders){
		"without failures": func(*simulation, int, *holders) {},
		"every second answer of the platform is lost after the effect": func(s *simulation, round int, _ *holders) {
			if round == 0 {
				s.loseAnswer = everySecond()
			}
		},
		"every second answer of the log is lost after the effect": func(s *simulation, round int, _ *holders) {
			if round == 0 {
				s.loseAppend = everySecond()
			}
		},
		"the platform is unresponsive for a while":          func(s *simulation, round int, _ *holders) { s.unresponsive = round > 21 && round < 100 },
		"the holder is lost while hosts drain":              replacedAt(5),
		"the holder is lost while hosts reboot":             replacedAt(25),
		"the holder is lost right after a reboot is due":    replacedAt(21),
		"the holder is lost while hosts are admitted again": replacedAt(41),
		"the platform admits a draining host by itself": func(s *simulation, round int, _ *holders) {
			if round == 5 {
				s.hosts["A0"].State, s.hosts["A1"].State = pool.PlatformAdmitted, pool.PlatformAdmitted
			}
		},
		"a holder loses the duty and gets it again": func(s *simulation, round int, h *holders) {
			switch round {
			case 22:
				h.second, h.epoch2 = s.keeper("e2"), s.claim("e2")
			case 60:
				h.second, h.epoch1 = nil, s.claim("e1")
			}
		},
		"a holder that lost the duty goes on for a while": func(s *simulation, round int, h *holders) {
			if round == 22 {
				h.second, h.epoch2 = s.keeper("e2"), s.claim("e2")
			}
		},
	}
	for name, event := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t)
			h := &holders{first: s.keeper("e1"), epoch1: s.claim("e1")}
			round := 0
			for ; round < 1000 && s.fleet.Pools.View().Waves["W"].Finished.IsZero(); round++ {
				event(s, round, h)
				h.tick(s)
				s.advance(round)
			}
			require.Less(t, round, 1000, "the wave did not end: %+v", s.fleet.Pools.View().Waves["W"])
			require.Len(t, s.reboots, hostCount)
			for id, n := range s.reboots {
				require.Equal(t, 1, n, "%s", id)
			}
			require.LessOrEqual(t, s.maxUnavailable, unavailableLimit)
		})
	}
}

// holders are up to two processes that believe they hold the duty.
type holders struct {
	first, second  *Keeper
	epoch1, epoch2 journal.Epoch
}

func (h *holders) tick(s *simulation) {
	if h.first != nil {
		_ = h.first.Tick(context.Background(), s.now, h.epoch1)
	}
	if h.second != nil {
		_ = h.second.Tick(context.Background(), s.now, h.epoch2)
	}
}

// replacedAt ends the first holder at the round and lets a second one take over 8 rounds
// later.
func replacedAt(at int) func(*simulation, int, *holders) {
	return func(s *simulation, round int, h *holders) {
		if round == at {
			h.first = nil
		}
		if round == at+8 {
			h.second, h.epoch2 = s.keeper("e2"), s.claim("e2")
		}
	}
}
