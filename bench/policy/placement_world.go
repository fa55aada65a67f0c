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

// Times that the world of placement assumes of its neighbours.
const (
	// appendTime is from the decision on a record until it was read back.
	appendTime = 60 * time.Millisecond
	// workerCall is one call to a worker; callsAtOnce run side by side.
	workerCall  = 10 * time.Millisecond
	callsAtOnce = 16
	// dutyTick is the time between two ticks of a duty.
	dutyTick = 250 * time.Millisecond
)

// Sizes of the world.
const (
	workerCores     = 64 * inventory.MillicoresPerCore
	workerMemory    = 128 * inventory.Gibibyte
	workersPerRack  = 4
	startsPerRecord = 500
	jobsPerRecord   = 500
	worldDuty       = "Placement"
)

// jobWorld is a data centre's jobs over the real fold and scheduler, in virtual
// time. Its workers do at once what they are told.
type jobWorld struct {
	jobs      *state.Jobs
	scheduler *placement.Scheduler
	random    *rand.Rand
	now       time.Time
	records   int
	// pools and teams are the numbers of them.
	pools, teams int
	// real is the size that each job really uses.
	real map[inventory.JobID]inventory.Size
	next int
	// planTime is the processor time that plans took, and decisions their starts.
	planTime  time.Duration
	longest   time.Duration
	decisions int
}

// newJobWorld returns a world whose teams have equal quotas that use the fleet up.
func newJobWorld(workers, pools, teams int, seed uint64) *jobWorld {
	w := &jobWorld{
		jobs: state.NewJobs(), random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_700_000_000, 0),
		pools: pools, teams: teams, real: make(map[inventory.JobID]inventory.Size),
	}
	w.scheduler = placement.NewScheduler(w.jobs.Placement)
	w.scheduler.SetLayout(w.layout(workers))
	w.record(lease.KindClaim, lease.Claim{Duty: worldDuty, Holder: "e1"}, false)
	return w
}

