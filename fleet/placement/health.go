package placement

import (
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// Bounds of quarantine.
const (
	// workerFailureThreshold is how many different jobs a worker fails without a success
	// before it is given no more.
	workerFailureThreshold = 4
	// jobFailureThreshold is on how many workers a job or a template fails without a
	// success before the fault is taken to be its own.
	jobFailureThreshold = 3
	// probeDelay is how long a worker stays in quarantine before it is tried with
	// one job.
	probeDelay = 10 * time.Minute
)

// Failure is one job that a worker failed.
type Failure struct {
	Job      inventory.JobID
	Template string
}

// Health tells workers that fail everything from jobs that fail everywhere. A
// failure counts against both at first. Once one side is found out, the other
// side's counts are cleared of it.
type Health struct {
	// Workers has what each worker failed since its last success, each job once.
	Workers map[inventory.WorkerID][]Failure
	// Jobs has the workers on which each job failed, each once.
	Jobs map[inventory.JobID][]inventory.WorkerID
	// Templates has the workers on which a template failed since its last
	// success anywhere, each once.
	Templates map[string][]inventory.WorkerID
	// Quarantined has since when a worker is given no jobs.
	Quarantined map[inventory.WorkerID]time.Time
}

func newHealth() *Health {
	return &Health{
		Workers:     make(map[inventory.WorkerID][]Failure),
		Jobs:        make(map[inventory.JobID][]inventory.WorkerID),
		Templates:   make(map[string][]inventory.WorkerID),
		Quarantined: make(map[inventory.WorkerID]time.Time),
	}
}

// recordSuccess clears the worker, the job and its template.
func (h *Health) recordSuccess(f Failure, w inventory.WorkerID) {
	delete(h.Workers, w)
	delete(h.Quarantined, w)
	delete(h.Jobs, f.Job)
	delete(h.Templates, f.Template)
}

// recordFailure counts a failure at a moment and reports whether the job fails everywhere.
func (h *Health) recordFailure(f Failure, w inventory.WorkerID, at time.Time) bool {
	if _, ok := h.Quarantined[w]; ok {
		h.Quarantined[w] = at
		return false
	}
	h.Jobs[f.Job] = appendUnique(h.Jobs[f.Job], w)
	h.Templates[f.Template] = appendUnique(h.Templates[f.Template], w)
	if len(h.Templates[f.Template]) >= jobFailureThreshold {
		h.clearFailures(func(o Failure) bool { return o.Template == f.Template })
		return len(h.Jobs[f.Job]) >= jobFailureThreshold
	}
	if len(h.Jobs[f.Job]) >= jobFailureThreshold {
		h.clearFailures(func(o Failure) bool { return o.Job == f.Job })
		return true
	}
	h.Workers[w] = appendUnique(h.Workers[w], f)
	if len(h.Workers[w]) >= workerFailureThreshold {
		h.quarantine(w, at)
	}
	return false
}

// quarantine takes the worker out and clears what it failed. If that was one
// template alone, the fault may still be the template's, so its count stays.
func (h *Health) quarantine(w inventory.WorkerID, at time.Time) {
	h.Quarantined[w] = at
	failures := h.Workers[w]
	isMixed := slices.ContainsFunc(failures, func(f Failure) bool { return f.Template != failures[0].Template })
	for _, f := range failures {
		removeWorker(h.Jobs, f.Job, w)
		if isMixed {
			removeWorker(h.Templates, f.Template, w)
		}
	}
}

// clearFailures takes failures back from all workers, and those workers out of
// quarantine that are left with too few.
func (h *Health) clearFailures(matches func(Failure) bool) {
	for w, failures := range h.Workers {
		remaining := slices.DeleteFunc(slices.Clone(failures), matches)
		h.Workers[w] = remaining
		if len(remaining) < workerFailureThreshold {
			delete(h.Quarantined, w)
		}
		if len(remaining) == 0 {
			delete(h.Workers, w)
		}
	}
}

// forget drops the count of a job that has ended.
func (h *Health) forget(j inventory.JobID) {
	delete(h.Jobs, j)
}

// hasFailed reports whether the job failed on any worker.
func (h *Health) hasFailed(j *Job) bool {
	return len(h.Jobs[j.ID]) > 0
}

// mayPlace reports whether the worker may be given the job. A quarantined worker
// is tried with one idempotent job at a time once its time is over.
func (h *Health) mayPlace(j *Job, w *workerState, now time.Time) bool {
	if slices.Contains(h.Jobs[j.ID], w.ID) {
		return false
	}
	since, quarantined := h.Quarantined[w.ID]
	return !quarantined || (now.Sub(since) >= probeDelay && w.tasks == 0 && j.Idempotent)
}

func appendUnique[T comparable](all []T, v T) []T {
	if slices.Contains(all, v) {
		return all
	}
	return append(all, v)
}

func removeWorker[K comparable](m map[K][]inventory.WorkerID, k K, w inventory.WorkerID) {
	m[k] = slices.DeleteFunc(slices.Clone(m[k]), func(o inventory.WorkerID) bool { return o == w })
	if len(m[k]) == 0 {
		delete(m, k)
	}
}
