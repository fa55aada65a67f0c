package membership

import "github.com/godwitcross/godwitcross/fleet/journal"

// Relation is the relation of a peer's state to that of this host.
type Relation string

// The relations of two states.
const (
	// Same and Diverged compare the states at the same offset.
	Same     Relation = "Same"
	Diverged Relation = "Diverged"
	// Ahead and Behind compare only the offsets, not the states.
	Ahead  Relation = "Ahead"
	Behind Relation = "Behind"
	// OtherLog means that the peer applied other records at the same offsets.
	OtherLog Relation = "OtherLog"
)

// Compare returns the relation of a peer's state to that in the own heartbeat. The
// function history returns this host's digest of the records before an earlier offset, if
// it is still known.
func Compare(own Heartbeat, p Peer, history func(journal.Offset) (uint64, bool)) Relation {
	if p.Applied > own.Applied {
		return Ahead
	}
	if h, known := history(p.Applied); known && h != p.History {
		return OtherLog
	}
	if p.Applied < own.Applied {
		return Behind
	}
	if p.KnownKinds == own.KnownKinds && p.Digest != own.Digest {
		return Diverged
	}
	return Same
}

// MostAdvanced returns the alive and reachable peer with the highest applied offset, if
// that is greater than next.
func MostAdvanced(peers []Peer, next journal.Offset) (Peer, bool) {
	var best Peer
	found := false
	for _, p := range peers {
		if p.Reachable && p.State == Alive && p.Applied > next && (!found || p.Applied > best.Applied) {
			best, found = p, true
		}
	}
	return best, found
}
