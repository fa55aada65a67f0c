// Package operation holds the messages of the operators' interface, which the
// entry hosts and the command line share. Their form is JSON.
package operation

import (
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/lease"
	"github.com/godwitcross/godwitcross/fleet/placement"
)

// HeaderOperator names the operator who asks, where the host believes names.
const HeaderOperator = "Operator"

// Refusal is the body of an answer that says what was wrong.
type Refusal struct {
	Error string
}

// Publication is the body of POST /changes and of POST /proposals.
type Publication struct {
	// ID is unique to the publication; a repeat under the same ID has no effect.
	ID     journal.RecordID
	Change configuration.Change
}

// Status is the answer to GET /status: what a host tells of itself.
type Status struct {
	Name inventory.EntryID
	// NotReady says why the balancer should send nothing; empty for a ready host.
	NotReady string `json:",omitempty"`
	Version  configuration.Version
	// Next is the offset of the first record of the global stream that is not
	// applied, End that behind the last one seen.
	Next   journal.Offset
	End    journal.Offset
	Digest uint64
	Counts map[journal.Outcome]int64
}

// Duty is one line of GET /duties.
type Duty struct {
	Duty lease.Duty
	lease.Holding
}

// Submission is the body of POST /jobs.
type Submission struct {
	// ID is unique to the submission; a repeat under the same ID has no effect.
	ID   journal.RecordID
	Jobs []configuration.Job
}

// Cancellation is the body of POST /jobs/cancel. A repeat has no effect.
type Cancellation struct {
	Jobs []inventory.JobID
}

// CancelAnswer is the answer to POST /jobs/cancel.
type CancelAnswer struct {
	// Jobs is how many jobs were named.
	Jobs int
}

// JobSummary is the answer to GET /jobs.
type JobSummary struct {
	DataCentre inventory.DataCentreID
	// Counts has the number of remembered jobs in each state.
	Counts map[placement.State]int
	// Jobs are the last accepted, newest last.
	Jobs []placement.Job
}
