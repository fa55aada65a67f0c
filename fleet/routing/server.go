package routing

import (
	"time"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/priority"
)

// Instance is a backend server as the host list tells of it.
type Instance struct {
	ID         inventory.InstanceID
	Service    inventory.ServiceID
	DataCentre inventory.DataCentreID
	Address    string
	Leaving    bool
}

// condition is whether a server takes new requests from this host.
type condition int

// The conditions of a server.
const (
	// inUse servers are in one of the table's queues.
	inUse condition = iota
	// resting servers refused; they are asked again after a moment.
	resting
	// ejected servers failed or slowed down.
	ejected
	// leaving servers get nothing until the host list says that they stay.
	leaving
)

// server is an instance with what this host knows of it.
type server struct {
	Instance
	condition condition
	// until ends resting, ejection and a sign of leaving.
	until time.Time
	// slots is the server's limit, own the part that is this host's share.
	slots inventory.Slots
	own   inventory.Slots
	// inFlight counts this host's requests at the server; never negative.
	inFlight inventory.Slots
	// limit bounds inFlight while the server returns slowly; at least 1.
	limit inventory.Slots
	// refusals and failures are counted in a row.
	refusals, failures int
	// lost is true from an ejection to the next answer.
	lost bool
	// ejections counts ejections since the server last did well for long.
	ejections int
	// latency is the running mean of answered requests, samples their number
	// since the server came into use.
	latency time.Duration
	samples int
	// recycles is true for a server that said it closes a connection and then
	// took requests again, so that the header alone is no sign of leaving.
	recycles bool
	// signed is true from a sign of leaving to the next answer.
	signed bool
	// turn is when the server was last chosen, in the table's count.
	turn uint64
	// local servers stand in this host's data centre.
	local bool
	entry *priority.Entry[*server]
}

// free returns how many of this host's own slots at the server are free;
// negative for one with borrowed slots.
func (s *server) free() inventory.Slots {
	return min(s.own, s.limit) - s.inFlight
}

// left returns how many more requests the server takes, own slots or not.
func (s *server) left() inventory.Slots {
	return min(s.slots, s.limit) - s.inFlight
}

// goesBefore is the order of choice: most free own slots first, then most slots
// left, then the one that has waited longest for its turn.
func (s *server) goesBefore(o *server) bool {
	if a, b := max(s.free(), 0), max(o.free(), 0); a != b {
		return a > b
	}
	if a, b := s.left(), o.left(); a != b {
		return a > b
	}
	return s.turn < o.turn
}

// borrowed returns how many slots beyond its own this host uses at the server.
func (s *server) borrowed() inventory.Slots {
	return max(s.inFlight-s.own, 0)
}
