package placement

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
)

func TestOwnersChangeOnlyTheirOwnJobs(t *testing.T) {
	mine, theirs := job("mine", 1000), job("theirs", 1000)
	other := inventory.OwnerID("Other")
	theirs.Owner = other
	tests := map[string]struct {
		kind journal.Kind
		body any
		want journal.Outcome
	}{
		"submits its own job":                     {KindSubmit, Submit{Owner: mine.Owner, Jobs: []configuration.Job{job("new", 1000)}}, journal.Accepted},
		"submits a job of another owner":          {KindSubmit, Submit{Owner: other, Jobs: []configuration.Job{job("new", 1000)}}, journal.Rejected},
		"submits its own and another owner's job": {KindSubmit, Submit{Owner: other, Jobs: []configuration.Job{theirs, job("new", 1000)}}, journal.Rejected},
		"cancels its own job":                     {KindCancel, Cancel{Owner: other, Jobs: []inventory.JobID{"theirs"}}, journal.Accepted},
		"cancels a job of another owner":          {KindCancel, Cancel{Owner: other, Jobs: []inventory.JobID{"mine"}}, journal.Rejected},
		"cancels its own and another owner's job": {KindCancel, Cancel{Owner: other, Jobs: []inventory.JobID{"theirs", "mine"}}, journal.Rejected},
		"cancels an unknown job":                  {KindCancel, Cancel{Owner: other, Jobs: []inventory.JobID{"nobody"}}, journal.Accepted},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newStream(t, 1)
			b.submit(mine, theirs)
			before := b.jobs.Open()
			require.Equal(t, test.want, b.record(test.kind, 0, test.body).Outcome)
			if test.want == journal.Rejected {
				require.Equal(t, before, b.jobs.Open(), "a rejected record changes nothing")
				require.Equal(t, Queued, b.job("mine").State)
				require.Equal(t, Queued, b.job("theirs").State)
			}
		})
	}
}
