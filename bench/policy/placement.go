package policy

import (
	"fmt"
	"time"

	"github.com/godwitcross/godwitcross/bench/measure"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/placement"
)

// Sizes of the measurement, from the requirements.
const (
	fleetWorkers     = 8_600
	fleetPools       = 111
	fleetTeams       = 80
	queuedJobs       = 200_000
	cancelledJobs    = 100_000
	cancelsPerRecord = 1_000
	urgentBatch      = 64
)

// jobPlacement measures the placement of jobs at the target size.
var jobPlacement = measure.Measurement{
	Name:  "placement",
	Usage: "urgent starts, cost of a decision, mass cancellations, quotas and utilization, against first fit by declared size",
	Run:   measurePlacement,
}

func measurePlacement(o measure.Options) ([]measure.Figure, error) {
	var figures []measure.Figure
	for _, part := range []func(measure.Options) []measure.Figure{urgentFigures, decisionFigures, quotaFigures, fitFigures} {
		figures = append(figures, part(o)...)
	}
	return figures, nil
}

func allTeams() []int {
	all := make([]int, fleetTeams)
	for t := range all {
		all[t] = t
	}
	return all
}

// urgentFigures fills the fleet, queues jobs, and submits urgent jobs twice: to the
// full fleet, and right after a mass cancellation.
func urgentFigures(o measure.Options) []measure.Figure {
	o.Progress("filling 8,600 workers")
	sim := newJobSimulation(fleetWorkers, fleetPools, fleetTeams, o.Seed)
	sim.submit(queuedJobs/2, allTeams())
	started := sim.fill()
	sim.submit(queuedJobs+started-queuedJobs/2, allTeams())
	// A full fleet still has room for some queued jobs; the same number is queued
	// again.
	sim.submit(sim.fill(), allTeams())
	queued := sim.queued()
	o.Progress(fmt.Sprintf("%d jobs queued; submitting urgent jobs to the full fleet", len(queued)))
	sim.longestPlan = 0
	fullWait, ok := sim.submitUrgent(urgentBatch)
	longest := sim.longestPlan
	o.Progress("mass cancellation")
	waitAfterCancel, applyTime, okAfterCancel := sim.cancelThenSubmitUrgent(queued[:min(cancelledJobs, len(queued))])
	return []measure.Figure{
		{Name: "placement.queued_jobs", Value: float64(len(queued)), Unit: measure.Count, Deterministic: true},
		{Name: "placement.urgent_start", Value: milliseconds(fullWait), Unit: measure.Milliseconds, Deterministic: true},
		{Name: "placement.urgent_unstarted", Value: failureCount(ok), Unit: measure.Count, Deterministic: true},
		{Name: "placement.urgent_longest_plan", Value: milliseconds(longest), Unit: measure.Milliseconds},
		{Name: "placement.flood_urgent_start", Value: milliseconds(waitAfterCancel), Unit: measure.Milliseconds, Deterministic: true},
		{Name: "placement.flood_urgent_unstarted", Value: failureCount(okAfterCancel), Unit: measure.Count, Deterministic: true},
		{Name: "placement.flood_fold_time", Value: milliseconds(applyTime), Unit: measure.Milliseconds},
		{Name: "placement.flood_cost_of_one", Value: float64(applyTime.Nanoseconds()) / cancelledJobs, Unit: measure.Nanoseconds},
	}
}

func failureCount(ok bool) float64 {
	if ok {
		return 0
	}
	return 1
}

// queued returns the queued jobs in order of acceptance.
func (sim *jobSimulation) queued() []*placement.Job {
	var all []*placement.Job
	for _, j := range sim.jobs.Placement.Jobs() {
		if j.State == placement.Queued {
			all = append(all, j)
		}
	}
	return all
}

