package placement

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/godwitcross/godwitcross/entry/platform"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/placement"
	"github.com/godwitcross/godwitcross/fleet/pool"
	"github.com/godwitcross/godwitcross/fleet/state"
)

// init fixes the seed, so that the random sequences are the same in every run.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "60")
}

// A non-idempotent job runs at most once through each failure, and an idempotent one as
// often as the failure requires.
func TestAJobRunsOnceThroughEachFailure(t *testing.T) {
	for _, c := range []struct {
		name    string
		failure func(s *simulation)
		// once and again are the final states of a non-idempotent and an idempotent job;
		// runs is how often the idempotent one was started.
		once, again placement.State
		runs        int
	}{
		{"nothing fails", func(s *simulation) { s.tick("e1") }, placement.Done, placement.Done, 1},
		{"the log's answer is lost after the effect", func(s *simulation) { s.log.lostAnswers = 1; s.tick("e1"); s.tick("e1") }, placement.Done, placement.Done, 1},
		{"the log refuses the start", func(s *simulation) { s.log.refusedAppends = 1; s.tick("e1"); s.tick("e1") }, placement.Done, placement.Done, 1},
		{"the worker's answer is lost after the effect", func(s *simulation) { s.workers.lostAnswers = 2; s.tick("e1"); s.tick("e1") }, placement.Done, placement.Done, 1},
		{"the start arrives late", func(s *simulation) {
			s.workers.delayedCalls = 2
			s.tick("e1")
			s.tick("e1")
			s.workers.deliverDelayed()
		}, placement.Done, placement.Done, 1},
		{"the holder is lost before its start reaches the worker, and the start arrives late", func(s *simulation) {
			s.workers.delayedCalls = 2
			s.tick("e1")
			s.claim("e2")
			s.tick("e2")
			s.workers.deliverDelayed()
		}, placement.Done, placement.Done, 1},
		{"two holders race", func(s *simulation) { s.claim("e2"); s.tick("e1"); s.tick("e2"); s.tick("e1") }, placement.Done, placement.Done, 1},
		{"the lease expires while the holder is paused", func(s *simulation) { s.tick("e1"); s.advance(taskLeaseTerm + time.Second) }, placement.Unknown, placement.Done, 2},
		{"the worker restarts", func(s *simulation) { s.tick("e1"); s.workers.restart(s.job("once").Start.Worker) }, placement.Unknown, placement.Done, 2},
		{"the worker restarts before the start reaches it", func(s *simulation) {
			s.workers.delayedCalls = 2
			s.tick("e1")
			s.workers.restart(s.job("once").Start.Worker)
		}, placement.Unknown, placement.Done, 1},
		{"the worker becomes unreachable", func(s *simulation) {
			s.tick("e1")
			s.workers.all[s.job("once").Start.Worker].unreachable = true
			for range 8 {
				s.advance(taskLeaseTerm / 4)
				s.tick("e1")
			}
		}, placement.Unknown, placement.Done, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(t, 2)
			defer s.stop()
			s.workers.runTime = 150 * time.Second
			s.submit("once", false)
			s.submit("again", true)
			c.failure(s)
			for range 24 {
				s.advance(20 * time.Second)
				s.tick("e1")
				s.tick("e2")
			}
			require.Equal(t, c.once, s.job("once").State, s.job("once").Reason)
			require.Equal(t, c.again, s.job("again").State, s.job("again").Reason)
			require.LessOrEqual(t, s.workers.runs["once"], 1)
			require.Equal(t, c.runs, s.workers.runs["again"])
		})
	}
}

func TestACancelledJobIsStoppedOnItsWorker(t *testing.T) {
	s := newSimulation(t, 1)
	defer s.stop()
	s.submit("once", false)
	s.tick("e1")
	for range 3 {
		s.record(placement.KindCancel, placement.Cancel{Jobs: []inventory.JobID{"once"}})
	}
	s.workers.lostAnswers = 1
	s.tick("e1")
	require.Equal(t, placement.Started, s.job("once").State, "the answer to the stop was lost")
	s.tick("e1")
	require.Equal(t, placement.Cancelled, s.job("once").State)
}

