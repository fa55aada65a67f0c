package policy

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/label"
	"github.com/godwitcross/godwitcross/fleet/lease"
	"github.com/godwitcross/godwitcross/fleet/placement"
	"github.com/godwitcross/godwitcross/fleet/state"
)

// Assumed latencies and intervals.
const (
	// appendTime is the time from a decision until its record is read back from the
	// log.
	appendTime = 60 * time.Millisecond
	// workerCallTime is the duration of one call to a worker; parallelCalls run
	// concurrently.
	workerCallTime = 10 * time.Millisecond
	parallelCalls  = 16
	// placementTick is the time between two ticks of the placement duty.
	placementTick = 250 * time.Millisecond
)

// Sizes of the simulation.
const (
	workerCores     = 64 * inventory.MillicoresPerCore
	workerMemory    = 128 * inventory.Gibibyte
	workersPerRack  = 4
	startsPerRecord = 500
	jobsPerRecord   = 500
	placementDuty   = "Placement"
)

// jobSimulation runs the production state machine and scheduler of a data centre in
// virtual time. Its workers execute commands immediately.
type jobSimulation struct {
	jobs      *state.Jobs
	scheduler *placement.Scheduler
	random    *rand.Rand
	now       time.Time
	records   int
	// pools and teams are their numbers.
	pools, teams int
	// actualSizes are the sizes that jobs use, as opposed to the declared ones.
	actualSizes map[inventory.JobID]inventory.Size
	lastJob     int
	// planTime is the processor time spent on planning, decisions the number of planned
	// starts.
	planTime    time.Duration
	longestPlan time.Duration
	decisions   int
}

// newJobSimulation returns a simulation whose teams have equal quotas that add up to
// the whole fleet.
func newJobSimulation(workers, pools, teams int, seed uint64) *jobSimulation {
	sim := &jobSimulation{
		jobs: state.NewJobs(), random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_700_000_000, 0),
		pools: pools, teams: teams, actualSizes: make(map[inventory.JobID]inventory.Size),
	}
	sim.scheduler = placement.NewScheduler(sim.jobs.Placement)
	sim.scheduler.SetLayout(sim.layout(workers))
	sim.record(lease.KindClaim, lease.Claim{Duty: placementDuty, Holder: "e1"}, false)
	return sim
}

func (sim *jobSimulation) layout(workers int) placement.Layout {
	l := placement.Layout{Pools: make(map[inventory.PoolID]placement.Pool), Teams: make(map[inventory.TeamID]placement.Team)}
	for p := range sim.pools {
		s, err := label.Parse(fmt.Sprintf("Pool=p%d", p))
		if err != nil {
			panic(err)
		}
		l.Pools[poolName(p)] = placement.Pool{Owner: "o", Jobs: s}
	}
	quota := inventory.Size{
		Cores:  workerCores * inventory.Millicores(workers/sim.teams),
		Memory: workerMemory * inventory.Bytes(workers/sim.teams),
	}
	for t := range sim.teams {
		l.Teams[teamName(t)] = placement.Team{Owner: "o", Weight: 1, Quota: quota}
	}
	for i := range workers {
		l.Workers = append(l.Workers, placement.Worker{
			ID: inventory.WorkerID(fmt.Sprintf("w%05d", i)), Pool: poolName(i % sim.pools),
			Rack: inventory.RackID(fmt.Sprintf("r%d", i/sim.pools/workersPerRack)),
			Size: inventory.Size{Cores: workerCores, Memory: workerMemory},
		})
	}
	return l
}

func poolName(p int) inventory.PoolID {
	return inventory.PoolID(fmt.Sprintf("p%d", p))
}

func teamName(t int) inventory.TeamID {
	return inventory.TeamID(fmt.Sprintf("t%02d", t))
}

// record applies a record and returns its result.
func (sim *jobSimulation) record(kind journal.Kind, body any, fenced bool) journal.Result {
	sim.records++
	r, err := journal.NewRecord(journal.RecordID(fmt.Sprintf("r%d", sim.records)), kind, sim.now, "e1", body)
	if err != nil {
		panic(err)
	}
	if fenced {
		r.Duty, r.Epoch = placementDuty, 1
	}
	raw, err := r.Encode()
	if err != nil {
		panic(err)
	}
	v, err := sim.jobs.StateMachine().Apply(sim.jobs.StateMachine().NextOffset(), json.RawMessage(raw))
	if err != nil {
		panic(err)
	}
	return v
}

// newJob returns a new job of the team. Its declared size is from a fifth to five times
// the actual one.
func (sim *jobSimulation) newJob(team int, urgent bool) configuration.Job {
	sim.lastJob++
	pool := sim.lastJob % sim.pools
	size := inventory.Size{Cores: inventory.Millicores(2000 + sim.random.IntN(12)*1000), Memory: inventory.Bytes(2+sim.random.IntN(14)) * inventory.Gibibyte}
	factor := 0.2 * float64(int(1)<<sim.random.IntN(5)) * 1.25
	j := configuration.Job{
		ID: inventory.JobID(fmt.Sprintf("j%d", sim.lastJob)), Owner: "o", Team: teamName(team), Urgent: urgent, Idempotent: true,
		Labels: label.Set{"Pool": string(poolName(pool))}, Template: fmt.Sprintf("m%d", size.Cores/1000),
		Declared: inventory.Size{
			Cores:  min(inventory.Millicores(float64(size.Cores)*factor), workerCores),
			Memory: min(inventory.Bytes(float64(size.Memory)*factor), workerMemory),
		},
	}
	sim.actualSizes[j.ID] = size
	return j
}

