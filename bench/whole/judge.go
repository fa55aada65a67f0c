package whole

import (
	"fmt"
	"maps"
	"slices"

	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/retry"
)

// Rule is a guarantee that is checked.
type Rule string

// The guarantees that must hold during a run.
const (
	RuleDuplicate          Rule = "a non-idempotent request runs at most once"
	RuleFalseRefusal       Rule = "a request said not to have run did not run"
	RuleFalseAnswer        Rule = "an answered request ran"
	RuleTruncatedAnswer    Rule = "an answer is whole"
	RuleMisdeliveredAnswer Rule = "an answer reaches its own caller only"
	RuleBudget             Rule = "a pool stays within its availability budget"
	RuleOwnership          Rule = "a host is in exactly one pool"
	RuleRevertedVersion    Rule = "a configuration in force never reverts"
	RuleLostChange         Rule = "an accepted change is in force everywhere"
	RuleLostJob            Rule = "an accepted job is not lost"
	RuleDuplicateJob       Rule = "a job starts once"
	RuleReboot             Rule = "a wave reboots each host once"
	RuleBill               Rule = "the owners' shares add up to the whole"
)

// Violation is a violation of a rule.
type Violation struct {
	Rule Rule
	// Details identifies the object and describes the observation.
	Details string
}

// Verify returns all violations in a fixed order.
func Verify(o Observation) []Violation {
	var out []Violation
	for _, check := range []func(Observation) []Violation{
		verifyRequests, verifyPools, verifyOwnership, verifyVersions, verifyJobs, verifyReboots, verifyBill,
	} {
		out = append(out, check(o)...)
	}
	return out
}

func newViolation(rule Rule, format string, args ...any) Violation {
	return Violation{Rule: rule, Details: fmt.Sprintf(format, args...)}
}

func verifyRequests(o Observation) []Violation {
	var out []Violation
	for _, r := range o.Requests {
		out = append(out, verifyRequest(r, o.Executions[r.Key])...)
	}
	return out
}

func verifyRequest(r Request, executions int) []Violation {
	var out []Violation
	if !r.Idempotent && executions > 1 {
		out = append(out, newViolation(RuleDuplicate, "%s ran %d times", r.Key, executions))
	}
	answered := false
	for _, a := range r.Attempts {
		if a.Outcome != retry.Answered {
			continue
		}
		answered = true
		if !a.Complete {
			out = append(out, newViolation(RuleTruncatedAnswer, "%s", r.Key))
		}
		if a.Complete && !a.MatchesRequest {
			out = append(out, newViolation(RuleMisdeliveredAnswer, "%s", r.Key))
		}
	}
	if answered && executions == 0 {
		out = append(out, newViolation(RuleFalseAnswer, "%s", r.Key))
	}
	last := r.Attempts[len(r.Attempts)-1]
	if last.Outcome == retry.NotRun && executions > 0 {
		out = append(out, newViolation(RuleFalseRefusal, "%s ran %d times and was refused last", r.Key, executions))
	}
	return out
}

func verifyPools(o Observation) []Violation {
	var out []Violation
	for _, s := range o.Pools {
		if s.Unavailable > s.Limit {
			out = append(out, newViolation(RuleBudget, "pool %s had %d hosts unavailable, %d are allowed", s.Pool, s.Unavailable, s.Limit))
		}
	}
	return out
}

func verifyOwnership(o Observation) []Violation {
	var out []Violation
	for _, s := range o.Ownership {
		if s.Pools != 1 {
			out = append(out, newViolation(RuleOwnership, "host %s was in %d pools on entry host %s", s.Host, s.Pools, s.Entry))
		}
	}
	return out
}

func verifyVersions(o Observation) []Violation {
	var out []Violation
	last := make(map[inventory.EntryID]configuration.Version)
	for _, s := range o.Versions {
		if s.Version < last[s.Entry] {
			out = append(out, newViolation(RuleRevertedVersion, "entry host %s went from version %d to %d", s.Entry, last[s.Entry], s.Version))
		}
		last[s.Entry] = s.Version
	}
	if len(o.Accepted) == 0 {
		return out
	}
	newest := slices.Max(o.Accepted)
	for _, id := range slices.Sorted(maps.Keys(last)) {
		if last[id] < newest {
			out = append(out, newViolation(RuleLostChange, "entry host %s ended at version %d, %d was accepted", id, last[id], newest))
		}
	}
	return out
}

func verifyJobs(o Observation) []Violation {
	var out []Violation
	for _, j := range o.Jobs {
		if !j.Known || !j.Done {
			out = append(out, newViolation(RuleLostJob, "job %s: known %t, state %q", j.Job, j.Known, j.State))
		}
		if j.Starts > 1 {
			out = append(out, newViolation(RuleDuplicateJob, "job %s started %d times", j.Job, j.Starts))
		}
	}
	return out
}

func verifyReboots(o Observation) []Violation {
	var out []Violation
	for _, id := range slices.Sorted(maps.Keys(o.Reboots)) {
		if n := o.Reboots[id]; n != 1 {
			out = append(out, newViolation(RuleReboot, "host %s rebooted %d times", id, n))
		}
	}
	return out
}

func verifyBill(o Observation) []Violation {
	if o.Bill == nil {
		return nil
	}
	sum := int64(0)
	for _, s := range o.Bill.Shares {
		sum += s
	}
	if sum != o.Bill.Total {
		return []Violation{newViolation(RuleBill, "the shares add up to %d, the total is %d", sum, o.Bill.Total)}
	}
	return nil
}