func (w *jobWorld) layout(workers int) placement.Layout {
	l := placement.Layout{Pools: make(map[inventory.PoolID]placement.Pool), Teams: make(map[inventory.TeamID]placement.Team)}
	for p := range w.pools {
		s, err := label.Parse(fmt.Sprintf("Pool=p%d", p))
		if err != nil {
			panic(err)
		}
		l.Pools[poolName(p)] = placement.Pool{Owner: "o", Jobs: s}
	}
	quota := inventory.Size{
		Cores:  workerCores * inventory.Millicores(workers/w.teams),
		Memory: workerMemory * inventory.Bytes(workers/w.teams),
	}
	for t := range w.teams {
		l.Teams[teamName(t)] = placement.Team{Owner: "o", Weight: 1, Quota: quota}
	}
	for i := range workers {
		l.Workers = append(l.Workers, placement.Worker{
			ID: inventory.WorkerID(fmt.Sprintf("w%05d", i)), Pool: poolName(i % w.pools),
			Rack: inventory.RackID(fmt.Sprintf("r%d", i/w.pools/workersPerRack)),
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

// record folds a record and returns its verdict.
func (w *jobWorld) record(kind journal.Kind, body any, fenced bool) journal.Result {
	w.records++
	r, err := journal.NewRecord(journal.RecordID(fmt.Sprintf("r%d", w.records)), kind, w.now, "e1", body)
	if err != nil {
		panic(err)
	}
	if fenced {
		r.Duty, r.Epoch = worldDuty, 1
	}
	raw, err := r.Encode()
	if err != nil {
		panic(err)
	}
	v, err := w.jobs.StateMachine().Apply(w.jobs.StateMachine().NextOffset(), json.RawMessage(raw))
	if err != nil {
		panic(err)
	}
	return v
}

// job returns a new job of a team whose declared size is from a fifth to five
// times of the real one.
func (w *jobWorld) job(team int, urgent bool) configuration.Job {
	w.next++
	pool := w.next % w.pools
	size := inventory.Size{Cores: inventory.Millicores(2000 + w.random.IntN(12)*1000), Memory: inventory.Bytes(2+w.random.IntN(14)) * inventory.Gibibyte}
	factor := 0.2 * float64(int(1)<<w.random.IntN(5)) * 1.25
	j := configuration.Job{
		ID: inventory.JobID(fmt.Sprintf("j%d", w.next)), Owner: "o", Team: teamName(team), Urgent: urgent, Idempotent: true,
		Labels: label.Set{"Pool": string(poolName(pool))}, Template: fmt.Sprintf("m%d", size.Cores/1000),
		Declared: inventory.Size{
			Cores:  min(inventory.Millicores(float64(size.Cores)*factor), workerCores),
			Memory: min(inventory.Bytes(float64(size.Memory)*factor), workerMemory),
		},
	}
	w.real[j.ID] = size
	return j
}

// submit accepts jobs of the teams in turn.
func (w *jobWorld) submit(n int, teams []int) {
	for n > 0 {
		var jobs []configuration.Job
		for range min(n, jobsPerRecord) {
			jobs = append(jobs, w.job(teams[w.next%len(teams)], false))
		}
		n -= len(jobs)
		w.record(placement.KindSubmit, placement.Submit{Jobs: jobs}, false)
	}
}

// plan decides and measures how long that takes.
func (w *jobWorld) plan() placement.Plan {
	began := time.Now()
	p := w.scheduler.Plan(w.now, startsPerRecord)
	took := time.Since(began)
	w.planTime += took
	w.longest = max(w.longest, took)
	w.decisions += len(p.Starts)
	return p
}

// fill starts jobs until no more find room and returns how many did.
func (w *jobWorld) fill() int {
	started := 0
	for {
		p := w.plan()
		if len(p.Starts) == 0 && !p.IsPartial {
			return started
		}
		if len(p.Starts) == 0 {
			continue
		}
		started += len(p.Starts)
		w.record(placement.KindStart, placement.Starts{Starts: p.Starts}, true)
	}
}

// plansPerTick is how often the filler decides in one tick.
const plansPerTick = 3

// tick does what the filler does in a tick and returns the starts.
func (w *jobWorld) tick() []placement.Start {
	var started []placement.Start
	for range plansPerTick {
		p := w.plan()
		if p.IsEmpty() && !p.IsPartial {
			break
		}
		if len(p.Starts) > 0 {
			w.now = w.now.Add(appendTime)
			w.record(placement.KindStart, placement.Starts{Starts: p.Starts}, true)
			w.now = w.now.Add(calls(len(p.Starts)))
		}
		w.relieve(p.Preemptions)
		started = append(started, p.Starts...)
	}
	return started
}

// calls is how long so many calls to workers take.
func calls(n int) time.Duration {
	return time.Duration((n+callsAtOnce-1)/callsAtOnce) * workerCall
}

// relieve makes jobs give way and records it.
func (w *jobWorld) relieve(reliefs []placement.Preemption) {
	if len(reliefs) == 0 {
		return
	}
	var throttled []inventory.JobID
	var ends []placement.End
	for _, r := range reliefs {
		j, ok := w.jobs.Placement.Job(r.Job)
		if !ok {
			continue
		}
		if r.Verb == placement.VerbThrottle {
			throttled = append(throttled, r.Job)
			continue
		}
		ends = append(ends, placement.End{Job: r.Job, Attempt: j.Attempt, Outcome: placement.OutcomeCheckpointed})
	}
	w.now = w.now.Add(calls(len(reliefs)))
	if len(ends) > 0 {
		w.now = w.now.Add(appendTime)
		w.record(placement.KindEnd, placement.Ends{Ends: ends}, true)
	}
	if len(throttled) > 0 {
		w.now = w.now.Add(appendTime)
		w.record(placement.KindThrottle, placement.Throttle{Jobs: throttled}, true)
	}
}

// urgent submits urgent jobs at once and returns how long the last one waited
// for its start, and false if one did not start in a minute.
func (w *jobWorld) urgent(n int) (time.Duration, bool) {
	submitted := w.now
	waiting := make(map[inventory.JobID]bool, n)
	var jobs []configuration.Job
	for i := range n {
		j := w.job(i%w.teams, true)
		waiting[j.ID] = true
		jobs = append(jobs, j)
	}
	w.now = w.now.Add(appendTime)
	w.record(placement.KindSubmit, placement.Submit{Jobs: jobs}, false)
	for len(waiting) > 0 && w.now.Sub(submitted) < time.Minute {
		w.now = w.now.Add(dutyTick)
		for _, s := range w.tick() {
			delete(waiting, s.Job)
		}
	}
	return w.now.Sub(submitted), len(waiting) == 0
}

// used returns what the started jobs really use, and by team.
func (w *jobWorld) used() (inventory.Size, map[inventory.TeamID]inventory.Size) {
	var all inventory.Size
	teams := make(map[inventory.TeamID]inventory.Size)
	for _, j := range w.jobs.Placement.StartedJobs() {
		all = all.Add(w.real[j.ID])
		teams[j.Team] = teams[j.Team].Add(j.Reserved())
	}
	return all, teams
}
