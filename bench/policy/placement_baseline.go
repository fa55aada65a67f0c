package policy

import (
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/placement"
)

// firstFit is the baseline: jobs in order of their acceptance, each on the first
// worker of its pool with room for the declared size, and a queue that waits for
// its first job.
type firstFit struct {
	free  map[inventory.PoolID][]*firstFitWorker
	queue map[inventory.PoolID][]*placement.Job
}

// firstFitWorker is a worker of the baseline.
type firstFitWorker struct {
	free inventory.Size
	// real is what its jobs really use.
	real inventory.Size
}

// newFirstFit returns a baseline over the same workers and queued jobs.
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

// run starts jobs until each queue's first job finds no room. It returns the
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
		w.real = w.real.Add(used)
		return true
	}
	return false
}

// overfull counts workers whose jobs really use more than there is.
func (f *firstFit) overfull() int {
	n := 0
	for _, workers := range f.free {
		for _, w := range workers {
			if !w.real.FitsIn(inventory.Size{Cores: workerCores, Memory: workerMemory}) {
				n++
			}
		}
	}
	return n
}