func TestRandomFailuresLoseNoJobAndRunNoneTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 3)
		defer s.stop()
		s.workers.runTime = 50 * time.Second
		accepted := make(map[string]bool)
		holder := func(t *rapid.T) string { return rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "holder") }
		worker := func(t *rapid.T) inventory.WorkerID {
			return rapid.SampledFrom([]inventory.WorkerID{"w0", "w1", "w2"}).Draw(t, "worker")
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				id := fmt.Sprint("j", len(accepted))
				accepted[id] = rapid.Bool().Draw(t, "idempotent")
				s.submit(id, accepted[id])
			},
			"cancel": func(t *rapid.T) {
				s.record(placement.KindCancel, placement.Cancel{Jobs: []inventory.JobID{inventory.JobID(fmt.Sprint("j", rapid.IntRange(0, 9).Draw(t, "job")))}})
			},
			"tick":    func(t *rapid.T) { s.tick(holder(t)) },
			"claim":   func(t *rapid.T) { s.claim(holder(t)) },
			"pass":    func(t *rapid.T) { s.advance(time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second) },
			"restart": func(t *rapid.T) { s.workers.restart(worker(t)) },
			"gone":    func(t *rapid.T) { w := s.workers.all[worker(t)]; w.unreachable = !w.unreachable },
			"lost":    func(t *rapid.T) { s.workers.lostAnswers = rapid.IntRange(0, 3).Draw(t, "calls") },
			"cut":     func(t *rapid.T) { s.workers.delayedCalls = rapid.IntRange(0, 3).Draw(t, "calls") },
			"arrive":  func(*rapid.T) { s.workers.deliverDelayed() },
			"log": func(t *rapid.T) {
				s.log.lostAnswers, s.log.refusedAppends = rapid.IntRange(0, 1).Draw(t, "lost"), rapid.IntRange(0, 1).Draw(t, "refused")
			},
			"": func(t *rapid.T) {
				for id, idempotent := range accepted {
					require.NotEmpty(t, s.job(id).State, "an accepted job is lost")
					if !idempotent {
						require.LessOrEqual(t, s.workers.runs[id], 1, "a non-idempotent job ran twice")
					}
				}
			},
		})
		s.workers.lostAnswers, s.workers.delayedCalls, s.log.lostAnswers, s.log.refusedAppends = 0, 0, 0, 0
		for _, w := range s.workers.all {
			w.unreachable = false
		}
		s.claim("e1")
		for range 60 {
			s.advance(30 * time.Second)
			s.tick("e1")
		}
		for id := range accepted {
			j := s.job(id)
			require.True(t, j.HasEnded(), "job %s is still %s: %v", id, j.State, s.lastErr)
		}
	})
}

func TestAHostContinuesFromASnapshot(t *testing.T) {
	s := newSimulation(t, 1)
	defer s.stop()
	s.submit("once", false)
	s.tick("e1")
	s.submit("next", true)
	snapshot, err := s.stream.Snapshot(context.Background())
	require.NoError(t, err)

	other := newSimulation(t, 1)
	defer other.stop()
	next, err := other.stream.Restore(context.Background(), snapshot, other.now)
	require.NoError(t, err)
	require.Equal(t, snapshot.Next, next)
	require.NoError(t, other.stream.Stream.Do(context.Background(), func(*state.Jobs) { other.stream.refreshLayout() }))
	other.log.next, other.workers, other.records = next, s.workers, s.records
	require.Equal(t, s.job("once"), other.job("once"))
	for _, f := range other.holders {
		f.cfg.Workers = s.workers
	}
	other.claim("e2")
	other.tick("e2")
	require.Equal(t, placement.Started, other.job("next").State)
	require.Equal(t, map[string]int{"once": 1, "next": 1}, s.workers.runs)
}

func TestJobsOfADrainingHostContinueElsewhere(t *testing.T) {
	s := newSimulation(t, 2)
	defer s.stop()
	s.submit("once", false)
	s.tick("e1")
	from := s.job("once").Start.Worker
	f := s.holders["e1"]
	st := f.cfg.Fleet.Latest()
	hosts := maps.Clone(st.Pools.Hosts)
	hosts[from.Host()] = &pool.Host{Pool: "Bells", DataCentre: "Palermo", Phase: pool.Draining, GrantedAt: s.now}
	st.Pools = &pool.View{Hosts: hosts, Active: map[inventory.HostID]struct{}{from.Host(): {}}}
	f.cfg.Fleet.Publish(st)
	require.NoError(t, s.stream.Stream.Do(context.Background(), func(*state.Jobs) { s.stream.refreshLayout() }))
	s.tick("e1")
	require.Equal(t, from, s.job("once").Start.Worker, "a short job may finish on its host")
	s.advance(evacuateAfter)
	s.tick("e1")
	require.Equal(t, placement.Started, s.job("once").State)
	require.NotEqual(t, from, s.job("once").Start.Worker)
	require.Equal(t, 1, s.workers.runs["once"], "it resumes from its checkpoint")
}

