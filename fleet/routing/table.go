// Package routing chooses the backend server for a request from the load that
// one entry host sees.
package routing

import (
	"cmp"
	"slices"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/rotisserie/eris"
)

// ErrNoServer is returned when no backend server may take a request.
var ErrNoServer = eris.New("no backend server takes the request")

// Instance is a backend server as the host list tells of it.
type Instance struct {
	ID         inventory.InstanceID
	Service    inventory.ServiceID
	DataCentre inventory.DataCentreID
	Address    string
	Leaving    bool
}

// server is an instance with this host's load on it.
type server struct {
	Instance
	// inFlight counts this host's requests at the server; never negative.
	inFlight inventory.Slots
}

// Table is the backend servers of one service.
type Table struct {
	// servers are in order of their names.
	servers []*server
}

// NewTable returns a table without servers.
func NewTable() *Table {
	return &Table{}
}

// Update replaces the instances and keeps the load of those that stay.
func (t *Table) Update(instances []Instance) {
	old := make(map[inventory.InstanceID]*server, len(t.servers))
	for _, s := range t.servers {
		old[s.ID] = s
	}
	t.servers = t.servers[:0:0]
	for _, i := range instances {
		s, ok := old[i.ID]
		if !ok {
			s = &server{}
		}
		s.Instance = i
		t.servers = append(t.servers, s)
	}
	slices.SortFunc(t.servers, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
}

// Choose takes a slot of the least loaded server that has one below the limit
// and is not in the set to avoid. Servers of the own data centre go first.
func (t *Table) Choose(local inventory.DataCentreID, limit inventory.Slots, avoid map[inventory.InstanceID]bool) (Instance, error) {
	var best *server
	for _, s := range t.servers {
		if s.Leaving || s.inFlight >= limit || avoid[s.ID] {
			continue
		}
		if best == nil || less(s, best, local) {
			best = s
		}
	}
	if best == nil {
		return Instance{}, ErrNoServer
	}
	best.inFlight++
	return best.Instance, nil
}

func less(a, b *server, local inventory.DataCentreID) bool {
	if x, y := a.DataCentre == local, b.DataCentre == local; x != y {
		return x
	}
	return a.inFlight < b.inFlight
}

// Done gives back the slot that Choose took.
func (t *Table) Done(id inventory.InstanceID) {
	for _, s := range t.servers {
		if s.ID == id {
			s.inFlight--
			return
		}
	}
}
