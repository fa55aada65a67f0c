package placement

import (
	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// Bounds of the search for a worker.
const (
	// bucketCount is into how many classes of free cores a pool's workers are sorted.
	bucketCount = 64
	// maxCandidates is among how many fitting workers the rack is chosen.
	maxCandidates = 16
)

// workerState is a worker with what is free of it.
type workerState struct {
	Worker
	pool *poolState
	// free may be negative for a moment after a host was made smaller.
	free inventory.Size
	// tasks counts started jobs.
	tasks int
	// bucket and place are where the pool's buckets hold the worker.
	bucket, index int
}

// rackTemplate names the jobs of one template in one rack.
type rackTemplate struct {
	rack     inventory.RackID
	template string
}

// poolState is a pool's workers, sorted by free cores.
type poolState struct {
	id    inventory.PoolID
	owner inventory.OwnerID
	// bucketWidth is the range of free cores of one bucket; at least 1.
	bucketWidth inventory.Cores
	buckets     [bucketCount][]*workerState
	workers     []*workerState
	// sizes are the different sizes of workers.
	sizes map[inventory.Size]int
	total inventory.Size
	// racks counts started jobs.
	racks map[rackTemplate]int
	// nextCandidate is the worker at which the next search for room under pressure begins.
	nextCandidate int
	// groups are the queued jobs that go to the pool.
	groups []*group
	// changes counts changes of the pool's room and groups. planned is version()
	// at the last plan that found nothing to do.
	changes, plannedVersion int64
	// examined counts the workers that searches looked at.
	examined int64
}

func newPoolState(id inventory.PoolID, owner inventory.OwnerID) *poolState {
	return &poolState{id: id, owner: owner, bucketWidth: 1, sizes: make(map[inventory.Size]int), racks: make(map[rackTemplate]int), plannedVersion: -1}
}

// version changes whenever a new plan of the pool may differ from the last one.
func (p *poolState) version() int64 {
	v := p.changes
	for _, g := range p.groups {
		v += g.version
	}
	return v
}

// addWorkers enters the workers, all free.
func (p *poolState) addWorkers(workers []*workerState) {
	largest := inventory.Cores(0)
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

func (p *poolState) bucketOf(free inventory.Cores) int {
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

// setFree changes what is free of a worker.
func (p *poolState) setFree(w *workerState, free inventory.Size) {
	w.free = free
	if p.bucketOf(free.Cores) == w.bucket {
		return
	}
	p.removeFromBucket(w)
	p.addToBucket(w)
}

// canEverHold reports whether any worker could hold the size when it is empty.
func (p *poolState) canEverHold(need inventory.Size) bool {
	for s := range p.sizes {
		if need.Fits(s) {
			return true
		}
	}
	return false
}

// find returns the worker for a size: among the fullest that fit, the one whose
// rack has the fewest jobs of the template. It returns nil if none fits.
func (p *poolState) find(need inventory.Size, template string, may func(*workerState) bool) *workerState {
	var best *workerState
	fewest, candidates := 0, 0
	for b := p.bucketOf(need.Cores); b < bucketCount; b++ {
		for _, w := range p.buckets[b] {
			p.examined++
			if !need.Fits(w.free) || !may(w) {
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
