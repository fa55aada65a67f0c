package configuration

import (
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/label"
	"github.com/rotisserie/eris"
)

// Job is a piece of work that a team submits. The pool whose Jobs selector
// matches Labels runs it.
type Job struct {
	ID    inventory.JobID
	Owner inventory.OwnerID
	Team  inventory.TeamID
	// Labels decide which pool the job belongs to.
	Labels label.Set
	// Declared is the size that the submitter states. It is often far off.
	Declared inventory.Size
	// DeclaredTime is the run time that the submitter states. It is often far off.
	DeclaredTime Duration
	// Urgent jobs start before all others and within 1.1 s where there is room.
	Urgent bool `json:",omitempty"`
	// Idempotent jobs may be started again after an uncertain start.
	Idempotent bool `json:",omitempty"`
	// Template groups jobs whose real sizes resemble each other; the sizes that
	// are learned belong to it.
	Template string
	// Command is what the worker runs, passed on as it is.
	Command string
}

// Validate returns an error that names the first field that breaks a rule.
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
