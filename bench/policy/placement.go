package policy

import (
	"fmt"
	"time"

	"github.com/godwitcross/godwitcross/bench/measure"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/placement"
)

// Sizes of the measurement, from the letter.
const (
	fleetWorkers   = 8_600
	fleetPools     = 111
	fleetTeams     = 80
	queuedJobs     = 200_000
	floodSize      = 100_000
	floodPerRecord = 1_000
	urgentAtOnce   = 64
)

// jobPlacement measures the placement of jobs at the size of the letter.
var jobPlacement = measure.Measurement{
	Name:  "placement",
	Usage: "urgent starts, cost of a decision, floods of cancellations, quotas and fit, against first fit by declared size",
	Run:   runPlacement,
}

func runPlacement(o measure.Options) ([]measure.Figure, error) {
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

// urgentFigures fills the fleet, queues jobs behind it, and submits urgent ones:
// into a full fleet, and in the midst of a flood of cancellations.
func urgentFigures(o measure.Options) []measure.Figure {
	o.Progress("filling 8,600 workers")
	w := newJobWorld(fleetWorkers, fleetPools, fleetTeams, o.Seed)
	w.submit(queuedJobs/2, allTeams())
	started := w.fill()
	w.submit(queuedJobs+started-queuedJobs/2, allTeams())
	// A full fleet still finds room for some; they are replaced in the queue.
	w.submit(w.fill(), allTeams())
	queued := w.queued()
	o.Progress(fmt.Sprintf("%d jobs queued, urgent jobs into the full fleet", len(queued)))
	w.longest = 0
	full, ok := w.urgent(urgentAtOnce)
	longest := w.longest
	o.Progress("flood of cancellations")
	flood, folded, okFlood := w.flood(queued[:min(floodSize, len(queued))])
	return []measure.Figure{
		{Name: "placement.queued_jobs", Value: float64(len(queued)), Unit: measure.Count, Deterministic: true},
		{Name: "placement.urgent_start", Value: milliseconds(full), Unit: measure.Milliseconds, Deterministic: true},
		{Name: "placement.urgent_unstarted", Value: missing(ok), Unit: measure.Count, Deterministic: true},
		{Name: "placement.urgent_longest_plan", Value: milliseconds(longest), Unit: measure.Milliseconds},
		{Name: "placement.flood_urgent_start", Value: milliseconds(flood), Unit: measure.Milliseconds, Deterministic: true},
		{Name: "placement.flood_urgent_unstarted", Value: missing(okFlood), Unit: measure.Count, Deterministic: true},
		{Name: "placement.flood_fold_time", Value: milliseconds(folded), Unit: measure.Milliseconds},
		{Name: "placement.flood_cost_of_one", Value: float64(folded.Nanoseconds()) / floodSize, Unit: measure.Nanoseconds},
	}
}

func missing(ok bool) float64 {
	if ok {
		return 0
	}
	return 1
}

// queued returns the queued jobs in order of acceptance.
func (w *jobWorld) queued() []*placement.Job {
	var all []*placement.Job
	for _, j := range w.jobs.Placement.Jobs() {
		if j.State == placement.Queued {
			all = append(all, j)
		}
	}
	return all
}

// flood cancels the jobs in gathered records that all lie before the urgent
// submission, and returns the urgent wait and the processor time of the fold.
func (w *jobWorld) flood(jobs []*placement.Job) (time.Duration, time.Duration, bool) {
	began := w.now
	folded := time.Now()
	for i := 0; i < len(jobs); i += floodPerRecord {
		var ids []inventory.JobID
		for _, j := range jobs[i:min(i+floodPerRecord, len(jobs))] {
			ids = append(ids, j.ID)
		}
		w.record(placement.KindCancel, placement.Cancel{Jobs: ids}, false)
	}
	took := time.Since(folded)
	// One append call carries all gathered records; the urgent one goes with the next.
	w.now = w.now.Add(appendTime)
	_, ok := w.urgent(urgentAtOnce)
	return w.now.Sub(began), took, ok
}

// decisionFigures measures one decision in one pool of growing size.
func decisionFigures(o measure.Options) []measure.Figure {
	var figures []measure.Figure
	for _, n := range []int{100, 1_000, fleetWorkers} {
		o.Progress(fmt.Sprintf("decisions among %d workers", n))
		w := newJobWorld(n, 1, fleetTeams, o.Seed)
		w.submit(4*n, allTeams())
		w.planTime, w.decisions = 0, 0
		before := w.scheduler.Examined()
		w.fill()
		figures = append(figures,
			measure.Figure{Name: fmt.Sprintf("placement.decision_%d", n), Value: float64(w.planTime.Nanoseconds()) / float64(max(w.decisions, 1)), Unit: measure.Nanoseconds},
			measure.Figure{Name: fmt.Sprintf("placement.examined_%d", n), Value: float64(w.scheduler.Examined()-before) / float64(max(w.decisions, 1)), Unit: measure.Count, Deterministic: true},
		)
	}
	return figures
}

// quotaFigures lets half of the teams borrow the whole fleet, then lets the
// others ask for their quota.
func quotaFigures(o measure.Options) []measure.Figure {
	const workers, pools = 860, 4
	o.Progress("borrowing and giving back")
	w := newJobWorld(workers, pools, fleetTeams, o.Seed)
	w.submit(20_000, allTeams()[:fleetTeams/2])
	w.fill()
	w.submit(20_000, allTeams()[fleetTeams/2:])
	base := newFirstFit(w.layout(workers), w.jobs.Placement.Jobs())
	baseHeld := make(map[inventory.TeamID]inventory.Size)
	for _, j := range base.run(func(j *placement.Job) inventory.Size { return w.real[j.ID] }) {
		baseHeld[j.Team] = baseHeld[j.Team].Add(j.Declared)
	}
	began := w.now
	for w.short() > 0 && w.now.Sub(began) < 5*time.Minute {
		w.now = w.now.Add(dutyTick)
		w.tick()
	}
	_, held := w.used()
	return []measure.Figure{
		{Name: "placement.teams_short_of_quota", Value: float64(w.short()), Unit: measure.Count, Deterministic: true},
		{Name: "placement.first_fit_teams_short_of_quota", Value: float64(w.shortOf(baseHeld)), Unit: measure.Count, Deterministic: true},
		{Name: "placement.give_back", Value: milliseconds(w.now.Sub(began)), Unit: measure.Milliseconds, Deterministic: true},
		{Name: "placement.share_spread", Value: w.spread(held), Unit: measure.Ratio, Deterministic: true},
	}
}

// spread is the largest share of any team, of the resource of which it holds
// most, divided by the smallest.
func (w *jobWorld) spread(held map[inventory.TeamID]inventory.Size) float64 {
	least, most := 0.0, 0.0
	for t := range w.teams {
		quota, h := w.scheduler.Quota(teamName(t)), held[teamName(t)]
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

// quotaSlack is the part of its quota by which a team may fall short, since jobs
// are not cut to measure.
const quotaSlack = 0.1

// short counts teams that have jobs queued and hold less than their quota of
// every resource.
func (w *jobWorld) short() int {
	_, held := w.used()
	return w.shortOf(held)
}

func (w *jobWorld) shortOf(held map[inventory.TeamID]inventory.Size) int {
	waiting := make(map[inventory.TeamID]bool)
	for _, j := range w.queued() {
		waiting[j.Team] = true
	}
	n := 0
	for team := range waiting {
		quota := w.scheduler.Quota(team)
		h := held[team]
		if float64(h.Cores) < float64(quota.Cores)*(1-quotaSlack) && float64(h.Memory) < float64(quota.Memory)*(1-quotaSlack) {
			n++
		}
	}
	return n
}

// fitFigures compares learned sizes with declared ones: how much of the fleet is
// really used, and how many workers hold more than they have.
func fitFigures(o measure.Options) []measure.Figure {
	const workers, pools, jobs = 860, 4, 20_000
	o.Progress("fit by learned and by declared sizes")
	w := newJobWorld(workers, pools, fleetTeams, o.Seed)
	w.submit(2_000, allTeams())
	w.fill()
	w.endAll()
	w.submit(jobs, allTeams())
	base := newFirstFit(w.layout(workers), w.queued())
	w.fill()
	inUse, _ := w.used()
	baseReal := inventory.Size{}
	of := func(j *placement.Job) inventory.Size { return w.real[j.ID] }
	for _, j := range base.run(of) {
		baseReal = baseReal.Add(of(j))
	}
	total := float64(workerCores) * workers
	return []measure.Figure{
		{Name: "placement.real_use", Value: float64(inUse.Cores) / total, Unit: measure.Ratio, Deterministic: true},
		{Name: "placement.first_fit_real_use", Value: float64(baseReal.Cores) / total, Unit: measure.Ratio, Deterministic: true},
		{Name: "placement.overfull_workers", Value: float64(w.overfull()), Unit: measure.Count, Deterministic: true},
		{Name: "placement.first_fit_overfull_workers", Value: float64(base.overfull()), Unit: measure.Count, Deterministic: true},
	}
}

// endAll lets all started jobs end, which teaches their real sizes.
func (w *jobWorld) endAll() {
	var ends []placement.End
	for _, j := range w.jobs.Placement.StartedJobs() {
		ends = append(ends, placement.End{Job: j.ID, Attempt: j.Attempt, Outcome: placement.OutcomeDone, Used: w.real[j.ID], RunTime: time.Minute})
	}
	w.record(placement.KindEnd, placement.Ends{Ends: ends}, true)
}

// overfull counts workers whose jobs really use more than there is.
func (w *jobWorld) overfull() int {
	used := make(map[inventory.WorkerID]inventory.Size)
	for _, j := range w.jobs.Placement.StartedJobs() {
		used[j.Start.Worker] = used[j.Start.Worker].Add(w.real[j.ID])
	}
	n := 0
	for _, s := range used {
		if !s.FitsIn(inventory.Size{Cores: workerCores, Memory: workerMemory}) {
			n++
		}
	}
	return n
}
