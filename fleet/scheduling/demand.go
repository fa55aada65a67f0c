package scheduling

import (
	"cmp"
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/fleet/job"
	"github.com/godwitcross/godwitcross/fleet/quota"
)

// demand is what a pool's waiting tasks request.
type demand struct {
	// resources is the sum over all waiting tasks.
	resources job.Resources
	// tasks is the number of waiting tasks.
	tasks int
	// work is the expected work of the waiting tasks that end, in thousandths of a core times seconds.
	work float64
	// inTimeWork is the part of work of the jobs that can still meet their objective when a host that is
	// ordered now has joined.
	inTimeWork float64
	// labeled is the part of resources that requires a label, by label.
	labeled map[string]job.Resources
}

// poolDemand is the demand and capacity of a pool in one round of balancing.
type poolDemand struct {
	name string
	demand
	// arrivingHosts counts the hosts that are moving to the pool; arrivingCapacity is
	// their total capacity.
	arrivingHosts    int
	arrivingCapacity job.Resources
	// used and total are the resources in use and the capacity of the workers that stay
	// in the pool.
	used, total job.Resources
	// idleHosts counts the pool's workers that run nothing and could.
	idleHosts int
	// free is, for each label, the free capacity of the pool's workers and arriving hosts
	// with that label; size is the mean capacity of such a host.
	free, size map[string]job.Resources
	// arrivingLoad is the capacity that arriving jobs will use when a host that is ordered now has
	// joined the pool, in thousandths of a core.
	arrivingLoad int64
	// need is how many more hosts the pool should have; it is negative for a surplus.
	need int
	// shortOfLoad is how many of the hosts in need the arriving jobs use alone.
	shortOfLoad int
}

// labelShortage returns how many more hosts with a label the pool's waiting tasks need.
func (p *poolDemand) labelShortage(label string) int {
	waiting, free := p.labeled[label], p.free[label]
	if free.Fits(waiting) {
		return 0
	}
	return max(hostsFor(waiting.Sub(free), p.size[label]), 1)
}

// required returns the capacity that the running and waiting tasks need, at least that for the
// load of the arriving work when a host that is ordered now has joined the pool.
func (p *poolDemand) required() job.Resources {
	r := p.used.Add(p.unlabeled())
	r.CPU = max(r.CPU, p.arrivingLoad)
	r.CPU = int64(float64(r.CPU) / usableShare)
	return r
}

// unlabeled returns the waiting resources that any host can provide. It leaves out what
// requires a label and exceeds the pool's free capacity with that label.
func (p *poolDemand) unlabeled() job.Resources {
	r := p.resources
	for l, waiting := range p.labeled {
		free := p.free[l]
		r.CPU -= max(waiting.CPU-free.CPU, 0)
		r.MemMB -= max(waiting.MemMB-free.MemMB, 0)
		r.GPU -= max(waiting.GPU-free.GPU, 0)
	}
	return r
}

// usableShare is the share of a host's capacity that tasks use on average: the remainder
// is often too small for the next task.
const usableShare = 0.9

// hostShortage returns how many hosts of a size the pool lacks; a negative number is a
// surplus.
func (p *poolDemand) hostShortage(size job.Resources) int {
	has := p.total.Add(p.arrivingCapacity)
	shortage := hostsFor(p.required().Sub(has), size)
	if shortage > 0 || size.CPU == 0 {
		return shortage
	}
	required := p.required()
	surplus := (has.CPU - required.CPU) / size.CPU
	if size.MemMB > 0 {
		surplus = min(surplus, (has.MemMB-required.MemMB)/size.MemMB)
	}
	return -int(max(surplus, 0))
}

// loadShortage returns how many hosts of a size the pool lacks for the arriving jobs alone.
func (p *poolDemand) loadShortage(size job.Resources) int {
	load := job.Resources{CPU: int64(float64(p.arrivingLoad)/usableShare) - p.total.CPU - p.arrivingCapacity.CPU}
	return max(hostsFor(load, size), 0)
}

// gain rates the next host of the pool by the share of its work that ends in time: arriving jobs meet
// their objective where there is room for them, of the waiting ones only those that aren't late by
// then. The first host of a pool comes before all others, so that no job waits forever.
func (p *poolDemand) gain() float64 {
	switch {
	case p.total.CPU == 0 && p.arrivingHosts == 0:
		return 2
	case p.shortOfLoad > 0 || p.work == 0:
		return 1
	default:
		return p.inTimeWork / p.work
	}
}

