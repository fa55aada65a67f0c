package scheduling

import (
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/fleet/queue"
)

// Others than workers may write to the registry. An entry names a worker only if its pool is one of the
// configuration, and the entry of a newer worker on a host doesn't end one there that still answers.

// isPoolKnown reports whether a configuration that this leader has had names a pool.
func (s *Scheduler) isPoolKnown(name string) bool {
	if _, ok := s.configuration.Pool(name); ok || s.formerPools[name] {
		return true
	}
	return slices.ContainsFunc(s.configuration.Queues, func(q queue.Queue) bool { return q.Pool == name })
}

// namesWorker reports whether an entry names a worker to use.
func (s *Scheduler) namesWorker(e Entry) bool {
	w := s.workers.get(e.ID)
	return w != nil && w.Pool == e.Pool || s.isPoolKnown(e.Pool)
}

// keepForeign keeps an entry of an unknown pool, as a later configuration may name it.
func (s *Scheduler) keepForeign(e Entry) {
	if known, ok := s.foreign[e.ID]; !ok || known.Incarnation != e.Incarnation || known.Pool != e.Pool {
		s.logDecision("entry of an unknown pool ignored", "", "Worker", string(e.ID), "Born", e.StartedAt, "Pool", e.Pool, "Host", string(e.Host))
	}
	s.foreign[e.ID] = e
}

// rememberPools keeps the pools of the configuration that is replaced.
func (s *Scheduler) rememberPools() {
	for _, p := range s.configuration.Pools {
		s.formerPools[p.Name] = true
	}
	for _, q := range s.configuration.Queues {
		s.formerPools[q.Pool] = true
	}
}

// registerNamed registers the workers whose pools a new configuration names.
func (s *Scheduler) registerNamed(now time.Time) {
	if !s.hasNewPools {
		return
	}
	s.hasNewPools = false
	for id, e := range s.foreign {
		if s.namesWorker(e) {
			delete(s.foreign, id)
			s.Register(now, e)
		}
	}
}

// hasAnsweringOther reports whether another worker on the host of an entry has an entry too and answers, though no order
// explains that a newer one runs there. It is asked at once: if it has ended, its answers cease.
func (s *Scheduler) hasAnsweringOther(now time.Time, e Entry) bool {
	isAnswering := false
	for _, w := range s.othersOnHost(e) {
		if !w.registered || !w.contacted || !w.unreachableSince.IsZero() || s.isHostOrdered(w) {
			continue
		}
		isAnswering = true
		if !w.holdPending {
			w.nextHold = now
		}
	}
	return isAnswering
}

// registerAwaited registers the newer worker of a host whose known worker has ceased to answer or has no entry any more.
func (s *Scheduler) registerAwaited(now time.Time, id HostID) {
	for _, o := range s.unregistered {
		if id != "" && o.Host == id && !s.isOrderUnknown(o.Entry) && !s.hasAnsweringOther(now, o.Entry) {
			s.registerOnHost(now, o.Entry)
			return
		}
	}
}

// isAskedAbout reports whether an entry waits for an answer of a worker, which mustn't delay it until a run ends.
func (s *Scheduler) isAskedAbout(w *worker) bool {
	if w.Host == "" || len(s.unregistered) == 0 {
		return false
	}
	for _, o := range s.unregistered {
		if o.Host == w.Host && o.ID != w.ID && !w.reportedAt.After(o.readAt) {
			return true
		}
	}
	return false
}

// entryIDs returns the IDs of the entries that name no worker yet.
func (s *Scheduler) entryIDs() []WorkerID {
	var ids []WorkerID
	for id := range s.unregistered {
		ids = append(ids, id)
	}
	for id := range s.foreign {
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}
