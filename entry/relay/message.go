// Package relay is what entry hosts ask each other: the state of jobs, which the
// owner knows, and calls to the store for a host that can't reach it.
package relay

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/entry/store"
	"github.com/godwitcross/godwitcross/fleet/job"
)

// ErrNoLeader says that the host asked isn't the owner and knows none that answers.
var ErrNoLeader = eris.New("no owner answers")

// ErrNoPeer says that the host asked gave no answer.
var ErrNoPeer = eris.New("the entry host gave no answer")

// Paths of the calls.
const (
	pathState   = "/State"
	pathWaiting = "/Waiting"
	pathAppend  = "/Append"
	pathRead    = "/Read"
	pathNewest  = "/Newest"
	pathHello   = "/Hello"
)

// MaxHops is how often a question of a caller is passed on: to a host that may reach
// the owner, and from there to the owner.
const MaxHops = 2

// Peer is another entry host.
type Peer struct {
	Name    string
	Address string
	// Share is the host's share of a core, 0 where it isn't known.
	Share float64 `json:",omitempty"`
}

// StateRequest asks for a job's state.
type StateRequest struct {
	Job job.ID
	// Hops is how often the request may still be passed on.
	Hops int `json:",omitempty"`
}

// StateAnswer is what the owner knows of a job.
type StateAnswer struct {
	Known bool
	State job.State `json:",omitempty"`
	// Queue is the queue that took the job.
	Queue string `json:",omitempty"`
}

// WaitingRequest asks how many jobs of a queue wait.
type WaitingRequest struct {
	Queue string
	// Hops is how often the request may still be passed on.
	Hops int `json:",omitempty"`
}

// WaitingAnswer is the number of jobs of which no task has started.
type WaitingAnswer struct {
	Waiting int
}

// ReadRequest asks for records of a stream.
type ReadRequest struct {
	Stream store.Stream
	From   int64
	Wait   time.Duration
}

// NewestRequest asks for the newest record of each key.
type NewestRequest struct {
	Stream store.Stream
}

// reply is the envelope of each answer.
type reply struct {
	Error string          `json:",omitempty"`
	Body  json.RawMessage `json:",omitempty"`
}

// sentinels are the errors that keep their meaning between hosts, by name.
var sentinels = map[string]error{
	"Unavailable": store.ErrUnavailable,
	"Unknown":     store.ErrUnknown,
	"Conflict":    store.ErrConflict,
	"Fenced":      store.ErrFenced,
	"Sequence":    store.ErrSequence,
	"Trimmed":     store.ErrTrimmed,
	"Refused":     store.ErrRefused,
	"NoOwner":     ErrNoLeader,
}

// errorName returns the name under which an error travels.
func errorName(err error) string {
	for name, sentinel := range sentinels {
		if errors.Is(err, sentinel) {
			return name
		}
	}
	return "Unknown"
}
