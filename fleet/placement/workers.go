package placement

import (
	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// Bounds of the worker search.
const (
	// bucketCount is the number of buckets into which a pool's workers are sorted by free
	// cores.
	bucketCount = 64
	// maxCandidates is the number of fitting workers among which the rack is chosen.
	maxCandidates = 16
)

// workerState is a worker with its free capacity.
type workerState struct {
	Worker
	pool *poolState
	// free may be negative after a host was made smaller, until started jobs end.
	free inventory.Size
	// tasks is the number of started jobs.
	tasks int
	// bucket and index locate the worker in the pool's buckets.
	bucket, index int
}

// rackTemplate identifies the jobs of one template in one rack.
type rackTemplate struct {
	rack     inventory.RackID
	template string
}

// poolState is a pool with its workers in buckets by free cores.
type poolState struct {
	id    inventory.PoolID
	owner inventory.OwnerID
	// bucketWidth is the range of free cores in one bucket; at least 1.
	bucketWidth inventory.Millicores
	buckets     [bucketCount][]*workerState
	workers     []*workerState
	// sizes counts the workers of each size.
	sizes map[inventory.Size]int
	total inventory.Size
	// racks counts started jobs per rack and template.
	racks map[rackTemplate]int
	// nextCandidate is the index of the worker at which the next preemption search starts.
	nextCandidate int
	// groups are the groups of queued jobs that go to the pool.
	groups []*group
	// changes counts changes of the pool's reservations and groups. plannedVersion is
	// version() at the last plan if that found nothing to do, otherwise -1.
	changes, plannedVersion int64
	// examined counts the workers that searches examined.
	examined int64
}

func newPoolState(id inventory.PoolID, owner inventory.OwnerID) *poolState {
	return &poolState{id: id, owner: owner, bucketWidth: 1, sizes: make(map[inventory.Size]int), racks: make(map[rackTemplate]int), plannedVersion: -1}
}

// version returns a number that changes whenever a new plan of the pool may differ from
// the last one.
func (p *poolState) version() int64 {
	v := p.changes
	for _, g := range p.groups {
		v += g.version
	}
	return v
}

// addWorkers sets the workers of an empty pool, all of them free.
func (p *poolState) addWorkers(workers []*workerState) {
	largest := inventory.Millicores(0)
	for _, w := range workers {
		largest = max(largest, w.Size.Cores)
	}
	p.bucketWidth = max(1, (largest+bucketCount-2)/(bucketCount-1))
	p.workers = workers
	for _, w := range workers {
		p.total = p.total.Add(w.Size)
		p.sizes[w.Size]++
		w.pool = p
		p.addToBucket(w)
	}
}

func (p *poolState) bucketOf(free inventory.Millicores) int {
	return int(min(max(free, 0)/p.bucketWidth, bucketCount-1))
}

func (p *poolState) addToBucket(w *workerState) {
	w.bucket = p.bucketOf(w.free.Cores)
	w.index = len(p.buckets[w.bucket])
	p.buckets[w.bucket] = append(p.buckets[w.bucket], w)
}

func (p *poolState) removeFromBucket(w *workerState) {
	b := p.buckets[w.bucket]
	last := b[len(b)-1]
	b[w.index] = last
	last.index = w.index
	p.buckets[w.bucket] = b[:len(b)-1]
}

// setFree sets the free capacity of a worker.
func (p *poolState) setFree(w *workerState, free inventory.Size) {
	w.free = free
	if p.bucketOf(free.Cores) == w.bucket {
		return
	}
	p.removeFromBucket(w)
	p.addToBucket(w)
}

// canEverHold reports whether the size fits on any worker when it is empty.
func (p *poolState) canEverHold(need inventory.Size) bool {
	for s := range p.sizes {
		if need.FitsIn(s) {
			return true
		}
	}
	return false
}

// find returns the worker for a size: among the maxCandidates fullest workers that fit,
// the one whose rack has the fewest jobs of the template. It returns nil if none fits.
func (p *poolState) find(need inventory.Size, template string, may func(*workerState) bool) *workerState {
	var best *workerState
	fewest, candidates := 0, 0
	for b := p.bucketOf(need.Cores); b < bucketCount; b++ {
		for _, w := range p.buckets[b] {
			p.examined++
			if !need.FitsIn(w.free) || !may(w) {
				continue
			}
			n := p.racks[rackTemplate{w.Rack, template}]
			if best == nil || n < fewest {
				best, fewest = w, n
			}
			if candidates++; n == 0 || candidates == maxCandidates {
				return best
			}
		}
	}
	return best
}
