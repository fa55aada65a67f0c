// Package election decides which entry host is the owner: the one that schedules.
// A claim appended to the store under a condition makes one, a higher epoch fences
// the one before.
package election

import (
	"encoding/json"
	"time"

	"github.com/godwitcross/godwitcross/entry/relay"
	"github.com/godwitcross/godwitcross/entry/store"
)

// Keys of the records.
const (
	keyClaim     = "Claim"
	keyHeartbeat = "Sign"
)

// Claim makes a host the owner. Its epoch is its offset plus one.
type Claim struct {
	Host relay.Peer
	// Term numbers the owners from 0.
	Term int64
	// Nonce tells a host's own claim from one of its former life.
	Nonce string
	// Restarts counts the owners before on the same host whose processes ended one after
	// the other.
	Restarts int `json:",omitempty"`
}

// Heartbeat is the owner's sign of life.
type Heartbeat struct {
	Epoch int64
	Host  relay.Peer
	// Peers are the entry hosts that the owner knows.
	Peers []relay.Peer
	// Released owners own no more: the next one need not wait.
	Released bool
	// Stopping owners released since their host stops.
	Stopping bool
}

// State is what a host knows of the owner.
type State struct {
	// Epoch is 0 while there has been no owner.
	Epoch int64
	Claim Claim
	Peers []relay.Peer
	// Released is set once the owner has stopped as planned.
	Released bool
	// Stopping is set if it released since its host stops.
	Stopping bool
	// HeartbeatAt is when the last claim or sign of the epoch was read.
	HeartbeatAt time.Time
	// Next is the offset from which to read on.
	Next int64
}

// Apply takes a record into account and reports whether it makes a new owner.
// Records of former owners change nothing.
func (s *State) Apply(now time.Time, r store.Record) (bool, error) {
	switch r.Key {
	case keyClaim:
		var c Claim
		if err := json.Unmarshal(r.Value, &c); err != nil {
			return false, err
		}
		if r.Offset+1 <= s.Epoch {
			return false, nil
		}
		s.Epoch, s.Claim, s.HeartbeatAt, s.Released, s.Stopping = r.Offset+1, c, now, false, false
		return true, nil
	case keyHeartbeat:
		var b Heartbeat
		if err := json.Unmarshal(r.Value, &b); err != nil {
			return false, err
		}
		if b.Epoch != s.Epoch {
			return false, nil
		}
		s.HeartbeatAt, s.Peers, s.Released, s.Stopping = now, b.Peers, b.Released, b.Stopping
	}
	return false, nil
}
