package scheduling

import (
	"cmp"
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/fleet/job"
)

// demand is what a pool's waiting tasks ask for beyond what could be placed.
type demand struct {
	// resources is the sum over all waiting tasks.
	resources job.Resources
	// tasks counts them.
	tasks int
	// labeled is the part of room that asks for a label.
	labeled map[string]job.Resources
}

// poolDemand is how a pool stands in one round of balancing.
type poolDemand struct {
	name string
	demand
	// arrivingHosts counts the hosts on their way to the pool,
	// arrivingCapacity what they hold.
	arrivingHosts    int
	arrivingCapacity job.Resources
	// used and total are of the workers that stay.
	used, total job.Resources
	// free is, for each label, the room of the pool's workers and arriving hosts that
	// have it; size is the mean of what such a host holds.
	free, size map[string]job.Resources
	// arrivalRate is the rate of work that comes, in thousandths of a core.
	arrivalRate int64
	// need is how many more hosts the pool should have; below 0 it has too many.
	need int
}

// labelShortage is how many hosts with a label the pool's waiting tasks need.
func (p *poolDemand) labelShortage(label string) int {
	waiting, free := p.labeled[label], p.free[label]
	if free.Fits(waiting) {
		return 0
	}
	return max(hostsFor(waiting.Sub(free), p.size[label]), 1)
}

// required is the room that serves what runs and waits, and at least what arrives.
func (p *poolDemand) required() job.Resources {
	r := p.used.Add(p.unlabeled())
	r.CPU = max(r.CPU, p.arrivalRate)
	r.CPU = int64(float64(r.CPU) / usableShare)
	return r
}

// unlabeled is the room that waits for any host: without what only hosts with a label
// can give, of which the pool has too few.
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

// usableShare is the share of a host that tasks fill on average: what is left of a host
// is often too small for the next task.
const usableShare = 0.9

// hostShortage returns how many hosts of a size the pool lacks, or has too many if
// below 0.
func (p *poolDemand) hostShortage(size job.Resources) int {
	has := p.total.Add(p.arrivingCapacity)
	lack := hostsFor(p.required().Sub(has), size)
	if lack > 0 || size.CPU == 0 {
		return lack
	}
	w := p.required()
	surplus := (has.CPU - w.CPU) / size.CPU
	if size.MemMB > 0 {
		surplus = min(surplus, (has.MemMB-w.MemMB)/size.MemMB)
	}
	return -int(max(surplus, 0))
}

// poolDemands lists the pools with queues, the neediest first.
func (s *Scheduler) poolDemands(now time.Time) []*poolDemand {
	d := s.demands(now)
	byName := make(map[string]*poolDemand)
	var list []*poolDemand
	for _, p := range s.conf.Pools {
		if p.Spare {
			continue
		}
		e := &poolDemand{name: p.Name, demand: d[p.Name], free: make(map[string]job.Resources)}
		byName[p.Name] = e
		list = append(list, e)
	}
	sizes := s.hostSizes()
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
			e.addFree(w.Labels, w.free())
		}
	}
	for _, e := range list {
		e.size = sizes
		e.arrivalRate = s.arrivalRate(now, e.name)
		e.need = s.need(now, e)
	}
	slices.SortFunc(list, func(a, b *poolDemand) int { return cmp.Or(cmp.Compare(b.need, a.need), cmp.Compare(a.name, b.name)) })
	return list
}

// addFree counts room under each label that waiting tasks ask for.
func (p *poolDemand) addFree(labels []string, free job.Resources) {
	for _, l := range labels {
		if _, ok := p.labeled[l]; ok {
			p.free[l] = p.free[l].Add(free)
		}
	}
}

// need returns how many more hosts a pool should have.
func (s *Scheduler) need(now time.Time, p *poolDemand) int {
	size := p.size[""]
	n := p.hostShortage(size)
	if at, ok := s.fullAt[p.name]; ok && now.Sub(at) < 2*balanceEvery {
		n = max(n, 1-p.arrivingHosts)
	}
	if s.waitsLong(now, p) {
		// Room alone doesn't help them: they need other workers, or larger gaps.
		n = max(n, hostsFor(p.unlabeled(), size)-p.arrivingHosts)
	}
	return n
}

// hostSizes returns the mean of what the hosts with each label hold, and of all hosts
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

// logPools writes a line for each pool once a second.
func (s *Scheduler) logPools(now time.Time, pools []*poolDemand) {
	if now.Before(s.nextPoolLog) {
		return
	}
	s.nextPoolLog = now.Add(logPoolsEvery)
	s.note("placement", "", "Looks", s.evaluations)
	s.evaluations = 0
	for _, p := range pools {
		hosts, idle, room := 0, 0, job.Resources{}
		for _, w := range s.workers.all() {
			if w.Pool != p.name {
				continue
			}
			hosts++
			if w.runs.len() == 0 {
				idle++
			}
			room = room.Add(w.free())
		}
		s.note("pool", "", "Pool", p.name, "Workers", hosts, "Idle", idle, "Coming", p.arrivingHosts, "Need", p.need,
			"Arriving", p.arrivalRate, "WaitingTasks", p.tasks, "WaitingCPU", p.resources.CPU, "FreeCPU", room.CPU)
	}
}

// stuckAfter is how long a pool's tasks may wait before hosts are fetched for them
// although there seems to be room.
const stuckAfter = 250 * time.Millisecond

// waitsLong reports whether tasks of a pool have waited all the time for a while.
func (s *Scheduler) waitsLong(now time.Time, p *poolDemand) bool {
	if p.tasks == 0 {
		delete(s.waitingSince, p.name)
		return false
	}
	since, ok := s.waitingSince[p.name]
	if !ok {
		s.waitingSince[p.name] = now
		return false
	}
	return now.Sub(since) >= stuckAfter
}

// hostsFor is how many hosts of a size a room fills.
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

// demands sums what waits for each pool.
func (s *Scheduler) demands(now time.Time) map[string]demand {
	d := make(map[string]demand)
	for _, list := range s.waiting.all() {
		for _, st := range list {
			if len(st.waiting) == 0 {
				continue
			}
			pool, ok := s.poolOf(st.occ.job)
			if !ok {
				continue
			}
			if s.isUnfit(st) {
				continue
			}
			e := d[pool]
			takes := st.Takes()
			tasks := st.waiting
			if st.isSuspected() {
				tasks = tasks[:1] // the others wait for it
			}
			for _, t := range tasks {
				if now.Before(t.notBefore) {
					continue
				}
				e.resources = e.resources.Add(takes)
				e.tasks++
				if st.Requires != "" {
					if e.labeled == nil {
						e.labeled = make(map[string]job.Resources)
					}
					e.labeled[st.Requires] = e.labeled[st.Requires].Add(takes)
				}
			}
			d[pool] = e
		}
	}
	return d
}
