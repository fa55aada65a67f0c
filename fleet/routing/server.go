package routing

import (
	"time"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/priority"
)

// Instance is a backend server as described by the host list.
type Instance struct {
	ID         inventory.InstanceID
	Service    inventory.ServiceID
	DataCentre inventory.DataCentreID
	Address    string
	Leaving    bool
}

// condition says whether a server gets new requests from this host.
type condition int

// The conditions of a server.
const (
	// active servers get requests. They are in localQueue or remoteQueue.
	active condition = iota
	// backingOff servers refused a request and get none for a short delay.
	backingOff
	// ejected servers failed or became slow.
	ejected
	// leaving servers are listed as leaving or showed a sign of it. They get no requests
	// until a host list shows that they stay, or until leavingSignHold or
	// listedLeavingHold has passed.
	leaving
)

// server is an instance with the state that this host has observed.
type server struct {
	Instance
	condition condition
	// until is the end of a backoff, an ejection or a hold for leaving.
	until time.Time
	// slotLimit is the server's limit of slots, ownSlots the part that belongs to this
	// host.
	slotLimit inventory.Slots
	ownSlots  inventory.Slots
	// inFlight counts this host's requests at the server. It is never negative.
	inFlight inventory.Slots
	// rampLimit limits inFlight during the slow start of a reinstated server. It is at
	// least 1.
	rampLimit inventory.Slots
	// refusals and failures count consecutive ones.
	refusals, failures int
	// suspected is true from an ejection until the next answer.
	suspected bool
	// ejections counts ejections. It is reset once the server has answered enough requests
	// since the last one.
	ejections int
	// latency is the moving average over answered requests, samples their number since the
	// last ejection.
	latency time.Duration
	samples int
	// recyclesConnections is true for a server that closed a connection and then answered
	// again, so that closing one is no sign of leaving.
	recyclesConnections bool
	// showedLeavingSign is true from a sign of leaving until the next answer.
	showedLeavingSign bool
	// lastChosen is the value of Table.choices when the server was last chosen.
	lastChosen uint64
	// local is true for servers in this host's data centre.
	local      bool
	queueEntry *priority.Entry[*server]
}

// freeOwnSlots returns how many of this host's own slots at the server are free. It is
// negative if slots are borrowed.
func (s *server) freeOwnSlots() inventory.Slots {
	return min(s.ownSlots, s.rampLimit) - s.inFlight
}

// freeSlots returns how many more requests the server takes on own or borrowed slots.
func (s *server) freeSlots() inventory.Slots {
	return min(s.slotLimit, s.rampLimit) - s.inFlight
}

// preferredTo orders servers by most free own slots, then by most free slots, then by
// least recently chosen.
func (s *server) preferredTo(o *server) bool {
	if a, b := max(s.freeOwnSlots(), 0), max(o.freeOwnSlots(), 0); a != b {
		return a > b
	}
	if a, b := s.freeSlots(), o.freeSlots(); a != b {
		return a > b
	}
	return s.lastChosen < o.lastChosen
}

// borrowed returns how many slots this host uses at the server beyond its own.
func (s *server) borrowed() inventory.Slots {
	return max(s.inFlight-s.ownSlots, 0)
}
