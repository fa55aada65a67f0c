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

// Target sizes and daily rates stated by the users.
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

// size is the size of a fleet.
type size struct {
	hosts, pools, teams int
}

// targetSize is the fleet size that the product is designed for.
var targetSize = size{hosts: Workers, pools: Pools, teams: Teams}

// objects returns the configuration of a fleet of the given size.
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
		o.Hosts[hostID(i)] = hostConfiguration(i, s)
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

func hostConfiguration(i int, s size) configuration.Host {
	return configuration.Host{
		Owner:      owner(i % s.pools),
		DataCentre: dataCentre(i % DataCentres),
		Rack:       inventory.RackID(fmt.Sprintf("rack-%03d", i/hostsPerRack/DataCentres)),
		Size:       inventory.Size{Cores: 64 * inventory.MillicoresPerCore, Memory: 128 * inventory.Gibibyte},
		Labels:     label.Set{"Pool": string(pool(i % s.pools))},
	}
}

// encodeChange returns the encoded record of the n-th change, which sets a label of one
// host.
func encodeChange(n int, s size, base configuration.Version) ([]byte, error) {
	i := n % s.hosts
	h := hostConfiguration(i, s)
	h.Labels = label.Set{"Pool": string(pool(i % s.pools)), "Generation": fmt.Sprint(n)}
	c := configuration.Change{Base: base, Set: configuration.Objects{Hosts: map[inventory.HostID]configuration.Host{hostID(i): h}}}
	return encodeRecord(fmt.Sprintf("change-%08d-0000-4000-8000-000000000000", n), operator(h.Owner), configuration.KindChange, c)
}

func operator(w inventory.OwnerID) string {
	if w == "Corchos" {
		return "corchos-operator"
	}
	return "campanella-operator"
}

// entryHostName is the author of records that no operator causes.
const entryHostName = "DataCentre-1-entry-1"

// encodeRecord returns a record encoded as an entry host writes it.
func encodeRecord(id, by string, kind journal.Kind, body any) ([]byte, error) {
	r, err := journal.NewRecord(journal.RecordID(id), kind, time.Unix(1_800_000_000, 123_456_789), by, body)
	if err != nil {
		return nil, err
	}
	r.Before = 10_000_000
	return r.Encode()
}

// encodeFleetRecord returns the encoded record that publishes the whole fleet.
func encodeFleetRecord(s size) ([]byte, error) {
	return encodeRecord("sample", operator("Corchos"), configuration.KindChange, configuration.Change{Set: objects(s)})
}

// newFleetState returns the state after applying one record that publishes the whole
// fleet.
func newFleetState(s size) (*state.Fleet, error) {
	f := state.NewFleet()
	raw, err := encodeFleetRecord(s)
	if err != nil {
		return nil, err
	}
	return f, applyAccepted(f, raw)
}

// applyAccepted applies a record and returns an error if it is not accepted.
func applyAccepted(f *state.Fleet, raw []byte) error {
	result, err := f.StateMachine().Apply(f.StateMachine().NextOffset(), raw)
	if err == nil && result.Outcome != journal.Accepted {
		return fmt.Errorf("%s: %s", result.Outcome, result.Reason)
	}
	return err
}
