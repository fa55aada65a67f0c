// Package membership tracks the other entry hosts by the heartbeats that they exchange by
// gossip: all hosts of the own data centre and a few of each remote data centre.
package membership

import (
	"time"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
)

// Incarnation identifies a start of a host's process; a later start has a higher one.
type Incarnation int64

// Load is the current load of a host.
type Load struct {
	InFlight int
	Queued   int
}

// Heartbeat is the state that a host reports of itself.
type Heartbeat struct {
	Name       inventory.EntryID
	DataCentre inventory.DataCentreID
	// Address is the IP address and port for peers.
	Address     string
	Incarnation Incarnation
	// Sequence increases by one with each heartbeat of an incarnation.
	Sequence int64
	// Applied is the offset of the first record that is not yet applied. It never
	// decreases within an incarnation.
	Applied journal.Offset
	// Digest is the digest of the state at Applied, History that of the records before.
	Digest  uint64
	History uint64
	// KnownKinds distinguishes releases by the kinds of records that they know. Digests
	// are comparable only between hosts with the same value.
	KnownKinds uint32
	Load       Load
	// Platform is set while the host itself reaches the platform.
	Platform bool
	// View is a digest of the hosts that the host sees alive in its data centre.
	View uint32
	// Leaving is set in the last heartbeat before a planned stop.
	Leaving bool
}

// IsNewer reports whether h was sent after o by the same host.
func (h Heartbeat) IsNewer(o Heartbeat) bool {
	if h.Incarnation != o.Incarnation {
		return h.Incarnation > o.Incarnation
	}
	return h.Sequence > o.Sequence
}

// State is the state of a peer as seen by one host.
type State string

// The states of a peer. A suspected peer may be paused, partitioned or stopped; its entry
// cannot be evicted for another host until it is gone.
const (
	Alive   State = "Alive"
	Suspect State = "Suspect"
	Gone    State = "Gone"
)

// Intervals and timeouts of membership.
const (
	// HeartbeatInterval is the time between two heartbeats of a host.
	HeartbeatInterval = time.Second
	// SuspectAfter is the time without a heartbeat after which a peer is suspected, for
	// up to BaselineLocalHosts hosts in the data centre.
	SuspectAfter = 8 * time.Second
	// GoneAfter is the time without a heartbeat after which a peer is gone, for as many
	// hosts.
	GoneAfter = 20 * time.Second
	// ExpireAfter is the time without a heartbeat after which a peer is removed from the
	// table. It exceeds GoneAfter at every size of a data centre, so that no host still
	// passes on heartbeats of a removed peer.
	ExpireAfter = 10 * time.Minute
)

// BaselineLocalHosts is the number of hosts in a data centre up to which SuspectAfter and
// GoneAfter apply unchanged. Beyond it they grow in proportion, so that the heartbeat
// traffic does not.
const BaselineLocalHosts = 16

// Bounds of the table and of messages.
const (
	// MaxLocalPeers is the maximum number of peers kept of the own data centre.
	MaxLocalPeers = 256
	// MaxRemotePeers is the maximum number of peers kept of each remote data centre.
	MaxRemotePeers = 8
	// MaxDataCentres is the maximum number of data centres of which peers are kept.
	MaxDataCentres = 64
	// GossipLocalPeers is the maximum number of peers of the own data centre in a message
	// to a host of the same data centre.
	GossipLocalPeers = 10
	// GossipRemotePeers is the maximum number of peers of other data centres in a
	// message. In a message to another data centre it applies to the peers of the
	// sender's, of the recipient's and of all other data centres each.
	GossipRemotePeers = 2
	// RemoteExchangeRounds is the number of rounds between two exchanges with a remote
	// data centre while the platform is reachable.
	RemoteExchangeRounds = 4
)
