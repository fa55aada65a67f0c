package placement

import (
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// Bounds of quarantine.
const (
	// workerFailures is how many different jobs a worker fails without a success
	// before it is given no more.
	workerFailures = 4
	// jobFailures is on how many workers a job or a template fails without a
	// success before the fault is taken to be its own.
	jobFailures = 3
	// probeAfter is how long a worker stays in quarantine before it is tried with
	// one job.
	probeAfter = 10 * time.Minute
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

// succeeded clears the worker, the job and its template.
func (h *Health) succeeded(f Failure, w inventory.WorkerID) {
	delete(h.Workers, w)
	delete(h.Quarantined, w)
	delete(h.Jobs, f.Job)
	delete(h.Templates, f.Template)
}

// failed counts a failure at a moment and reports whether the job fails everywhere.
func (h *Health) failed(f Failure, w inventory.WorkerID, at time.Time) bool {
	if _, ok := h.Quarantined[w]; ok {
		h.Quarantined[w] = at
		return false
	}
	h.Jobs[f.Job] = with(h.Jobs[f.Job], w)
	h.Templates[f.Template] = with(h.Templates[f.Template], w)
	if len(h.Templates[f.Template]) >= jobFailures {
		h.exonerate(func(o Failure) bool { return o.Template == f.Template })
		return len(h.Jobs[f.Job]) >= jobFailures
	}
	if len(h.Jobs[f.Job]) >= jobFailures {
		h.exonerate(func(o Failure) bool { return o.Job == f.Job })
		return true
	}
	h.Workers[w] = with(h.Workers[w], f)
	if len(h.Workers[w]) >= workerFailures {
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
		drop(h.Jobs, f.Job, w)
		if isMixed {
			drop(h.Templates, f.Template, w)
		}
	}
}

// exonerate takes failures back from all workers, and those workers out of
// quarantine that are left with too few.
func (h *Health) exonerate(own func(Failure) bool) {
	for w, failures := range h.Workers {
		left := slices.DeleteFunc(slices.Clone(failures), own)
		h.Workers[w] = left
		if len(left) < workerFailures {
			delete(h.Quarantined, w)
		}
		if len(left) == 0 {
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

// mayTry reports whether the worker may be given the job. A quarantined worker
// is tried with one idempotent job at a time once its time is over.
func (h *Health) mayTry(j *Job, w *workerState, now time.Time) bool {
	if slices.Contains(h.Jobs[j.ID], w.ID) {
		return false
	}
	since, quarantined := h.Quarantined[w.ID]
	return !quarantined || (now.Sub(since) >= probeAfter && w.tasks == 0 && j.Idempotent)
}

func with[T comparable](all []T, v T) []T {
	if slices.Contains(all, v) {
		return all
	}
	return append(all, v)
}

func drop[K comparable](m map[K][]inventory.WorkerID, k K, w inventory.WorkerID) {
	m[k] = slices.DeleteFunc(slices.Clone(m[k]), func(o inventory.WorkerID) bool { return o == w })
	if len(m[k]) == 0 {
		delete(m, k)
	}
}
