// Package operation defines the JSON messages of the operators' API, which the entry
// hosts and the command line client share.
package operation

import (
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/lease"
	"github.com/godwitcross/godwitcross/fleet/placement"
)

// HeaderOperator is the header with the requesting operator's name. A caller may set it
// only where the host accepts names in headers.
const HeaderOperator = "Operator"

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Error string
}

// Publication is the request body of POST /changes and POST /proposals.
type Publication struct {
	// ID is unique to the publication; a repeat under the same ID has no effect.
	ID     journal.RecordID
	Change configuration.Change
}

// Status is the response to GET /status: the state of the host that answers.
type Status struct {
	Name inventory.EntryID
	// NotReady is the reason why the load balancer should send no requests; empty for a
	// ready host.
	NotReady string `json:",omitempty"`
	Version  configuration.Version
	// Next is the offset of the first record of the global stream that is not applied
	// yet, and End the offset after the last record seen.
	Next   journal.Offset
	End    journal.Offset
	Digest uint64
	Counts map[journal.Outcome]int64
}

// Duty is one item of the response to GET /duties.
type Duty struct {
	Duty lease.Duty
	lease.Holding
}

// Submission is the request body of POST /jobs.
type Submission struct {
	// ID is unique to the submission; a repeat under the same ID has no effect.
	ID   journal.RecordID
	Jobs []configuration.Job
}

// Cancellation is the request body of POST /jobs/cancel. A repeat has no effect.
type Cancellation struct {
	Jobs []inventory.JobID
}

// CancelResponse is the response to POST /jobs/cancel.
type CancelResponse struct {
	// Jobs is the number of jobs named in the request.
	Jobs int
}

// JobSummary is the response to GET /jobs.
type JobSummary struct {
	DataCentre inventory.DataCentreID
	// Counts is the number of retained jobs in each state.
	Counts map[placement.State]int
	// Jobs are the last accepted jobs, the newest last.
	Jobs []placement.Job
}
