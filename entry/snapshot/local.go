package snapshot

import (
	"context"

	"github.com/godwitcross/godwitcross/fleet/journal"
)

// NoPeers is the peer source of streams that peers don't hand on.
type NoPeers struct{}

// ReadSnapshot returns journal.ErrSnapshot.
func (NoPeers) ReadSnapshot(context.Context, journal.Offset) (journal.Snapshot, error) {
	return journal.Snapshot{}, journal.ErrSnapshot
}

// NoDoubt is the doubt of streams whose state is compared with nobody's.
func NoDoubt() string {
	return ""
}
