package scheduling

import (
	"math"
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/fleet/fairness"
	"github.com/godwitcross/godwitcross/fleet/job"
	"github.com/godwitcross/godwitcross/fleet/overload"
	"github.com/godwitcross/godwitcross/fleet/workspace"
)

// pressure orders the steps of pools with too little capacity by what their delay costs callers.
type pressure struct {
	planner *overload.Planner[*occurrence]
	meter   *fairness.Meter
	// runs holds the sums of the runs of each pool. usesAt is when shares were last given the use of each workspace.
	runs   map[string]poolRuns
	usesAt time.Time
	// periods holds the present time of overload of each pool.
	periods map[string]overload.Period
	// delays are those of queues with hopeless work, and delaysAt tells when those of each pool were computed.
	delays   map[string]queueDelay
	delaysAt map[string]time.Time
	// placingSince is when this leader first placed tasks.
	placingSince time.Time
	// uncounted are the jobs that haven't been counted against their workspace's share.
	uncounted []*jobState
	// shareOf holds the index of each workspace's share, as of a version of the configuration. Index 0 is that
	// of jobs without a workspace.
	shareOf map[workspace.Name]int
	version int64
	shares  []overload.Share
	// ranks, work and needs are buffers for the plan of a pool: the place of each occurrence in it, the
	// waiting work, and what its tasks that haven't started will use.
	ranks map[*occurrence]rank
	work  []overload.Work[*occurrence]
	needs []amounts
}

// rank is the place of an occurrence in the order of its pool.
type rank struct {
	class overload.Class
	place int
}

// runsInterval is the longest time for which sums over all runs are used again: a tenth of a usual task.
const runsInterval = 100 * time.Millisecond

// unplaceable is the place of steps that fit no host.
const unplaceable = math.MaxInt

// minRemainingShare is the least part of its expected duration that a run is assumed to take yet: runs that have
// gone on for longer than expected don't all end at once.
const minRemainingShare = 0.25

func newPressure(cfg Config) pressure {
	return pressure{
		planner: overload.New[*occurrence](overload.DefaultConfig), meter: fairness.NewMeter(cfg.ShareWindow),
		runs: make(map[string]poolRuns), periods: make(map[string]overload.Period), ranks: make(map[*occurrence]rank),
		delays: make(map[string]queueDelay), delaysAt: make(map[string]time.Time),
	}
}

// reset empties the buffers, so that they keep no ended job in memory.
func (p *pressure) reset() {
	clear(p.ranks)
	clear(p.work)
	p.work, p.needs = p.work[:0], p.needs[:0]
}

// isUnderPressure reports whether callers may compete for too little capacity.
func (s *Scheduler) isUnderPressure() bool {
	return s.cfg.UnderPressure || s.configuration.Workspaces.Len() > 0
}

// contention is a pool whose waiting tasks exceed its free capacity.
type contention struct {
	pool string
	// waiting is what the waiting tasks request, free the free capacity of the pool's workers.
	waiting, free job.Resources
	// capacity is that of the workers, arriving that of the hosts on their way, apart from what
	// long-running tasks use. arrival is the sum of the times until these hosts are in service, weighted by their CPU.
	capacity, arriving job.Resources
	arrival            float64
	// running is the rest of what is running, as resources times seconds.
	running amounts
	steps   []int
}

// amounts are resources times seconds, in the order of resourceAmounts.
type amounts [3]float64

func resourceAmounts(r job.Resources) amounts {
	return amounts{float64(r.CPU), float64(r.MemMB), float64(r.GPU)}
}

// add adds resources for a number of seconds.
func (a *amounts) add(r job.Resources, seconds float64) {
	for i, v := range resourceAmounts(r) {
		a[i] += v * seconds
	}
}

// rankByPlan gives the steps of pools with too little capacity their place in the plan of fleet/overload, and all others
// their lateness and slack.
func (s *Scheduler) rankByPlan(now time.Time, steps []rankedStep) {
	if pools := s.contentions(now, steps); len(pools) > 0 {
		s.updateShares(now)
		for _, c := range pools {
			s.planPool(now, c, steps)
		}
	}
	for i := range steps {
		if k := &steps[i]; !k.isPlanned {
			q, _ := s.queueOf(k.occ.job)
			k.lateness, k.slack = s.lateness(now, q, k.step)
		}
	}
}