// neediest returns the pool to which the next host goes, or nil if none is short of hosts.
func neediest(pools []*poolDemand) *poolDemand {
	var best *poolDemand
	for _, p := range pools {
		if p.need > 0 && (best == nil || p.gain() > best.gain()) {
			best = p
		}
	}
	return best
}

// poolDemands lists the pools that aren't spare, those with the largest need first.
func (s *Scheduler) poolDemands(now time.Time) []*poolDemand {
	d := s.demands(now)
	byName := make(map[string]*poolDemand)
	var list []*poolDemand
	for _, p := range s.configuration.Pools {
		if p.Spare {
			continue
		}
		e := &poolDemand{name: p.Name, demand: d[p.Name], free: make(map[string]job.Resources)}
		byName[p.Name] = e
		list = append(list, e)
	}
	sizes, loads := s.hostSizes(), s.arrivingLoads(now)
	for _, h := range s.hosts.all() {
		if e := byName[h.destination()]; e != nil {
			e.arrivingHosts++
			e.arrivingCapacity = e.arrivingCapacity.Add(h.Capacity)
			e.addFree(h.Labels, h.Capacity)
		}
	}
	for _, w := range s.workers.all() {
		if e := byName[w.Pool]; e != nil && w.registered && !w.Draining && !w.cordoned && w.unreachableSince.IsZero() {
			e.used, e.total = e.used.Add(w.used), e.total.Add(w.Capacity)
			if w.runs.len() == 0 && w.contacted {
				e.idleHosts++
			}
			e.addFree(w.Labels, w.free())
		}
	}
	for _, e := range list {
		e.size = sizes
		e.arrivingLoad = loads[e.name]
		e.need, e.shortOfLoad = s.hostNeed(now, e), e.loadShortage(sizes[""])
	}
	slices.SortFunc(list, func(a, b *poolDemand) int { return cmp.Or(cmp.Compare(b.need, a.need), cmp.Compare(a.name, b.name)) })
	return list
}

// addFree adds free capacity under each label that waiting tasks require.
func (p *poolDemand) addFree(labels []string, free job.Resources) {
	for _, l := range labels {
		if _, ok := p.labeled[l]; ok {
			p.free[l] = p.free[l].Add(free)
		}
	}
}

// idleFactor times the hosts that waiting tasks lack is the number of idle hosts beside which these tasks
// must wait for something else than room, such as a lease. Fewer idle hosts may have just joined, or be in another
// data centre.
const idleFactor = 4

// hostNeed returns how many more hosts a pool should have.
func (s *Scheduler) hostNeed(now time.Time, p *poolDemand) int {
	size := p.size[""]
	n := p.hostShortage(size)
	if at, ok := s.fullAt[p.name]; ok && now.Sub(at) < 2*balanceInterval {
		n = max(n, 1-p.arrivingHosts)
	}
	lacking := max(hostsFor(p.unlabeled(), size), min(p.tasks, 1))
	if s.hasLongWait(now, p) && p.idleHosts < idleFactor*lacking {
		// The free capacity doesn't help these tasks: they need other workers, or more
		// free capacity on one worker.
		n = max(n, lacking-p.arrivingHosts)
	}
	return n
}

// hostSizes returns the mean capacity of the hosts with each label, and of all hosts
// under the empty label.
func (s *Scheduler) hostSizes() map[string]job.Resources {
	sums, counts := make(map[string]job.Resources), make(map[string]int64)
	for _, h := range s.hosts.all() {
		for _, l := range append([]string{""}, h.Labels...) {
			sums[l] = sums[l].Add(h.Capacity)
			counts[l]++
		}
	}
	for l, n := range counts {
		sums[l] = job.Resources{CPU: sums[l].CPU / n, MemMB: sums[l].MemMB / n, GPU: sums[l].GPU / n}
	}
	return sums
}

