// Package election elects the leader, the one entry host that schedules. A host becomes
// the leader by a conditional append of a claim to the store. The claim's offset gives the
// epoch; a higher epoch fences the previous leader. It belongs to the program godwitcross.
package election

import (
	"encoding/json"
	"time"

	"github.com/godwitcross/godwitcross/entry/relay"
	"github.com/godwitcross/godwitcross/entry/store"
)

// Keys of the records in the leader stream. Heartbeats are stored under Sign, an older word
// that stays because stored names don't change.
const (
	keyClaim     = "Claim"
	keyHeartbeat = "Sign"
)

// Claim makes a host the leader. The epoch is the claim's offset plus one.
type Claim struct {
	Host relay.Peer
	// Term numbers the leaders from 0 without gaps, unlike the epoch.
	Term int64
	// Nonce distinguishes a process's own claim from one of an earlier process on its host.
	Nonce string
	// Restarts counts how often in a row a process succeeded an earlier one on the same host
	// as the leader.
	Restarts int `json:",omitempty"`
}

// Heartbeat is a record by which the leader shows that it is alive.
type Heartbeat struct {
	Epoch int64
	Host  relay.Peer
	// Peers are the entry hosts known to the leader.
	Peers []relay.Peer
	// Released is set when the leader steps down of its own accord, so that the next one need
	// not wait for the election timeout. A fenced leader doesn't set it.
	Released bool
	// Stopping is set when the leader steps down because its host stops.
	Stopping bool
}

// State is what a host has read about the leader.
type State struct {
	// Epoch is 0 until there is a first leader.
	Epoch int64
	Claim Claim
	Peers []relay.Peer
	// Released is set once the leader has stepped down.
	Released bool
	// Stopping is set if it stepped down because its host stops.
	Stopping bool
	// HeartbeatAt is when the last claim or heartbeat of the epoch was read. The candidate
	// also sets it without a heartbeat to restart the election timeout: before the first
	// claim, after a failed read, after a claim that failed without a conflict, and when its
	// own leadership ends.
	HeartbeatAt time.Time
	// Next is the offset from which to read on.
	Next int64
}

// Apply applies a record and reports whether it makes a new leader. Records of earlier
// epochs are ignored.
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
		var hb Heartbeat
		if err := json.Unmarshal(r.Value, &hb); err != nil {
			return false, err
		}
		if hb.Epoch != s.Epoch {
			return false, nil
		}
		s.HeartbeatAt, s.Peers, s.Released, s.Stopping = now, hb.Peers, hb.Released, hb.Stopping
	}
	return false, nil
}
