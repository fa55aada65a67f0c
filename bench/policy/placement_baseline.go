package policy

import (
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/placement"
)

// firstFit is the baseline: it takes jobs in order of acceptance, starts each on the
// first worker of its pool with room for the declared size, and blocks the queue while
// its first job does not fit.
type firstFit struct {
	free  map[inventory.PoolID][]*firstFitWorker
	queue map[inventory.PoolID][]*placement.Job
}

// firstFitWorker is a worker of the baseline.
type firstFitWorker struct {
	free inventory.Size
	// used is the actual usage of its jobs.
	used inventory.Size
}

// newFirstFit returns a baseline with the same workers and queued jobs.
func newFirstFit(l placement.Layout, jobs []*placement.Job) *firstFit {
	f := &firstFit{free: make(map[inventory.PoolID][]*firstFitWorker), queue: make(map[inventory.PoolID][]*placement.Job)}
	for _, w := range l.Workers {
		f.free[w.Pool] = append(f.free[w.Pool], &firstFitWorker{free: w.Size})
	}
	for _, j := range jobs {
		pool := inventory.PoolID(j.Labels["Pool"])
		f.queue[pool] = append(f.queue[pool], j)
	}
	return f
}

// run starts jobs until the first job of each queue does not fit, and returns the
// started jobs.
func (f *firstFit) run(used func(*placement.Job) inventory.Size) []*placement.Job {
	var started []*placement.Job
	for pool, queue := range f.queue {
		for _, j := range queue {
			if !f.place(pool, j, used(j)) {
				break
			}
			started = append(started, j)
		}
	}
	return started
}

func (f *firstFit) place(pool inventory.PoolID, j *placement.Job, used inventory.Size) bool {
	for _, w := range f.free[pool] {
		if !j.Declared.FitsIn(w.free) {
			continue
		}
		w.free = w.free.Sub(j.Declared)
		w.used = w.used.Add(used)
		return true
	}
	return false
}

// overcommittedWorkers counts workers whose jobs use more than their capacity.
func (f *firstFit) overcommittedWorkers() int {
	n := 0
	for _, workers := range f.free {
		for _, w := range workers {
			if !w.used.FitsIn(inventory.Size{Cores: workerCores, Memory: workerMemory}) {
				n++
			}
		}
	}
	return n
}