// submit submits n jobs, by the teams in turn.
func (sim *jobSimulation) submit(n int, teams []int) {
	for n > 0 {
		var jobs []configuration.Job
		for range min(n, jobsPerRecord) {
			jobs = append(jobs, sim.newJob(teams[sim.lastJob%len(teams)], false))
		}
		n -= len(jobs)
		sim.record(placement.KindSubmit, placement.Submit{Jobs: jobs}, false)
	}
}

// plan returns the scheduler's plan and records the time that it took.
func (sim *jobSimulation) plan() placement.Plan {
	began := time.Now()
	p := sim.scheduler.Plan(sim.now, startsPerRecord)
	took := time.Since(began)
	sim.planTime += took
	sim.longestPlan = max(sim.longestPlan, took)
	sim.decisions += len(p.Starts)
	return p
}

// fill starts jobs until no more fit and returns the number of started jobs.
func (sim *jobSimulation) fill() int {
	started := 0
	for {
		p := sim.plan()
		if len(p.Starts) == 0 && !p.IsPartial {
			return started
		}
		if len(p.Starts) == 0 {
			continue
		}
		started += len(p.Starts)
		sim.record(placement.KindStart, placement.Starts{Starts: p.Starts}, true)
	}
}

// plansPerTick bounds the plans in one tick of the placement duty.
const plansPerTick = 3

// tick runs one tick of the placement duty and returns the started jobs.
func (sim *jobSimulation) tick() []placement.Start {
	var started []placement.Start
	for range plansPerTick {
		p := sim.plan()
		if p.IsEmpty() && !p.IsPartial {
			break
		}
		if len(p.Starts) > 0 {
			sim.now = sim.now.Add(appendTime)
			sim.record(placement.KindStart, placement.Starts{Starts: p.Starts}, true)
			sim.now = sim.now.Add(callTime(len(p.Starts)))
		}
		sim.applyPreemptions(p.Preemptions)
		started = append(started, p.Starts...)
	}
	return started
}

// callTime returns the duration of n calls to workers.
func callTime(n int) time.Duration {
	return time.Duration((n+parallelCalls-1)/parallelCalls) * workerCallTime
}

// applyPreemptions stops or throttles the preempted jobs and records it.
func (sim *jobSimulation) applyPreemptions(preemptions []placement.Preemption) {
	if len(preemptions) == 0 {
		return
	}
	var throttled []inventory.JobID
	var ends []placement.End
	for _, r := range preemptions {
		j, ok := sim.jobs.Placement.Job(r.Job)
		if !ok {
			continue
		}
		if r.Verb == placement.VerbThrottle {
			throttled = append(throttled, r.Job)
			continue
		}
		ends = append(ends, placement.End{Job: r.Job, Attempt: j.Attempt, Outcome: placement.OutcomeCheckpointed})
	}
	sim.now = sim.now.Add(callTime(len(preemptions)))
	if len(ends) > 0 {
		sim.now = sim.now.Add(appendTime)
		sim.record(placement.KindEnd, placement.Ends{Ends: ends}, true)
	}
	if len(throttled) > 0 {
		sim.now = sim.now.Add(appendTime)
		sim.record(placement.KindThrottle, placement.Throttle{Jobs: throttled}, true)
	}
}

// submitUrgent submits n urgent jobs at once. It returns the time until the last one
// started, and false if one did not start within a minute.
func (sim *jobSimulation) submitUrgent(n int) (time.Duration, bool) {
	submitted := sim.now
	waiting := make(map[inventory.JobID]bool, n)
	var jobs []configuration.Job
	for i := range n {
		j := sim.newJob(i%sim.teams, true)
		waiting[j.ID] = true
		jobs = append(jobs, j)
	}
	sim.now = sim.now.Add(appendTime)
	sim.record(placement.KindSubmit, placement.Submit{Jobs: jobs}, false)
	for len(waiting) > 0 && sim.now.Sub(submitted) < time.Minute {
		sim.now = sim.now.Add(placementTick)
		for _, s := range sim.tick() {
			delete(waiting, s.Job)
		}
	}
	return sim.now.Sub(submitted), len(waiting) == 0
}

// usage returns the actual usage of all started jobs, and the reserved sizes by team.
func (sim *jobSimulation) usage() (inventory.Size, map[inventory.TeamID]inventory.Size) {
	var all inventory.Size
	teams := make(map[inventory.TeamID]inventory.Size)
	for _, j := range sim.jobs.Placement.StartedJobs() {
		all = all.Add(sim.actualSizes[j.ID])
		teams[j.Team] = teams[j.Team].Add(j.Reserved())
	}
	return all, teams
}
