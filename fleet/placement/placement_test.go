package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/label"
	"github.com/godwitcross/godwitcross/fleet/lease"
)

const duty = "Placement"

// stream is a scheduler on a job stream whose records are applied as in production.
type stream struct {
	t            *testing.T
	stateMachine *journal.StateMachine
	leases       *lease.Reducer
	jobs         *Reducer
	s            *Scheduler
	now          time.Time
	n            int
}

func newStream(t *testing.T, workers int) *stream {
	b := &stream{t: t, leases: lease.NewReducer(), jobs: NewReducer(), now: time.Unix(1000, 0)}
	b.stateMachine = journal.NewStateMachine(b.leases, b.jobs, b.leases)
	b.s = NewScheduler(b.jobs)
	b.s.SetLayout(testLayout(workers))
	b.claim("e1", 0)
	return b
}

func testLayout(workers int) Layout {
	jobs, _ := label.Parse("Pool=Prices")
	l := Layout{
		Pools: map[inventory.PoolID]Pool{"Prices": {Owner: "Corchos", Jobs: jobs}},
		Teams: map[inventory.TeamID]Team{"A": {Owner: "Corchos", Weight: 1}, "B": {Owner: "Corchos", Weight: 3}},
	}
	for i := range workers {
		l.Workers = append(l.Workers, Worker{
			ID: inventory.WorkerID(fmt.Sprintf("w%02d", i)), Pool: "Prices", Rack: inventory.RackID(fmt.Sprintf("r%d", i/4)),
			Size: inventory.Size{Cores: 64_000, Memory: 128 * inventory.Gibibyte},
		})
	}
	return l
}

// job returns an idempotent job of team A with the declared cores.
func job(id string, cores inventory.Millicores) configuration.Job {
	return configuration.Job{
		ID: inventory.JobID(id), Owner: "Corchos", Team: "A", Labels: label.Set{"Pool": "Prices"}, Template: "cut", Idempotent: true,
		Declared: inventory.Size{Cores: cores, Memory: inventory.Gibibyte},
	}
}

// record applies a record and returns its outcome.
func (b *stream) record(kind journal.Kind, epoch journal.Epoch, body any) journal.Result {
	b.n++
	r, err := journal.NewRecord(journal.RecordID(fmt.Sprint("r", b.n)), kind, b.now, "e1", body)
	require.NoError(b.t, err)
	if epoch > 0 {
		r.Duty, r.Epoch = duty, epoch
	}
	raw, err := r.Encode()
	require.NoError(b.t, err)
	result, err := b.stateMachine.Apply(b.stateMachine.NextOffset(), raw)
	require.NoError(b.t, err)
	return result
}

func (b *stream) claim(holder inventory.EntryID, from journal.Epoch) {
	require.Equal(b.t, journal.Accepted, b.record(lease.KindClaim, 0, lease.Claim{Duty: duty, Holder: holder, From: from}).Outcome)
}

func (b *stream) submit(jobs ...configuration.Job) {
	require.Equal(b.t, journal.Accepted, b.record(KindSubmit, 0, Submit{Jobs: jobs}).Outcome)
}

// start makes a plan, applies its starts and returns them.
func (b *stream) start() []Start {
	p := b.s.Plan(b.now, 1000)
	b.record(KindStart, b.leases.Holding(duty).Epoch, Starts{Starts: p.Starts})
	return p.Starts
}

func (b *stream) end(id string, o Outcome) {
	j := b.job(id)
	b.record(KindEnd, b.leases.Holding(duty).Epoch, Ends{Ends: []End{{Job: j.ID, Attempt: j.Attempt, Outcome: o, Reason: "exit 1"}}})
}

func (b *stream) job(id string) *Job {
	j, ok := b.jobs.Job(inventory.JobID(id))
	require.True(b.t, ok, id)
	return j
}

func TestJobStateAfterEachOutcome(t *testing.T) {
	for _, c := range []struct {
		outcome    Outcome
		idempotent bool
		want       State
	}{
		{OutcomeDone, false, Done},
		{OutcomeFailed, false, Failed},
		{OutcomeFailed, true, Queued},
		{OutcomeNotRun, false, Queued},
		{OutcomeCheckpointed, false, Queued},
		{OutcomeStopped, false, Unknown},
		{OutcomeStopped, true, Queued},
		{OutcomeLost, false, Unknown},
		{OutcomeLost, true, Queued},
	} {
		t.Run(fmt.Sprintf("%s, idempotent %t", c.outcome, c.idempotent), func(t *testing.T) {
			b := newStream(t, 2)
			j := job("j", 1000)
			j.Idempotent = c.idempotent
			b.submit(j)
			require.Len(t, b.start(), 1)
			b.end("j", c.outcome)
			require.Equal(t, c.want, b.job("j").State)
			b.now = b.now.Add(time.Hour)
			require.Equal(t, c.want == Queued, len(b.start()) == 1)
			for _, w := range b.s.workers {
				want := w.Size
				if w.ID == b.job("j").Start.Worker && c.want == Queued {
					want.Cores -= 1000
					want.Memory -= inventory.Gibibyte
				}
				require.Equal(t, want, w.free)
			}
		})
	}
}