// contentions returns the pools whose waiting tasks exceed their free capacity, in the order of the steps.
func (s *Scheduler) contentions(now time.Time, steps []rankedStep) []*contention {
	byPool := make(map[string]*contention)
	var all []*contention
	for i, k := range steps {
		pool, ok := s.poolOf(k.occ.job)
		if !ok {
			continue
		}
		c := byPool[pool]
		if c == nil {
			c = &contention{pool: pool}
			byPool[pool] = c
			all = append(all, c)
		}
		c.steps = append(c.steps, i)
		c.waiting = c.waiting.Add(scaled(k.Requests(), len(k.waiting)))
	}
	for _, w := range s.workers.all() {
		if c := byPool[w.Pool]; c != nil && w.isSchedulable(now) {
			c.capacity, c.free = c.capacity.Add(w.Capacity), c.free.Add(w.free())
		}
	}
	return slices.DeleteFunc(all, func(c *contention) bool { return c.free.Fits(c.waiting) })
}

func scaled(r job.Resources, n int) job.Resources {
	return job.Resources{CPU: r.CPU * int64(n), MemMB: r.MemMB * int64(n), GPU: r.GPU * int64(n)}
}

// poolRuns sums the runs of a pool, as of a time.
type poolRuns struct {
	at time.Time
	// remaining is the rest of what is running, and longRunning what long-running tasks use.
	remaining   amounts
	longRunning job.Resources
}

// runsIn sums the runs of a pool at most once in runsInterval, as it takes time for each run.
func (s *Scheduler) runsIn(now time.Time, pool string) poolRuns {
	sum, ok := s.pressure.runs[pool]
	if ok && now.Sub(sum.at) < runsInterval {
		return sum
	}
	sum = poolRuns{at: now}
	for _, w := range s.workers.all() {
		if w.Pool != pool || !w.isSchedulable(now) {
			continue
		}
		for _, r := range w.runs.all() {
			st := r.task.step
			if st.LongRunning {
				sum.longRunning = sum.longRunning.Add(r.resources)
				continue
			}
			d := st.duration(s.taskDurations[r.task.job().Queue])
			remaining := max(d-now.Sub(r.orderedAt), time.Duration(minRemainingShare*float64(d)))
			sum.remaining.add(r.resources, remaining.Seconds())
		}
	}
	s.pressure.runs[pool] = sum
	return sum
}

// addRunning adds the rest of what runs in the pool and the hosts on their way to it, and takes what long-running tasks use off its capacity.
func (s *Scheduler) addRunning(now time.Time, c *contention) {
	runs := s.runsIn(now, c.pool)
	c.running, c.capacity = runs.remaining, c.capacity.Sub(runs.longRunning)
	for _, h := range s.hosts.all() {
		if h.destination() != c.pool {
			continue
		}
		at := s.cfg.MoveTime
		if h.order.accepted {
			at = max(h.order.doneBy.Sub(now), 0)
		}
		c.arriving = c.arriving.Add(h.Capacity)
		c.arrival += at.Seconds() * float64(h.Capacity.CPU)
	}
}

// planPool ranks the steps of a pool by a plan, unless all of its work is expected to be in time.
func (s *Scheduler) planPool(now time.Time, c *contention, steps []rankedStep) {
	s.addRunning(now, c)
	p := &s.pressure
	defer p.reset()
	for _, i := range c.steps {
		k := &steps[i]
		if k.LongRunning {
			c.capacity = c.capacity.Sub(scaled(k.Requests(), len(k.waiting)))
			continue
		}
		if _, ok := p.ranks[k.occ]; ok || s.isUnschedulable(k.step) {
			continue
		}
		p.ranks[k.occ] = rank{place: len(p.work)}
		p.work = append(p.work, s.workOf(k))
		p.needs = append(p.needs, s.remainingOf(k.occ))
	}
	pool, unit := c.scale(p.needs)
	if unit.capacity <= 0 {
		return // no order helps without capacity
	}
	for i := range p.work {
		p.work[i].Remaining = seconds(p.needs[i][unit.resource] / unit.capacity)
	}
	period := p.periods[c.pool]
	pool.Shares, pool.OverloadedFor = p.shares, period.Duration(now)
	order, isOverloaded := p.planner.Plan(now, pool, p.work)
	if !isOverloaded {
		return
	}
	period.Extend(now)
	p.periods[c.pool] = period
	s.updateDelays(now, c.pool, pool, unit)
	for place, i := range order {
		p.ranks[p.work[i].Key] = rank{p.work[i].Class, place}
	}
	for _, i := range c.steps {
		k := &steps[i]
		r, ok := p.ranks[k.occ]
		k.isPlanned = true
		switch {
		case k.LongRunning:
			k.lateness, k.place = onTime, -1
		case !ok || s.isUnschedulable(k.step):
			k.lateness, k.place = overdue, unplaceable
		default:
			k.lateness, k.place = latenessOf[r.class], r.place
		}
	}
}

// latenessOf is the lateness of each class of a plan.
var latenessOf = map[overload.Class]lateness{overload.InTime: onTime, overload.Late: late, overload.Overdue: overdue}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// poolUnit is the resource of which a pool lacks most, and the pool's capacity of it.
type poolUnit struct {
	resource int
	capacity float64
}

