package capacity

import (
	"fmt"
	"time"

	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/label"
	"github.com/godwitcross/godwitcross/fleet/state"
)

// Sizes of the letter.
const (
	Workers         = 8600
	Pools           = 111
	Teams           = 80
	DataCentres     = 8
	Regions         = 4
	ChangesPerDay   = 12_000
	FailuresPerDay  = 95
	RestartsPerDay  = 520
	MaintenanceDays = 28
	hostsPerRack    = 4
	secondsPerDay   = 86_400
)

// size is one size of a fleet.
type size struct {
	hosts, pools, teams int
}

// letter is the size to design for.
var letter = size{hosts: Workers, pools: Pools, teams: Teams}

// objects returns the configuration of a fleet of the size.
func objects(s size) configuration.Objects {
	o := configuration.Objects{
		Owners:      map[inventory.OwnerID]configuration.Owner{"Corchos": {SparePool: "Administration"}, "Campanella": {SparePool: "FrontDesk"}},
		Operators:   map[inventory.OperatorID]configuration.Operator{"corchos-operator": {Owner: "Corchos"}, "campanella-operator": {Owner: "Campanella"}},
		DataCentres: make(map[inventory.DataCentreID]configuration.DataCentre),
		Hosts:       make(map[inventory.HostID]configuration.Host, s.hosts),
		Pools:       map[inventory.PoolID]configuration.Pool{"Administration": {Owner: "Corchos"}, "FrontDesk": {Owner: "Campanella"}},
		Teams:       make(map[inventory.TeamID]configuration.Team, s.teams),
	}
	for i := range DataCentres {
		o.DataCentres[dataCentre(i)] = configuration.DataCentre{Region: inventory.RegionID(fmt.Sprintf("Region-%d", i%Regions))}
	}
	for i := range s.pools {
		o.Pools[pool(i)] = configuration.Pool{Owner: owner(i), Hosts: selector(i), Jobs: selector(i), Budget: configuration.Budget{MaxUnavailable: 100_000}}
	}
	for i := range s.hosts {
		o.Hosts[hostID(i)] = machine(i, s)
	}
	for i := range s.teams {
		o.Teams[inventory.TeamID(fmt.Sprintf("team-%02d", i))] = configuration.Team{Owner: owner(i), Weight: 1}
	}
	return o
}

func dataCentre(i int) inventory.DataCentreID {
	return inventory.DataCentreID(fmt.Sprintf("DataCentre-%d", i))
}

func pool(i int) inventory.PoolID {
	return inventory.PoolID(fmt.Sprintf("pool-%03d", i))
}

func owner(i int) inventory.OwnerID {
	if i%2 == 0 {
		return "Corchos"
	}
	return "Campanella"
}

func selector(i int) label.Selector {
	s, err := label.Parse("Pool=" + string(pool(i)))
	if err != nil {
		panic(err)
	}
	return s
}

func hostID(i int) inventory.HostID {
	return inventory.HostID(fmt.Sprintf("host-%05d", i))
}

func machine(i int, s size) configuration.Host {
	return configuration.Host{
		Owner:      owner(i % s.pools),
		DataCentre: dataCentre(i % DataCentres),
		Rack:       inventory.RackID(fmt.Sprintf("rack-%03d", i/hostsPerRack/DataCentres)),
		Size:       inventory.Size{Cores: 64 * inventory.MillicoresPerCore, Memory: 128 * inventory.Gibibyte},
		Labels:     label.Set{"Pool": string(pool(i % s.pools))},
	}
}

// change returns the record of the n-th change of one host's label.
func change(n int, s size, base configuration.Version) ([]byte, error) {
	i := n % s.hosts
	h := machine(i, s)
	h.Labels = label.Set{"Pool": string(pool(i % s.pools)), "Generation": fmt.Sprint(n)}
	c := configuration.Change{Base: base, Set: configuration.Objects{Hosts: map[inventory.HostID]configuration.Host{hostID(i): h}}}
	return record(fmt.Sprintf("change-%08d-0000-4000-8000-000000000000", n), operator(h.Owner), configuration.KindChange, c)
}

func operator(w inventory.OwnerID) string {
	if w == "Corchos" {
		return "corchos-operator"
	}
	return "campanella-operator"
}

// entryHost writes the records that no operator causes.
const entryHost = "DataCentre-1-entry-1"

// record returns an encoded record as an entry host writes it.
func record(id, by string, kind journal.Kind, body any) ([]byte, error) {
	r, err := journal.NewRecord(journal.RecordID(id), kind, time.Unix(1_800_000_000, 123_456_789), by, body)
	if err != nil {
		return nil, err
	}
	r.Before = 10_000_000
	return r.Encode()
}

// first returns the record that publishes the whole fleet.
func first(s size) ([]byte, error) {
	return record("sample", operator("Corchos"), configuration.KindChange, configuration.Change{Set: objects(s)})
}

// folded returns the state after one record that publishes the whole fleet.
func folded(s size) (*state.Fleet, error) {
	f := state.NewFleet()
	raw, err := first(s)
	if err != nil {
		return nil, err
	}
	return f, apply(f, raw)
}

// apply folds a record that must be accepted.
func apply(f *state.Fleet, raw []byte) error {
	v, err := f.StateMachine().Apply(f.StateMachine().NextOffset(), raw)
	if err == nil && v.Outcome != journal.Accepted {
		return fmt.Errorf("%s: %s", v.Outcome, v.Reason)
	}
	return err
}