// logPools writes a log line for each pool at most once in poolLogInterval.
func (s *Scheduler) logPools(now time.Time, pools []*poolDemand) {
	if now.Before(s.nextPoolLog) {
		return
	}
	s.nextPoolLog = now.Add(poolLogInterval)
	s.logDecision("placement", "", "Looks", s.evaluations, "TookMs", s.placementTook.Milliseconds())
	s.evaluations, s.placementTook = 0, 0
	starved := s.starvedSteps()
	for _, p := range pools {
		hosts, idle, free := 0, 0, job.Resources{}
		for _, w := range s.workers.all() {
			if w.Pool != p.name {
				continue
			}
			hosts++
			if w.runs.len() == 0 {
				idle++
			}
			free = free.Add(w.free())
		}
		s.logDecision("pool", "", "Pool", p.name, "Workers", hosts, "Idle", idle, "Coming", p.arrivingHosts, "Need", p.need,
			"Arriving", p.arrivingLoad, "WaitingTasks", p.tasks, "WaitingCPU", p.resources.CPU, "FreeCPU", free.CPU,
			"StarvedSteps", starved[p.name], "Unaccounted", s.unaccountedIn(p.name))
	}
}

// starvedSteps counts for each pool the steps for which the last placement round found no
// worker.
func (s *Scheduler) starvedSteps() map[string]int {
	counts := make(map[string]int)
	for _, list := range s.waiting.all() {
		for _, st := range list {
			if len(st.waiting) == 0 || st.starvedAt.IsZero() {
				continue
			}
			if pool, ok := s.poolOf(st.occ.job); ok {
				counts[pool]++
			}
		}
	}
	return counts
}

// longWaitThreshold is how long a pool's tasks may wait before hosts are moved to the
// pool even though its free capacity seems sufficient.
const longWaitThreshold = 250 * time.Millisecond

// hasLongWait reports whether the pool has had waiting tasks without interruption for
// longWaitThreshold.
func (s *Scheduler) hasLongWait(now time.Time, p *poolDemand) bool {
	if p.tasks == 0 {
		delete(s.waitingSince, p.name)
		return false
	}
	since, ok := s.waitingSince[p.name]
	if !ok {
		s.waitingSince[p.name] = now
		return false
	}
	return now.Sub(since) >= longWaitThreshold
}

// hostsFor returns how many hosts of a size hold the needed resources.
func hostsFor(need, size job.Resources) int {
	n := int64(0)
	if size.CPU > 0 {
		n = max(n, (need.CPU+size.CPU-1)/size.CPU)
	}
	if size.MemMB > 0 {
		n = max(n, (need.MemMB+size.MemMB-1)/size.MemMB)
	}
	if size.GPU > 0 {
		n = max(n, (need.GPU+size.GPU-1)/size.GPU)
	}
	return int(n)
}

// demands returns the demand of the waiting tasks of each pool.
func (s *Scheduler) demands(now time.Time) map[string]demand {
	d, plan := make(map[string]demand), quota.NewPlan()
	for _, list := range s.waiting.all() {
		for _, st := range list {
			if len(st.waiting) == 0 {
				continue
			}
			pool, ok := s.poolOf(st.occ.job)
			if !ok {
				continue
			}
			if s.isUnschedulable(st) {
				continue
			}
			e := d[pool]
			requests := st.Requests()
			seconds := st.duration(s.taskDurations[st.occ.job.Queue]).Seconds()
			q, _ := s.queueOf(st.occ.job)
			l, _ := s.lateness(now.Add(s.joinDelay()), q, st)
			inTime := l == onTime
			tasks := st.waiting
			if st.isSuspected() {
				tasks = tasks[:1] // the others wait for the outcome of the first
			}
			tasks = tasks[:plan.Take(s.account(st.occ.job), st.Resources, len(tasks), st.Gang)]
			for _, t := range tasks {
				if now.Before(t.notBefore) {
					continue
				}
				e.resources = e.resources.Add(requests)
				e.tasks++
				if !st.LongRunning {
					e.work += float64(requests.CPU) * seconds
					if inTime {
						e.inTimeWork += float64(requests.CPU) * seconds
					}
				}
				if st.Requires != "" {
					if e.labeled == nil {
						e.labeled = make(map[string]job.Resources)
					}
					e.labeled[st.Requires] = e.labeled[st.Requires].Add(requests)
				}
			}
			d[pool] = e
		}
	}
	return d
}
