package placement

import (
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// Thresholds of failure attribution and quarantine.
const (
	// workerFailureThreshold is the number of different jobs that a worker fails without a
	// success in between before it is quarantined.
	workerFailureThreshold = 4
	// jobFailureThreshold is the number of workers on which a job or a template fails
	// without a success in between before the failures are attributed to it.
	jobFailureThreshold = 3
	// probeDelay is how long a worker stays quarantined before it is probed with one job.
	probeDelay = 10 * time.Minute
)

// Failure is a job that failed on a worker.
type Failure struct {
	Job      inventory.JobID
	Template string
}

// Health attributes failures to workers or to jobs. A failure first counts against
// both. Once a threshold attributes it to one side, the other side's counts drop it.
type Health struct {
	// Workers lists the failures of each worker since its last success, each job once.
	Workers map[inventory.WorkerID][]Failure
	// Jobs lists the workers on which each job failed, each once.
	Jobs map[inventory.JobID][]inventory.WorkerID
	// Templates lists the workers on which a template failed since its last success on
	// any worker, each once.
	Templates map[string][]inventory.WorkerID
	// Quarantined maps each quarantined worker to the time of the last failure that put
	// or kept it there.
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

// recordSuccess clears the failures of the worker, the job and its template, and
// releases the worker from quarantine.
func (h *Health) recordSuccess(f Failure, w inventory.WorkerID) {
	delete(h.Workers, w)
	delete(h.Quarantined, w)
	delete(h.Jobs, f.Job)
	delete(h.Templates, f.Template)
}

// recordFailure counts a failure and reports whether it is attributed to the job, which
// then must not be retried. A failure on a quarantined worker only restarts its delay.
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

// quarantine quarantines the worker and stops counting its failures against the jobs
// and templates. If all of them are of one template, the cause may still be the
// template, so the template's count stays.
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

// clearFailures removes the matching failures from all workers and releases the workers
// from quarantine whose count falls below the threshold.
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

// forget drops the failure count of a job that has ended.
func (h *Health) forget(j inventory.JobID) {
	delete(h.Jobs, j)
}

// hasFailed reports whether the job has a counted failure on any worker.
func (h *Health) hasFailed(j *Job) bool {
	return len(h.Jobs[j.ID]) > 0
}

// mayPlace reports whether the job may be placed on the worker. After probeDelay a
// quarantined worker gets one idempotent job at a time as a probe.
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
