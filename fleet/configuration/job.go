package configuration

import (
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/label"
	"github.com/rotisserie/eris"
)

// Job is a unit of work that a team submits. It runs in the pool whose Jobs selector
// matches Labels.
type Job struct {
	ID    inventory.JobID
	Owner inventory.OwnerID
	Team  inventory.TeamID
	// Labels determine the job's pool.
	Labels label.Set
	// Declared is the size that the submitter declares. It is often far from the real
	// size.
	Declared inventory.Size
	// DeclaredTime is the run time that the submitter declares. It is often far from the
	// real run time.
	DeclaredTime Duration
	// Urgent jobs start before all others, and within 1.1 s if there is capacity.
	Urgent bool `json:",omitempty"`
	// Idempotent jobs may be started again if it is unknown whether a start succeeded.
	Idempotent bool `json:",omitempty"`
	// Template groups jobs of similar real size; sizes are learned per template.
	Template string
	// Command is passed to the worker unchanged.
	Command string
}

// Validate returns an error that names one invalid field.
func (j Job) Validate() error {
	for field, v := range map[string]string{"ID": string(j.ID), "Team": string(j.Team), "Template": j.Template} {
		if (label.Set{"Name": v}).Validate() != nil || v == "" {
			return eris.Wrapf(ErrName, "%s %q of job %q", field, v, j.ID)
		}
	}
	return firstError(
		j.Labels.Validate(),
		validateSize(j.Declared),
		checkRange("DeclaredTime", j.DeclaredTime, 0, 30*24*MaxDeadline),
	)
}