func TestConcurrentHoldersStartAJobOnce(t *testing.T) {
	b := newStream(t, 2)
	b.submit(job("j", 1000))
	first := b.s.Plan(b.now, 10).Starts
	b.claim("e2", 1)
	require.Equal(t, journal.Accepted, b.record(KindStart, 2, Starts{Starts: first}).Outcome)
	t.Run("the paused holder's start is fenced", func(t *testing.T) {
		require.Equal(t, journal.Rejected, b.record(KindStart, 1, Starts{Starts: first}).Outcome)
	})
	t.Run("the same start in another record is ignored", func(t *testing.T) {
		b.record(KindStart, 2, Starts{Starts: first})
		require.Equal(t, 1, b.job("j").Attempt)
	})
	t.Run("the paused holder's end is fenced", func(t *testing.T) {
		require.Equal(t, journal.Rejected, b.record(KindEnd, 1, Ends{Ends: []End{{Job: "j", Attempt: 1, Outcome: OutcomeLost}}}).Outcome)
		require.Equal(t, Started, b.job("j").State)
	})
	t.Run("a record without a duty is rejected", func(t *testing.T) {
		require.Equal(t, journal.Rejected, b.record(KindEnd, 0, Ends{Ends: []End{{Job: "j", Attempt: 1, Outcome: OutcomeLost}}}).Outcome)
	})
	t.Run("the end of an earlier attempt is ignored", func(t *testing.T) {
		b.record(KindEnd, 2, Ends{Ends: []End{{Job: "j", Attempt: 1, Outcome: OutcomeNotRun}}})
		b.start()
		b.record(KindEnd, 2, Ends{Ends: []End{{Job: "j", Attempt: 1, Outcome: OutcomeDone}}})
		require.Equal(t, Started, b.job("j").State)
		require.Equal(t, TaskID("j.2"), b.job("j").Task())
	})
}

func TestJobsThatCanNeverRunAreExplainedAndDoNotBlockOthers(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*configuration.Job)
		want   string
	}{
		"larger than any worker": {func(j *configuration.Job) { j.Declared.Cores = 65_000 }, "more than any worker of pool Prices has"},
		"no pool":                {func(j *configuration.Job) { j.Labels = label.Set{"Pool": "Nowhere"} }, "no pool of Corchos selects"},
		"no team":                {func(j *configuration.Job) { j.Team = "Z" }, "team Z is not configured"},
		"another owner's team":   {func(j *configuration.Job) { j.Owner = "Campanella" }, "belongs to Corchos"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newStream(t, 1)
			bad := job("bad", 1000)
			c.change(&bad)
			b.submit(bad, job("good", 1000))
			starts := b.start()
			require.Len(t, starts, 1)
			require.Equal(t, inventory.JobID("good"), starts[0].Job)
			e, ok := b.s.Explain("bad", b.now)
			require.True(t, ok)
			require.True(t, e.Never)
			require.Contains(t, e.Reason, c.want)
		})
	}
}

