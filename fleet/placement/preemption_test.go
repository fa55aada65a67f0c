package placement

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
)

func TestUrgentJobsPreemptNormalJobs(t *testing.T) {
	urgent := func(cores inventory.Millicores) configuration.Job {
		j := job("urgent", cores)
		j.Urgent = true
		return j
	}
	for name, c := range map[string]struct {
		running, need inventory.Millicores
		want          Verb
	}{
		"throttled if half of the cores is enough": {60_000, 30_000, VerbThrottle},
		"checkpointed if more is needed":           {60_000, 40_000, VerbCheckpoint},
	} {
		t.Run(name, func(t *testing.T) {
			b := newStream(t, 1)
			b.submit(job("low", c.running))
			b.start()
			b.submit(job("next", 60_000), urgent(c.need))
			p := b.s.Plan(b.now, 10)
			require.Empty(t, p.Starts)
			require.Equal(t, []Preemption{{Job: "low", Worker: "w00", Verb: c.want, For: "urgent"}}, p.Preemptions)
			if c.want == VerbThrottle {
				b.record(KindThrottle, 1, Throttle{Jobs: []inventory.JobID{"low"}})
			} else {
				b.end("low", OutcomeCheckpointed)
			}
			require.Equal(t, inventory.JobID("urgent"), b.start()[0].Job)
		})
	}
	t.Run("an urgent job is never preempted", func(t *testing.T) {
		b := newStream(t, 1)
		b.submit(urgent(60_000))
		b.start()
		other := urgent(60_000)
		other.ID = "other"
		b.submit(other)
		require.Empty(t, b.s.Plan(b.now, 10).Preemptions)
	})
}

func TestBorrowedCapacityIsReclaimed(t *testing.T) {
	b := newStream(t, 1)
	l := testLayout(1)
	for id, t := range l.Teams {
		t.Quota = inventory.Size{Cores: 32_000, Memory: 64 * inventory.Gibibyte}
		l.Teams[id] = t
	}
	b.s.SetLayout(l)
	for i := range 4 {
		b.submit(job(fmt.Sprint("a", i), 16_000))
	}
	require.Len(t, b.start(), 4, "the pool lends capacity that no other team requests")
	other := job("b", 16_000)
	other.Team = "B"
	b.submit(other)
	p := b.s.Plan(b.now, 10)
	require.Len(t, p.Preemptions, 2, "throttling two jobs frees enough cores")
	for _, r := range p.Preemptions {
		require.Equal(t, VerbThrottle, r.Verb)
		require.Equal(t, inventory.JobID("b"), r.For)
		require.Equal(t, inventory.TeamID("A"), b.job(string(r.Job)).Team)
	}
	t.Run("a team that would itself borrow reclaims nothing", func(t *testing.T) {
		b := newStream(t, 1)
		b.s.SetLayout(l)
		b.submit(job("a0", 40_000))
		greedy := job("b0", 24_000)
		greedy.Team = "B"
		b.submit(greedy)
		require.Len(t, b.start(), 2)
		greedy.ID = "b1"
		b.submit(greedy)
		require.Empty(t, b.s.Plan(b.now, 10).Preemptions)
	})
}