// cancelThenSubmitUrgent cancels the jobs in batched records that all precede the
// urgent submission. It returns the wait of the urgent jobs and the time to apply the
// cancellations.
func (sim *jobSimulation) cancelThenSubmitUrgent(jobs []*placement.Job) (time.Duration, time.Duration, bool) {
	began := sim.now
	applyBegan := time.Now()
	for i := 0; i < len(jobs); i += cancelsPerRecord {
		var ids []inventory.JobID
		for _, j := range jobs[i:min(i+cancelsPerRecord, len(jobs))] {
			ids = append(ids, j.ID)
		}
		sim.record(placement.KindCancel, placement.Cancel{Jobs: ids}, false)
	}
	took := time.Since(applyBegan)
	// One append call carries all batched records; the urgent jobs go with the next
	// call.
	sim.now = sim.now.Add(appendTime)
	_, ok := sim.submitUrgent(urgentBatch)
	return sim.now.Sub(began), took, ok
}

// decisionFigures measures the cost of a decision in pools of increasing size.
func decisionFigures(o measure.Options) []measure.Figure {
	var figures []measure.Figure
	for _, n := range []int{100, 1_000, fleetWorkers} {
		o.Progress(fmt.Sprintf("decisions among %d workers", n))
		sim := newJobSimulation(n, 1, fleetTeams, o.Seed)
		sim.submit(4*n, allTeams())
		sim.planTime, sim.decisions = 0, 0
		before := sim.scheduler.Examined()
		sim.fill()
		figures = append(figures,
			measure.Figure{Name: fmt.Sprintf("placement.decision_%d", n), Value: float64(sim.planTime.Nanoseconds()) / float64(max(sim.decisions, 1)), Unit: measure.Nanoseconds},
			measure.Figure{Name: fmt.Sprintf("placement.examined_%d", n), Value: float64(sim.scheduler.Examined()-before) / float64(max(sim.decisions, 1)), Unit: measure.Count, Deterministic: true},
		)
	}
	return figures
}

// quotaFigures lets half of the teams borrow the whole fleet and then lets the other
// half claim their quotas.
func quotaFigures(o measure.Options) []measure.Figure {
	const workers, pools = 860, 4
	o.Progress("borrowing and reclaiming quota")
	sim := newJobSimulation(workers, pools, fleetTeams, o.Seed)
	sim.submit(20_000, allTeams()[:fleetTeams/2])
	sim.fill()
	sim.submit(20_000, allTeams()[fleetTeams/2:])
	base := newFirstFit(sim.layout(workers), sim.jobs.Placement.Jobs())
	baseHeld := make(map[inventory.TeamID]inventory.Size)
	for _, j := range base.run(func(j *placement.Job) inventory.Size { return sim.actualSizes[j.ID] }) {
		baseHeld[j.Team] = baseHeld[j.Team].Add(j.Declared)
	}
	began := sim.now
	for sim.teamsBelowQuota() > 0 && sim.now.Sub(began) < 5*time.Minute {
		sim.now = sim.now.Add(placementTick)
		sim.tick()
	}
	_, held := sim.usage()
	return []measure.Figure{
		{Name: "placement.teams_short_of_quota", Value: float64(sim.teamsBelowQuota()), Unit: measure.Count, Deterministic: true},
		{Name: "placement.first_fit_teams_short_of_quota", Value: float64(sim.countBelowQuota(baseHeld)), Unit: measure.Count, Deterministic: true},
		{Name: "placement.give_back", Value: milliseconds(sim.now.Sub(began)), Unit: measure.Milliseconds, Deterministic: true},
		{Name: "placement.share_spread", Value: sim.shareSpread(held), Unit: measure.Ratio, Deterministic: true},
	}
}