func TestFailuresAreAttributedToWorkersOrJobs(t *testing.T) {
	t.Run("a worker that fails every job is quarantined and its jobs complete elsewhere", func(t *testing.T) {
		b := newStream(t, 8)
		for i := range 40 {
			b.submit(job(fmt.Sprint("j", i), 60_000))
		}
		for range 30 {
			for _, st := range b.start() {
				o := OutcomeDone
				if st.Worker == "w03" {
					o = OutcomeFailed
				}
				b.end(string(st.Job), o)
			}
		}
		require.True(t, b.jobs.IsQuarantined("w03"))
		require.Len(t, b.jobs.health.Quarantined, 1)
		for i := range 40 {
			require.Equal(t, Done, b.job(fmt.Sprint("j", i)).State)
		}
	})
	t.Run("a job that fails on every worker ends as failed and quarantines no worker", func(t *testing.T) {
		b := newStream(t, 8)
		for i := range 20 {
			bad := job(fmt.Sprint("bad", i), 1000)
			bad.Template = "broken"
			b.submit(bad, job(fmt.Sprint("good", i), 1000))
		}
		for range 30 {
			for _, st := range b.start() {
				o := OutcomeDone
				if b.job(string(st.Job)).Template == "broken" {
					o = OutcomeFailed
				}
				b.end(string(st.Job), o)
			}
		}
		require.Empty(t, b.jobs.health.Quarantined)
		for i := range 20 {
			require.Equal(t, Failed, b.job(fmt.Sprint("bad", i)).State)
			require.Equal(t, Done, b.job(fmt.Sprint("good", i)).State)
		}
	})
	t.Run("a template that fails on every worker quarantines no worker that runs nothing else", func(t *testing.T) {
		b := newStream(t, 8)
		for i := range 40 {
			bad := job(fmt.Sprint("bad", i), 10_000)
			bad.Template = "broken"
			b.submit(bad)
		}
		for range 30 {
			for _, st := range b.start() {
				b.end(string(st.Job), OutcomeFailed)
			}
		}
		require.Empty(t, b.jobs.health.Quarantined)
		require.Zero(t, b.jobs.Open())
	})
	t.Run("a job that failed on every worker of a small pool is abandoned", func(t *testing.T) {
		b := newStream(t, 2)
		b.submit(job("j", 1000))
		for range 2 {
			require.Len(t, b.start(), 1)
			b.end("j", OutcomeFailed)
		}
		require.Equal(t, []inventory.JobID{"j"}, b.s.Plan(b.now, 10).Abandoned)
	})
	t.Run("a quarantined worker is probed with one job after the delay", func(t *testing.T) {
		b := newStream(t, 1)
		for i := range 6 {
			b.submit(job(fmt.Sprint("j", i), 1000))
		}
		for _, st := range b.start() {
			b.end(string(st.Job), OutcomeFailed)
		}
		require.True(t, b.jobs.IsQuarantined("w00"))
		require.Empty(t, b.start())
		b.now = b.now.Add(probeDelay)
		st := b.start()
		require.Len(t, st, 1)
		b.end(string(st[0].Job), OutcomeDone)
		require.Len(t, b.start(), 5)
	})
}

func TestLearnedSizesReplaceDeclaredOnes(t *testing.T) {
	b := newStream(t, 1)
	for i := range minSamples {
		b.submit(job(fmt.Sprint("j", i), 60_000))
		require.Len(t, b.start(), 1)
		b.record(KindEnd, 1, Ends{Ends: []End{{Job: inventory.JobID(fmt.Sprint("j", i)), Attempt: 1, Outcome: OutcomeDone, Used: inventory.Size{Cores: 2000, Memory: inventory.Gibibyte}}}})
	}
	for i := range 100 {
		b.submit(job(fmt.Sprint("k", i), 60_000))
	}
	require.Len(t, b.start(), 32)
}

func TestCancelIsIdempotentInEveryState(t *testing.T) {
	b := newStream(t, 1)
	b.submit(job("started", 60_000), job("queued", 60_000))
	b.start()
	for range 3 {
		b.record(KindCancel, 0, Cancel{Jobs: []inventory.JobID{"started", "queued", "nobody"}})
	}
	require.Equal(t, Cancelled, b.job("queued").State)
	require.Equal(t, Started, b.job("started").State)
	require.True(t, b.job("started").Cancelling)
	b.end("started", OutcomeStopped)
	require.Equal(t, Cancelled, b.job("started").State)
	require.Zero(t, b.jobs.Open())
	require.Empty(t, b.jobs.queues.groups)
}

func TestRepeatedSubmissionIsAcceptedOnce(t *testing.T) {
	b := newStream(t, 1)
	b.submit(job("j", 1000))
	b.submit(job("j", 1000))
	require.Equal(t, 1, b.jobs.Open())
	v := b.record(KindSubmit, 0, Submit{Jobs: []configuration.Job{job("new", 1000), job("j", 2000)}})
	require.Equal(t, journal.Rejected, v.Outcome)
	require.Equal(t, 1, b.jobs.Open(), "a rejected record changes nothing")
}

func TestStateIsRestoredFromSnapshot(t *testing.T) {
	b := newStream(t, 4)
	for i := range 30 {
		b.submit(job(fmt.Sprint("j", i), 20_000))
	}
	for i, st := range b.start() {
		b.end(string(st.Job), []Outcome{OutcomeDone, OutcomeFailed, OutcomeStopped}[i%3])
	}
	b.start()
	state, err := b.jobs.MarshalState()
	require.NoError(t, err)
	other := NewReducer()
	s := NewScheduler(other)
	s.SetLayout(testLayout(4))
	require.NoError(t, other.UnmarshalState(state))
	again, err := other.MarshalState()
	require.NoError(t, err)
	require.JSONEq(t, string(state), string(again))
	require.Equal(t, b.s.Plan(b.now, 100).Starts, s.Plan(b.now, 100).Starts)
	require.Equal(t, b.s.used, s.used)
}
