package whole

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/retry"
)

// validObservation returns an observation without violations.
func validObservation() Observation {
	good := Attempt{Outcome: retry.Answered, Status: 200, Complete: true, MatchesRequest: true}
	return Observation{
		Requests: []Request{
			{Key: "answered", Attempts: []Attempt{good}},
			{Key: "refused", Attempts: []Attempt{{Outcome: retry.NotRun, Status: 503}}},
			{Key: "unknown", Attempts: []Attempt{{Outcome: retry.Unknown, Status: 504}}},
			{Key: "refused then answered", Attempts: []Attempt{{Outcome: retry.NotRun}, good}},
			{Key: "broken then answered", Attempts: []Attempt{{}, good}},
			{Key: "read twice", Idempotent: true, Attempts: []Attempt{good}},
		},
		Executions: map[string]int{"answered": 1, "unknown": 1, "refused then answered": 1, "broken then answered": 1, "read twice": 2},
		Pools:      []PoolSample{{Pool: "A", Unavailable: 2, Limit: 2}},
		Ownership:  []OwnershipSample{{Entry: "e1", Host: "h1", Pools: 1}},
		Versions:   []VersionSample{{Entry: "e1", Version: 1}, {Entry: "e2", Version: 2}, {Entry: "e1", Version: 2}},
		Accepted:   []configuration.Version{1, 2},
		Jobs:       []JobSample{{Job: "j1", Known: true, Starts: 1, Done: true}},
		Reboots:    map[inventory.HostID]int{"h1": 1},
		Bill:       &Bill{Shares: map[inventory.OwnerID]int64{"Corchos": 3, "Campanella": 4}, Total: 7},
	}
}

func TestVerifyReportsEachViolation(t *testing.T) {
	require.Empty(t, Verify(validObservation()))
	tests := map[Rule]func(o *Observation){
		RuleDuplicate:          func(o *Observation) { o.Executions["answered"] = 2 },
		RuleFalseRefusal:       func(o *Observation) { o.Executions["refused"] = 1 },
		RuleFalseAnswer:        func(o *Observation) { delete(o.Executions, "answered") },
		RuleTruncatedAnswer:    func(o *Observation) { o.Requests[0].Attempts[0].Complete = false },
		RuleMisdeliveredAnswer: func(o *Observation) { o.Requests[0].Attempts[0].MatchesRequest = false },
		RuleBudget:             func(o *Observation) { o.Pools[0].Unavailable++ },
		RuleOwnership:          func(o *Observation) { o.Ownership[0].Pools = 2 },
		RuleRevertedVersion:    func(o *Observation) { o.Versions = append(o.Versions, VersionSample{"e2", 1}, VersionSample{"e2", 2}) },
		RuleLostChange:         func(o *Observation) { o.Accepted = append(o.Accepted, 3); o.Versions[1].Version = 3 },
		RuleLostJob:            func(o *Observation) { o.Jobs[0].Known = false },
		RuleDuplicateJob:       func(o *Observation) { o.Jobs[0].Starts = 2 },
		RuleReboot:             func(o *Observation) { o.Reboots["h1"] = 0 },
		RuleBill:               func(o *Observation) { o.Bill.Shares["Corchos"]++ },
	}
	for rule, violate := range tests {
		t.Run(string(rule), func(t *testing.T) {
			o := validObservation()
			violate(&o)
			violations := Verify(o)
			require.Len(t, violations, 1)
			require.Equal(t, rule, violations[0].Rule)
		})
	}
	t.Run("a host in no pool", func(t *testing.T) {
		o := validObservation()
		o.Ownership[0].Pools = 0
		require.Len(t, Verify(o), 1)
	})
}
