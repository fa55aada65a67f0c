// Package membership keeps what an entry host knows of the others from their
// heartbeats: all hosts of its own data centre, and some contacts in each other
// one.
package membership

import (
	"time"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
)

// Incarnation tells the starts of a host apart; a later start has a higher one.
type Incarnation int64

// Load is what a host has to do at a moment.
type Load struct {
	InFlight int
	Queued   int
}

// Heartbeat is what a host says of itself.
type Heartbeat struct {
	Name       inventory.EntryID
	DataCentre inventory.DataCentreID
	// Address is the IP number and port for peers.
	Address     string
	Incarnation Incarnation
	// Sequence rises by one with each heartbeat of an incarnation.
	Sequence int64
	// Applied is the offset of the first record that is not applied. It never
	// falls within an incarnation.
	Applied journal.Offset
	// Digest is that of the state at Applied, History that of the records.
	Digest  uint64
	History uint64
	// KnownKinds tells releases apart; digests compare only where it is equal.
	KnownKinds uint32
	Load       Load
	// Platform is set while the host reaches the platform itself.
	Platform bool
	// View is a digest of the hosts that it sees alive in its data centre.
	View uint32
	// Leaving is set in the last heartbeat of a planned stop.
	Leaving bool
}

// IsNewer reports whether h was sent after o by the same host.
func (h Heartbeat) IsNewer(o Heartbeat) bool {
	if h.Incarnation != o.Incarnation {
		return h.Incarnation > o.Incarnation
	}
	return h.Sequence > o.Sequence
}

// State is what a host thinks of a peer.
type State string

// The states of a peer. A suspect may be paused, cut off or gone; it keeps its
// place until it is gone.
const (
	Alive   State = "Alive"
	Suspect State = "Suspect"
	Gone    State = "Gone"
)

// Times of membership.
const (
	// HeartbeatEvery is the time between two heartbeats of a host.
	HeartbeatEvery = time.Second
	// SuspectAfter is the silence after which a peer is a suspect, among up to
	// OrdinaryLocal hosts in a data centre.
	SuspectAfter = 8 * time.Second
	// GoneAfter is the silence after which a peer is gone, among as many.
	GoneAfter = 20 * time.Second
	// ExpireAfter is the silence after which nothing is kept of a peer. It is
	// above every GoneAfter, so that nobody is told of a forgotten peer.
	ExpireAfter = 10 * time.Minute
)

// BaselineLocalHosts is the number of hosts in a data centre up to which the times of
// silence hold. Beyond it they grow in proportion, so that the bytes of
// heartbeats do not.
const BaselineLocalHosts = 16

// Bounds of what a host keeps and tells.
const (
	// MaxLocalPeers is how many hosts of the own data centre are kept.
	MaxLocalPeers = 256
	// MaxRemotePeers is how many hosts of each other data centre are kept.
	MaxRemotePeers = 8
	// MaxDataCentres is how many data centres are kept.
	MaxDataCentres = 64
	// TellLocal is how many hosts of their data centre one message between two
	// hosts of it tells of.
	TellLocal = 10
	// TellContacts is how many others a message tells of besides; between two
	// data centres it counts for each of them.
	TellContacts = 2
	// CrossEvery is the number of rounds between two exchanges with another
	// data centre while the platform is in reach.
	CrossEvery = 4
)
