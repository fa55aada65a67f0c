// Package whole checks the whole product over real sockets in one process while
// everything around it fails. Its verdict is by counts, never by speed.
package whole

import (
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/retry"
)

// Attempt is one sending of a request by a caller.
type Attempt struct {
	// Outcome is what the entry host said; empty if the connection broke.
	Outcome retry.Outcome
	Status  int
	// Whole is whether an answered body has its full length.
	Whole bool
	// Own is whether an answered body is that of this request.
	Own bool
}

// Request is what a caller saw of one request.
type Request struct {
	Key string
	// Idempotent requests may be executed more than once.
	Idempotent bool
	// Attempts are in the order of sending; never empty.
	Attempts []Attempt
}

// PoolSample is how many hosts of a pool were unavailable at a moment.
type PoolSample struct {
	Pool inventory.PoolID
	// Unavailable counts hosts that were draining, drained or rebooting.
	Unavailable int
	// Allowed is what the pool's budget allows.
	Allowed int
}

// OwnershipSample is how often a host stood in the pools of one entry host's view.
type OwnershipSample struct {
	Entry inventory.EntryID
	Host  inventory.HostID
	// Pools must be 1.
	Pools int
}

// VersionSample is the version that an entry host had in force. Samples of one
// host are in order of time.
type VersionSample struct {
	Entry   inventory.EntryID
	Version configuration.Version
}

// JobSample is a job at the end.
type JobSample struct {
	Job inventory.JobID
	// Known is whether the system still tells of the job.
	Known bool
	// Starts counts executions by workers.
	Starts int
	// Done is whether it ran to its end, State what the system says of it.
	Done  bool
	State string
}

// Bill is what the entry hosts computed and what was there to be shared.
type Bill struct {
	// Shares are the owners' parts in host-milliseconds.
	Shares map[inventory.OwnerID]int64
	// Total is the whole in host-milliseconds.
	Total int64
}

// Observation is all that was seen during a run.
type Observation struct {
	Requests []Request
	// Executions counts by key what backend servers executed.
	Executions map[string]int
	Pools      []PoolSample
	// Ownership has the hosts that were seen in no pool or in several; HostLooks
	// counts all looks at hosts.
	Ownership []OwnershipSample
	HostLooks int
	Versions  []VersionSample
	// Accepted are the versions of the changes that were accepted.
	Accepted []configuration.Version
	Jobs     []JobSample
	// Reboots counts by host of the wave; each must be 1 when the wave is done.
	Reboots map[inventory.HostID]int
	Bill    *Bill
}
