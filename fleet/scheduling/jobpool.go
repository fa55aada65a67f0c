package scheduling

import "slices"

// A queue may get another pool, and runs of its jobs go on in the earlier one. A job's tasks start in
// a pool other than the one at its acceptance only after that pool is stored with the job. A new
// leader thus knows the pools whose workers may run them.

// poolOf returns the pool that runs a job's tasks now, and false while the configuration
// under which the job was accepted isn't known here yet.
func (s *Scheduler) poolOf(js *jobState) (string, bool) {
	if js.Version > s.configuration.Version {
		return "", false
	}
	q, _ := s.queueOf(js)
	return q.Pool, true
}

// mayRunInPool reports whether tasks of the job may start in a pool now.
func (js *jobState) mayRunInPool(pool string) bool {
	return pool == js.Pool || js.pools.contains(pool)
}

// wasInPool reports whether an earlier leader may have started tasks of the job in a pool.
func (js *jobState) wasInPool(pool string) bool {
	isOrigin := func(o Origin) bool { return o.Pool == pool }
	return slices.ContainsFunc(js.origins, isOrigin) || slices.Contains(js.pools.restored, pool)
}

// startPool returns the pool in which tasks of a job may start now. It returns false while that pool
// isn't known, or isn't stored with the job yet.
func (s *Scheduler) startPool(js *jobState) (string, bool) {
	pool, ok := s.poolOf(js)
	if !ok || js.mayRunInPool(pool) {
		return pool, ok
	}
	if !js.pools.isAdding {
		js.pools.add(pool)
		s.markChanged(js)
		s.logDecision("job may run in another pool", js.ID, "Pool", pool, "Accepted", js.Pool, "Queue", js.Queue,
			"Version", s.configuration.Version)
	}
	return "", false
}