// shareSpread returns the largest dominant share of any team divided by the smallest. A
// dominant share is a team's share of its quota in the resource of which it holds most.
func (sim *jobSimulation) shareSpread(held map[inventory.TeamID]inventory.Size) float64 {
	least, most := 0.0, 0.0
	for t := range sim.teams {
		quota, h := sim.scheduler.Quota(teamName(t)), held[teamName(t)]
		share := max(float64(h.Cores)/float64(quota.Cores), float64(h.Memory)/float64(quota.Memory))
		if t == 0 {
			least, most = share, share
		}
		least, most = min(least, share), max(most, share)
	}
	if least == 0 {
		return 0
	}
	return most / least
}

// quotaTolerance is the share of its quota by which a team may fall short, as job sizes
// do not add up to the quota exactly.
const quotaTolerance = 0.1

// teamsBelowQuota counts teams that have queued jobs and hold less than their quota of
// every resource.
func (sim *jobSimulation) teamsBelowQuota() int {
	_, held := sim.usage()
	return sim.countBelowQuota(held)
}

func (sim *jobSimulation) countBelowQuota(held map[inventory.TeamID]inventory.Size) int {
	waiting := make(map[inventory.TeamID]bool)
	for _, j := range sim.queued() {
		waiting[j.Team] = true
	}
	n := 0
	for team := range waiting {
		quota := sim.scheduler.Quota(team)
		h := held[team]
		if float64(h.Cores) < float64(quota.Cores)*(1-quotaTolerance) && float64(h.Memory) < float64(quota.Memory)*(1-quotaTolerance) {
			n++
		}
	}
	return n
}

// fitFigures compares placement by learned and by declared sizes: the utilization of
// the fleet, and the number of overcommitted workers.
func fitFigures(o measure.Options) []measure.Figure {
	const workers, pools, jobs = 860, 4, 20_000
	o.Progress("placement by learned and by declared sizes")
	sim := newJobSimulation(workers, pools, fleetTeams, o.Seed)
	sim.submit(2_000, allTeams())
	sim.fill()
	sim.completeAll()
	sim.submit(jobs, allTeams())
	base := newFirstFit(sim.layout(workers), sim.queued())
	sim.fill()
	inUse, _ := sim.usage()
	baseReal := inventory.Size{}
	of := func(j *placement.Job) inventory.Size { return sim.actualSizes[j.ID] }
	for _, j := range base.run(of) {
		baseReal = baseReal.Add(of(j))
	}
	total := float64(workerCores) * workers
	return []measure.Figure{
		{Name: "placement.real_use", Value: float64(inUse.Cores) / total, Unit: measure.Ratio, Deterministic: true},
		{Name: "placement.first_fit_real_use", Value: float64(baseReal.Cores) / total, Unit: measure.Ratio, Deterministic: true},
		{Name: "placement.overfull_workers", Value: float64(sim.overcommittedWorkers()), Unit: measure.Count, Deterministic: true},
		{Name: "placement.first_fit_overfull_workers", Value: float64(base.overcommittedWorkers()), Unit: measure.Count, Deterministic: true},
	}
}

// completeAll completes all started jobs, so that their actual sizes are learned.
func (sim *jobSimulation) completeAll() {
	var ends []placement.End
	for _, j := range sim.jobs.Placement.StartedJobs() {
		ends = append(ends, placement.End{Job: j.ID, Attempt: j.Attempt, Outcome: placement.OutcomeDone, Used: sim.actualSizes[j.ID], RunTime: time.Minute})
	}
	sim.record(placement.KindEnd, placement.Ends{Ends: ends}, true)
}

// overcommittedWorkers counts workers whose jobs use more than their capacity.
func (sim *jobSimulation) overcommittedWorkers() int {
	used := make(map[inventory.WorkerID]inventory.Size)
	for _, j := range sim.jobs.Placement.StartedJobs() {
		used[j.Start.Worker] = used[j.Start.Worker].Add(sim.actualSizes[j.ID])
	}
	n := 0
	for _, s := range used {
		if !s.FitsIn(inventory.Size{Cores: workerCores, Memory: workerMemory}) {
			n++
		}
	}
	return n
}
