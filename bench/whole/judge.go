package whole

import (
	"fmt"
	"maps"
	"slices"

	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/retry"
)

// Rule is one of the promises.
type Rule string

// The rules that a run must keep.
const (
	RuleDouble        Rule = "a non-idempotent request runs at most once"
	RuleFalseRefusal  Rule = "a request said not to have run did not run"
	RuleFalseAnswer   Rule = "an answered request ran"
	RuleCutAnswer     Rule = "an answer is whole"
	RuleForeignAnswer Rule = "an answer reaches its own caller only"
	RuleBudget        Rule = "a pool stays within its availability budget"
	RuleOwnership     Rule = "a host is in exactly one pool"
	RuleReverted      Rule = "a configuration in force never reverts"
	RuleLostChange    Rule = "an accepted change is in force everywhere"
	RuleLostJob       Rule = "an accepted job is not lost"
	RuleDoubleJob     Rule = "a job starts once"
	RuleReboot        Rule = "a wave reboots each host once"
	RuleBill          Rule = "the owners' shares add up to the whole"
)

// Violation is one break of a rule.
type Violation struct {
	Rule Rule
	// What names the thing and what was seen.
	What string
}

// Judge returns every break of a rule, in a fixed order.
func Judge(o Observation) []Violation {
	var out []Violation
	for _, check := range []func(Observation) []Violation{
		judgeRequests, judgePools, judgeOwnership, judgeVersions, judgeJobs, judgeReboots, judgeBill,
	} {
		out = append(out, check(o)...)
	}
	return out
}

func violation(rule Rule, format string, args ...any) Violation {
	return Violation{Rule: rule, What: fmt.Sprintf(format, args...)}
}

func judgeRequests(o Observation) []Violation {
	var out []Violation
	for _, r := range o.Requests {
		out = append(out, judgeRequest(r, o.Executions[r.Key])...)
	}
	return out
}

func judgeRequest(r Request, executions int) []Violation {
	var out []Violation
	if !r.Idempotent && executions > 1 {
		out = append(out, violation(RuleDouble, "%s ran %d times", r.Key, executions))
	}
	answered := false
	for _, a := range r.Attempts {
		if a.Outcome != retry.Answered {
			continue
		}
		answered = true
		if !a.Whole {
			out = append(out, violation(RuleCutAnswer, "%s", r.Key))
		}
		if a.Whole && !a.Own {
			out = append(out, violation(RuleForeignAnswer, "%s", r.Key))
		}
	}
	if answered && executions == 0 {
		out = append(out, violation(RuleFalseAnswer, "%s", r.Key))
	}
	last := r.Attempts[len(r.Attempts)-1]
	if last.Outcome == retry.NotRun && executions > 0 {
		out = append(out, violation(RuleFalseRefusal, "%s ran %d times and was refused last", r.Key, executions))
	}
	return out
}

func judgePools(o Observation) []Violation {
	var out []Violation
	for _, s := range o.Pools {
		if s.Unavailable > s.Allowed {
			out = append(out, violation(RuleBudget, "pool %s had %d hosts unavailable, %d are allowed", s.Pool, s.Unavailable, s.Allowed))
		}
	}
	return out
}

func judgeOwnership(o Observation) []Violation {
	var out []Violation
	for _, s := range o.Ownership {
		if s.Pools != 1 {
			out = append(out, violation(RuleOwnership, "host %s was in %d pools on entry host %s", s.Host, s.Pools, s.Entry))
		}
	}
	return out
}

func judgeVersions(o Observation) []Violation {
	var out []Violation
	last := make(map[inventory.EntryID]configuration.Version)
	for _, s := range o.Versions {
		if s.Version < last[s.Entry] {
			out = append(out, violation(RuleReverted, "entry host %s went from version %d to %d", s.Entry, last[s.Entry], s.Version))
		}
		last[s.Entry] = s.Version
	}
	if len(o.Accepted) == 0 {
		return out
	}
	newest := slices.Max(o.Accepted)
	for _, id := range slices.Sorted(maps.Keys(last)) {
		if last[id] < newest {
			out = append(out, violation(RuleLostChange, "entry host %s ended at version %d, %d was accepted", id, last[id], newest))
		}
	}
	return out
}

func judgeJobs(o Observation) []Violation {
	var out []Violation
	for _, j := range o.Jobs {
		if !j.Known || !j.Done {
			out = append(out, violation(RuleLostJob, "job %s: known %t, state %q", j.Job, j.Known, j.State))
		}
		if j.Starts > 1 {
			out = append(out, violation(RuleDoubleJob, "job %s started %d times", j.Job, j.Starts))
		}
	}
	return out
}

func judgeReboots(o Observation) []Violation {
	var out []Violation
	for _, id := range slices.Sorted(maps.Keys(o.Reboots)) {
		if n := o.Reboots[id]; n != 1 {
			out = append(out, violation(RuleReboot, "host %s rebooted %d times", id, n))
		}
	}
	return out
}

func judgeBill(o Observation) []Violation {
	if o.Bill == nil {
		return nil
	}
	sum := int64(0)
	for _, s := range o.Bill.Shares {
		sum += s
	}
	if sum != o.Bill.Total {
		return []Violation{violation(RuleBill, "shares are %d, the whole is %d", sum, o.Bill.Total)}
	}
	return nil
}