func TestManyCancellationsAreCoalescedIntoFewRecords(t *testing.T) {
	s := newSimulation(t, 1)
	defer s.stop()
	c := newCanceller(s.holders["e1"].cfg, s.stream)
	for i := range cancelQueueSize {
		c.in <- cancellation{by: "o", jobs: []inventory.JobID{inventory.JobID(fmt.Sprint("j", i))}, done: make(chan error, 1)}
	}
	require.ErrorIs(t, c.cancel(context.Background(), cancellation{by: "o", jobs: []inventory.JobID{"j"}}), errCancelQueueFull)
	before := s.stream.Progress().Next
	for len(c.in) > 0 {
		require.NoError(t, c.record(context.Background(), c.coalesce(context.Background(), <-c.in), s.now))
	}
	require.EqualValues(t, (cancelQueueSize+maxCoalescedJobs-1)/maxCoalescedJobs, s.stream.Progress().Next-before)
}

func TestStartedJobsContinueWhileTheLogIsUnreachable(t *testing.T) {
	s := newSimulation(t, 1)
	defer s.stop()
	s.workers.runTime = 10 * time.Minute
	s.submit("once", false)
	s.tick("e1")
	r := newRenewer(s.holders["e1"].cfg, s.stream)
	lastRead := s.now
	for s.now.Sub(lastRead) < 15*time.Minute {
		s.advance(logCheckInterval)
		r.step(context.Background(), s.now, lastRead)
	}
	s.claim("e2")
	s.tick("e2")
	require.Equal(t, placement.Done, s.job("once").State)
	require.Equal(t, 1, s.workers.runs["once"])
}

func TestAWorkerThatRefusesTasksIsAvoided(t *testing.T) {
	s := newSimulation(t, 2)
	defer s.stop()
	s.workers.all["w0"].closed, s.workers.all["w1"].closed = true, true
	s.submit("once", false)
	for range 20 {
		s.advance(250 * time.Millisecond)
		s.tick("e1")
	}
	require.Equal(t, 2, s.workers.all["w0"].refused+s.workers.all["w1"].refused, "each is called once in 5 s")
	require.Equal(t, placement.Queued, s.job("once").State)
	s.workers.all["w0"].closed = false
	s.advance(avoidDuration)
	s.tick("e1")
	require.Equal(t, placement.Started, s.job("once").State)
}

func TestNewOrRestartedWorkersAreGivenJobs(t *testing.T) {
	for name, unnoticed := range map[string]bool{"unknown to the holder": false, "restarted unnoticed": true} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, 1)
			defer s.stop()
			s.tick("e1")
			if !unnoticed {
				delete(s.holders["e1"].reboots, "w0")
			}
			s.workers.restart("w0")
			s.submit("once", false)
			s.tick("e1")
			s.advance(avoidDuration)
			s.tick("e1")
			require.Equal(t, placement.Started, s.job("once").State)
			require.Equal(t, 1, s.job("once").Start.Boot)
			require.Equal(t, 1, s.workers.runs["once"])
		})
	}
}

// A result is returned even if the same batch holds more records after it than the list
// of recent results keeps.
func TestAResultIsNotMissedAmongManyRecords(t *testing.T) {
	s := newSimulation(t, 1)
	defer s.stop()
	r, err := journal.NewRecord("first", placement.KindCancel, s.now, "o", placement.Cancel{})
	require.NoError(t, err)
	log := appenderFunc(func(first journal.Record) error {
		batch := platform.Batch{First: s.log.next}
		for n := range journal.RecentSize + 1 {
			raw, err := first.Encode()
			require.NoError(t, err)
			batch.Records = append(batch.Records, raw)
			first.ID = journal.RecordID(fmt.Sprint("other", n))
		}
		s.log.next += journal.Offset(len(batch.Records))
		batch.End = s.log.next
		s.log.out <- batch
		return nil
	})
	v, err := s.stream.Record(context.Background(), log, r)
	require.NoError(t, err)
	require.Equal(t, journal.Accepted, v.Outcome)
	for _, recent := range s.stream.Progress().Recent {
		require.NotEqual(t, r.ID, recent.ID, "the result is no longer among the recent ones")
	}
}

// appenderFunc implements RecordAppender with a function.
type appenderFunc func(r journal.Record) error

func (f appenderFunc) Append(_ context.Context, _ journal.StreamID, r journal.Record) error {
	return f(r)
}
