// Package whole checks the whole product in one process over real sockets while faults
// are injected into everything around it. The result depends on counts, never on speed.
package whole

import (
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/retry"
)

// Attempt is an attempt of a caller to send a request.
type Attempt struct {
	// Outcome is the outcome reported by the entry host; empty if the connection
	// failed.
	Outcome retry.Outcome
	Status  int
	// Complete is whether the body of an answer has its full length.
	Complete bool
	// MatchesRequest is whether the body of an answer belongs to this request.
	MatchesRequest bool
}

// Request is a request as observed by its caller.
type Request struct {
	Key string
	// Idempotent requests may be executed more than once.
	Idempotent bool
	// Attempts are in the order of sending; never empty.
	Attempts []Attempt
}

// PoolSample is the number of unavailable hosts of a pool at one time.
type PoolSample struct {
	Pool inventory.PoolID
	// Unavailable counts hosts that were draining, drained or rebooting.
	Unavailable int
	// Limit is the number of unavailable hosts that the pool's budget allows.
	Limit int
}

// OwnershipSample is the number of pools that contain a host according to one entry
// host.
type OwnershipSample struct {
	Entry inventory.EntryID
	Host  inventory.HostID
	// Pools must be 1.
	Pools int
}

// VersionSample is the configuration version in force on an entry host. Samples of one
// host are in chronological order.
type VersionSample struct {
	Entry   inventory.EntryID
	Version configuration.Version
}

// JobSample is the state of a job at the end of the run.
type JobSample struct {
	Job inventory.JobID
	// Known is whether the system still has a record of the job.
	Known bool
	// Starts counts executions by workers.
	Starts int
	// Done is whether the job was completed, State the state that the system reports.
	Done  bool
	State string
}

// Bill is the bill computed by the entry hosts and the total to be shared.
type Bill struct {
	// Shares are the host-milliseconds by owner.
	Shares map[inventory.OwnerID]int64
	// Total is the host-milliseconds of all hosts.
	Total int64
}

// Observation contains everything that was observed during a run.
type Observation struct {
	Requests []Request
	// Executions counts executions by backend servers by request key.
	Executions map[string]int
	Pools      []PoolSample
	// Ownership contains the hosts that were in no pool or in several pools;
	// HostSamples counts all checked hosts.
	Ownership   []OwnershipSample
	HostSamples int
	Versions    []VersionSample
	// Accepted are the versions of the accepted changes.
	Accepted []configuration.Version
	Jobs     []JobSample
	// Reboots counts reboots by host of the wave; each must be 1 once the wave is done.
	Reboots map[inventory.HostID]int
	Bill    *Bill
}
