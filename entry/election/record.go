// Package election elects the leader, the one entry host that schedules. A host becomes
// the leader by a conditional append of a claim to the store. The claim's offset gives the
// epoch; a higher epoch fences the previous leader. It belongs to the program godwitcross.
package election

import (
	"encoding/json"
	"time"

	"github.com/godwitcross/godwitcross/entry/relay"
	"github.com/godwitcross/godwitcross/entry/store"
	"github.com/godwitcross/godwitcross/fleet/job"
	"github.com/godwitcross/godwitcross/fleet/scheduling"
	"github.com/godwitcross/godwitcross/fleet/shedding"
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
	// StoreSlow is set while the leader finds that appends to the store take long.
	StoreSlow bool `json:",omitempty"`
	// Leases is what the next leader has to know about leases. It is nil until the leader has
	// taken over.
	Leases *Leases `json:",omitempty"`
	// Delays are those of overloaded queues, by name.
	Delays map[string]Delay `json:",omitempty"`
}

// Delay is a shedding.Delay. Its time counts from the heartbeat on; the reader counts it from the time of reading.
type Delay struct {
	AfterMs  int64
	Cost     float64
	Spread   float64 `json:",omitempty"`
	Resource int     `json:",omitempty"`
	MeanMs   float64 `json:",omitempty"`
}

func encodeDelays(delays map[string]shedding.Delay) map[string]Delay {
	var out map[string]Delay
	for name, d := range delays {
		if out == nil {
			out = make(map[string]Delay, len(delays))
		}
		out[name] = Delay{d.After.Milliseconds(), d.Cost, d.Spread, d.Resource, float64(d.Mean) / float64(time.Millisecond)}
	}
	return out
}

func decodeDelays(delays map[string]Delay) map[string]shedding.Delay {
	var out map[string]shedding.Delay
	for name, d := range delays {
		if out == nil {
			out = make(map[string]shedding.Delay, len(delays))
		}
		out[name] = shedding.Delay{
			After: time.Duration(d.AfterMs) * time.Millisecond, Cost: d.Cost, Spread: d.Spread, Resource: d.Resource,
			Mean: time.Duration(d.MeanMs * float64(time.Millisecond)),
		}
	}
	return out
}

// Leases are scheduling.LeaseHandover with times as durations from the heartbeat on. Their reader
// counts them from the time of reading, which is later, so that no clock is compared.
type Leases struct {
	EarlierMs int64
	GivenUp   []GivenUpLease `json:",omitempty"`
	// PendingStarts are the starts without an answer.
	PendingStarts []PendingStart `json:",omitempty"`
}

// GivenUpLease is a scheduling.GivenUpLease.
type GivenUpLease struct {
	Worker       scheduling.WorkerID
	Registration int64
	LapsesMs     int64
}

// PendingStart is a scheduling.PendingStart.
type PendingStart struct {
	Task   string
	Worker scheduling.WorkerID
	ForMs  int64
}

// encodeLeases returns the leases of a heartbeat that is sent at now.
func encodeLeases(now time.Time, l *scheduling.LeaseHandover) *Leases {
	if l == nil {
		return nil
	}
	out := &Leases{EarlierMs: msUntil(now, l.EarlierLapseAt)}
	for _, g := range l.GivenUp {
		out.GivenUp = append(out.GivenUp, GivenUpLease{Worker: g.Worker, Registration: g.Registration, LapsesMs: msUntil(now, g.LapsesAt)})
	}
	for _, p := range l.PendingStarts {
		out.PendingStarts = append(out.PendingStarts, PendingStart{Task: p.Task.String(), Worker: p.Worker, ForMs: msUntil(now, p.Until)})
	}
	return out
}

// decode returns the leases of a heartbeat that was read at now.
func (l *Leases) decode(now time.Time) *scheduling.LeaseHandover {
	if l == nil {
		return nil
	}
	out := &scheduling.LeaseHandover{EarlierLapseAt: now.Add(time.Duration(l.EarlierMs) * time.Millisecond)}
	for _, g := range l.GivenUp {
		out.GivenUp = append(out.GivenUp, scheduling.GivenUpLease{
			Worker: g.Worker, Registration: g.Registration, LapsesAt: now.Add(time.Duration(g.LapsesMs) * time.Millisecond),
		})
	}
	for _, p := range l.PendingStarts {
		t, err := job.ParseTask(p.Task)
		if err != nil {
			continue // the name is of another version
		}
		out.PendingStarts = append(out.PendingStarts, scheduling.PendingStart{
			Task: t, Worker: p.Worker, Until: now.Add(time.Duration(p.ForMs) * time.Millisecond),
		})
	}
	return out
}

// msUntil returns the time from now until at in milliseconds, rounded up, and 0 if at has
// passed.
func msUntil(now, at time.Time) int64 {
	if !at.After(now) {
		return 0
	}
	return (at.Sub(now) + time.Millisecond - 1).Milliseconds()
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
	// StoreSlow is that of the epoch's last heartbeat.
	StoreSlow bool
	// HeartbeatAt is when the last claim or heartbeat of the epoch was read. The candidate
	// also sets it without a heartbeat to restart the election timeout: before the first
	// claim, after a failed read, after a claim that failed without a conflict, and when its
	// own leadership ends.
	HeartbeatAt time.Time
	// UnendedAt is when the last leader before this epoch's that isn't known to have ended was
	// last heard of, or zero.
	UnendedAt time.Time
	// Leases are those of the epoch's last heartbeat, or nil.
	Leases *scheduling.LeaseHandover
	// Delays are those of the epoch's last heartbeat, read at DelaysAt. There are none once the leader has stepped down.
	// They must not be modified.
	Delays   map[string]shedding.Delay
	DelaysAt time.Time
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
		if s.Epoch > 0 && !s.Stopping {
			s.UnendedAt = s.HeartbeatAt
		}
		s.Epoch, s.Claim, s.HeartbeatAt, s.Released, s.Stopping, s.Leases = r.Offset+1, c, now, false, false, nil
		s.StoreSlow, s.Delays, s.DelaysAt = false, nil, time.Time{}
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
		s.StoreSlow, s.Leases = hb.StoreSlow, hb.Leases.decode(now)
		s.Delays, s.DelaysAt = nil, now
		if !hb.Released {
			s.Delays = decodeDelays(hb.Delays)
		}
	}
	return false, nil
}