// scale returns the pool for a plan. Its work is measured by the resource of which it lacks most.
func (c *contention) scale(needs []amounts) (overload.Pool, poolUnit) {
	total := c.running
	for _, n := range needs {
		for i, v := range n {
			total[i] += v
		}
	}
	now, arriving := resourceAmounts(c.capacity), resourceAmounts(c.arriving)
	var unit poolUnit
	longest := -1.0
	for i, v := range total {
		capacity := now[i] + arriving[i]
		if capacity > 0 && v/capacity > longest {
			longest, unit = v/capacity, poolUnit{i, capacity}
		}
	}
	if unit.capacity <= 0 {
		return overload.Pool{}, unit
	}
	pool := overload.Pool{Now: max(now[unit.resource], 0) / unit.capacity, Running: seconds(c.running[unit.resource] / unit.capacity)}
	if c.arriving.CPU > 0 {
		pool.FullAfter = seconds(c.arrival / float64(c.arriving.CPU))
	}
	return pool, unit
}

// workOf returns the occurrence of a step as a piece of work, without its remaining work.
func (s *Scheduler) workOf(k *rankedStep) overload.Work[*occurrence] {
	o := k.occ
	q, _ := s.queueOf(o.job)
	total, remaining := o.criticalPath(s.taskDurations[q.Name])
	objective := time.Duration(q.Stretch*float64(total)) + q.TargetLatency
	from := o.dueAt
	if o.job.Times == 0 {
		from = o.job.sentAt
	}
	return overload.Work[*occurrence]{
		Key: o, Priority: q.Priority, AcceptedAt: from, Deadline: from.Add(objective), LatestEnd: from.Add(lateFactor * objective),
		Path: remaining, BeyondShare: o.job.beyondShare, Share: s.pressure.shareOf[o.job.Workspace], Draw: draw(o),
	}
}

// draw returns a number from 0 to 1 that stays the same for an occurrence under all leaders.
func draw(o *occurrence) float64 {
	return overload.Draw(string(o.job.ID), o.number)
}

// remainingOf returns what the tasks of an occurrence that haven't started will use.
func (s *Scheduler) remainingOf(o *occurrence) amounts {
	var out amounts
	d := s.taskDurations[o.job.Queue]
	for _, st := range o.steps {
		n := len(st.waiting)
		if !st.released {
			n = st.Count - st.doneTasks
		}
		if n > 0 && !st.LongRunning {
			out.add(st.Requests(), float64(n)*st.duration(d).Seconds())
		}
	}
	return out
}

// countShares counts the jobs that have arrived since the last call against the shares of their
// workspaces, in the order in which they were sent. Jobs that arrive together after the store was away
// thus aren't beyond a share that they kept to.
func (s *Scheduler) countShares() {
	p := &s.pressure
	if s.configuration.Version == 0 {
		return // the workspaces aren't known yet
	}
	slices.SortStableFunc(p.uncounted, func(a, b *jobState) int { return a.sentAt.Compare(b.sentAt) })
	for _, js := range p.uncounted {
		if w, ok := s.configuration.Workspaces.Get(js.Workspace); ok {
			js.beyondShare = p.meter.Count(js.sentAt, w)
		}
	}
	clear(p.uncounted)
	p.uncounted = p.uncounted[:0]
}

// updateShares sets the shares of the workspaces, with the dominant share of the fleet that each uses. It does so at
// most once in runsInterval for each configuration.
func (s *Scheduler) updateShares(now time.Time) {
	p := &s.pressure
	isCurrent := p.shareOf != nil && p.version == s.configuration.Version
	if isCurrent && now.Sub(p.usesAt) < runsInterval {
		return
	}
	p.usesAt = now
	all := s.configuration.Workspaces.All()
	if !isCurrent {
		p.shareOf, p.version = make(map[workspace.Name]int, len(all)), s.configuration.Version
		for i, w := range all {
			p.shareOf[w.Name] = i + 1
		}
	}
	p.shares = append(p.shares[:0], overload.Share{})
	for _, w := range all {
		p.shares = append(p.shares, overload.Share{Weight: w.Weight})
	}
	if len(all) == 0 {
		return
	}
	used := make([]job.Resources, len(p.shares))
	var fleet job.Resources
	for _, w := range s.workers.all() {
		fleet = fleet.Add(w.Capacity)
		for _, r := range w.runs.all() {
			i := p.shareOf[r.task.job().Workspace]
			used[i] = used[i].Add(r.resources)
		}
	}
	for i := range p.shares {
		p.shares[i].Use = dominantShare(used[i], fleet)
	}
}
