// Package relay implements the calls between entry hosts: lookups of job state, which only
// the leader has, and calls to the store for a host that can't reach it.
package relay

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/entry/store"
	"github.com/godwitcross/godwitcross/fleet/job"
	"github.com/godwitcross/godwitcross/fleet/workspace"
)

// ErrNoLeader means that the called host is not the leader and could not reach it. Callers
// are sent its text, and peers the name NoOwner; both keep the word owner for the leader.
var ErrNoLeader = eris.New("no owner answers")

// ErrNoPeer means that the called host gave no valid answer. Callers are sent its text.
var ErrNoPeer = eris.New("the entry host gave no answer")

// Paths of the calls.
const (
	pathState   = "/State"
	pathWaiting = "/Waiting"
	pathAppend  = "/Append"
	pathRead    = "/Read"
	pathNewest  = "/Newest"
	pathHello   = "/Hello"
	pathLeading = "/Leading"
)

// MaxHops bounds how often a lookup is forwarded: to a host that may reach the leader, and
// from there to the leader.
const MaxHops = 2

// Peer is another entry host.
type Peer struct {
	Name    string
	Address string
	// Share is the host's share of a processor core, 0 if unknown.
	Share float64 `json:",omitempty"`
	// NoDirectPath is set while the host reaches the store through peers only, so that it can't claim leadership.
	NoDirectPath bool `json:",omitempty"`
}

// StateRequest is a lookup of a job's state.
type StateRequest struct {
	Job job.ID
	// Hops is how often the request may still be forwarded.
	Hops int `json:",omitempty"`
}

// StateAnswer is the leader's answer about a job.
type StateAnswer struct {
	Known bool
	State job.State `json:",omitempty"`
	// Queue is the queue to which the job was submitted.
	Queue string `json:",omitempty"`
	// Workspace is the job's, empty if it belongs to none. The host that asks decides who may see the job:
	// during an update, a leader may know no workspaces.
	Workspace workspace.Name `json:",omitempty"`
}

// WaitingRequest is a lookup of the number of waiting jobs of a queue.
type WaitingRequest struct {
	Queue string
	// Hops is how often the request may still be forwarded.
	Hops int `json:",omitempty"`
}

// WaitingAnswer holds the number of jobs of which no task has started.
type WaitingAnswer struct {
	Waiting int
	// Epoch is the epoch of the leader that answered.
	Epoch int64 `json:",omitempty"`
	// ViewAge is the age of the leader's view of the work stream.
	ViewAge time.Duration `json:",omitempty"`
}

// LeadingRequest asks whether a process leads under the claim with a nonce.
type LeadingRequest struct {
	Nonce string
}

// LeadingAnswer tells whether the process leads under that claim or may still come to. Once that is
// false it stays so.
type LeadingAnswer struct {
	// Name is the name of the host that answers.
	Name    string
	MayLead bool
}

// ReadRequest is a read of a stream.
type ReadRequest struct {
	Stream store.Stream
	From   int64
	Wait   time.Duration
}

// NewestRequest is a read of a page of the newest record of each key, of those after a key.
type NewestRequest struct {
	Stream store.Stream
	After  string `json:",omitempty"`
}

// reply is the envelope of every answer, as it is received.
type reply struct {
	Error string          `json:",omitempty"`
	Body  json.RawMessage `json:",omitempty"`
}

// newReply is the envelope of an answer that is sent. Its body is encoded together with it.
type newReply struct {
	Error string `json:",omitempty"`
	Body  any    `json:",omitempty"`
}

// sentinels holds the errors that are sent between hosts, by the name that is sent.
var sentinels = map[string]error{
	"Unavailable": store.ErrUnavailable,
	"Busy":        store.ErrBusy,
	"Unknown":     store.ErrUnknown,
	"Conflict":    store.ErrConflict,
	"Fenced":      store.ErrFenced,
	"Sequence":    store.ErrSequence,
	"Trimmed":     store.ErrTrimmed,
	"Refused":     store.ErrRefused,
	"NoOwner":     ErrNoLeader,
}

// errorName returns the name that is sent for an error.
func errorName(err error) string {
	if errors.Is(err, store.ErrBusy) {
		return "Busy" // it is an ErrUnavailable too
	}
	for name, sentinel := range sentinels {
		if errors.Is(err, sentinel) {
			return name
		}
	}
	return "Unknown"
}
