package membership

import "github.com/godwitcross/godwitcross/fleet/journal"

// Relation is how a peer's state stands to the own one.
type Relation string

// The relations of two states.
const (
	// Same and Diverged hold at the same offset only.
	Same     Relation = "Same"
	Diverged Relation = "Diverged"
	// Ahead and Behind say nothing of the contents.
	Ahead  Relation = "Ahead"
	Behind Relation = "Behind"
	// OtherLog means that the peer applied other records at the same offsets.
	OtherLog Relation = "OtherLog"
)

// Compare returns how the peer stands to the own heartbeat. The history gives
// the own digest of the records at an earlier offset, if it is still known.
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

// AheadOf returns the reachable peer that has applied most, if it has applied
// more than next.
func AheadOf(peers []Peer, next journal.Offset) (Peer, bool) {
	var best Peer
	found := false
	for _, p := range peers {
		if p.Reachable && p.State == Alive && p.Applied > next && (!found || p.Applied > best.Applied) {
			best, found = p, true
		}
	}
	return best, found
}
