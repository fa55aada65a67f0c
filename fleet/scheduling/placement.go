package scheduling

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/fleet/job"
)

// poolView is a pool during one round of placement.
type poolView struct {
	workers []*worker
	// largest is at least the largest free room of each kind among the workers, largestIn
	// among those of a data centre.
	largest   job.Room
	largestIn map[string]job.Room
	// lastPriority is that of the pool's queue that comes last.
	lastPriority int
	// starved steps of earlier queues have found no room in this round.
	starved []*step
}

// place gives waiting tasks to workers: by priority, then those whose objective can
// still be met, the one with the least time left first.
func (s *Scheduler) place(now time.Time) {
	steps := s.collect(now)
	if len(steps) == 0 {
		return
	}
	views := make(map[string]*poolView)
	for _, st := range steps {
		pool, ok := s.poolOf(st.occ.job)
		if !ok {
			continue
		}
		v := views[pool]
		if v == nil {
			v = s.view(now, pool)
			views[pool] = v
		}
		if len(v.workers) == 0 {
			continue
		}
		if st.Gang {
			s.placeGang(now, v, st)
			continue
		}
		s.placeStep(now, v, st)
	}
	if !now.Before(s.nextPreempt) {
		s.nextPreempt = now.Add(preemptEvery)
		for _, pool := range slices.Sorted(maps.Keys(views)) {
			s.preempt(now, views[pool])
		}
	}
}

// collect returns the steps with waiting tasks in the order in which they are placed.
func (s *Scheduler) collect(now time.Time) []*step {
	type keyed struct {
		*step
		priority int
		prospect prospect
		isBegun  bool
		slack    time.Duration
	}
	var all []keyed
	for name, list := range s.waiting.all() {
		kept := list[:0]
		for _, st := range list {
			if len(st.waiting) == 0 {
				st.listed = false
				continue
			}
			kept = append(kept, st)
			q, _ := s.conf.Queue(name)
			k := keyed{step: st, priority: q.Priority, isBegun: st.occ.isBegun()}
			k.prospect, k.slack = s.prospect(now, q, st)
			all = append(all, k)
		}
		clear(list[len(kept):])
		s.waiting.put(name, kept)
	}
	slices.SortFunc(all, func(a, b keyed) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.prospect, b.prospect), compareBool(b.isBegun, a.isBegun), cmp.Compare(a.slack, b.slack), cmp.Compare(a.occ.job.ID, b.occ.job.ID), cmp.Compare(a.number, b.number))
	})
	steps := make([]*step, len(all))
	for i, k := range all {
		steps[i] = k.step
	}
	return steps
}

// compareBool puts false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// isBegun reports whether a task of the occurrence runs or has run to its end: what
// was begun is only worth something once all of it is done.
func (o *occurrence) isBegun() bool {
	for _, st := range o.steps {
		if st.done > 0 || len(st.waiting) < st.Count && st.released {
			return true
		}
	}
	return false
}

// poolOf returns the pool that runs a job's tasks now, and false while the job was
// accepted under a configuration that isn't known here yet.
func (s *Scheduler) poolOf(js *jobState) (string, bool) {
	if js.Version > s.conf.Version {
		return "", false
	}
	if q, ok := s.conf.Queue(js.Queue); ok {
		return q.Pool, true
	}
	return js.Pool, true
}

// view lists the workers of a pool that may get tasks.
func (s *Scheduler) view(now time.Time, pool string) *poolView {
	v := &poolView{largestIn: make(map[string]job.Room)}
	// Workers that don't reject what doesn't fit must have no run of unknown size.
	p, _ := s.conf.Pool(pool)
	isGuarded := p.Guarded
	v.lastPriority = s.conf.LastPriority(pool)
	for _, w := range s.workers.all() {
		if w.Pool != pool || !w.mayServe(now) || (!isGuarded && len(w.strays) > 0) {
			continue
		}
		v.workers = append(v.workers, w)
		v.largest = v.largest.Max(w.free())
		v.largestIn[w.DataCentre] = v.largestIn[w.DataCentre].Max(w.free())
	}
	slices.SortFunc(v.workers, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	return v
}

// mayServe reports whether the worker may get new tasks.
func (w *worker) mayServe(now time.Time) bool {
	return w.listed && w.greeted && w.roster == rosterStored && !w.Draining && !w.cordoned &&
		w.failing.IsZero() && !now.Before(w.restUntil) && (!w.onTrial || w.runs.len() == 0)
}

func (w *worker) free() job.Room {
	return w.Capacity.Sub(w.used)
}

// mayStart reports whether nothing can run of the task anywhere else.
func (s *Scheduler) mayStart(now time.Time, pool string, t *task) bool {
	if now.Before(t.notBefore) {
		return false
	}
	if !t.lostAt.IsZero() && s.confirmed.Before(t.lostAt) {
		return false // a later owner may know that the run has ended as done
	}
	if !t.owner().inherited || now.After(s.inheritedUntil) {
		return true
	}
	if t.step.Speculative && now.Sub(s.startedAt) > speculativePause {
		return true
	}
	for _, e := range s.unaccounted {
		if e.Pool == pool && t.owner().mayRunIn(e.DataCentre) {
			return false
		}
	}
	return true
}

// placeStep gives as many tasks of a step to workers as fit.
func (s *Scheduler) placeStep(now time.Time, v *poolView, st *step) {
	if !v.largest.Fits(st.Takes()) {
		s.starve(now, v, st)
		return
	}
	if !v.mayFit(st) {
		s.widen(now, v, st)
		s.starve(now, v, st)
		return
	}
	if s.needsAdvice(now, v, st) {
		return
	}
	pool, _ := s.poolOf(st.occ.job)
	if st.isSuspect() {
		s.placeSuspect(now, v, st, pool)
		return
	}
	kept := st.waiting[:0]
	for i, t := range st.waiting {
		if !s.mayStart(now, pool, t) {
			kept = append(kept, t)
			continue
		}
		w := s.choose(now, v, st, t)
		if w == nil {
			s.widen(now, v, st)
			s.starve(now, v, st)
			kept = append(kept, st.waiting[i:]...)
			break
		}
		t.queued = false
		st.starvedAt = time.Time{}
		if !s.startRun(now, w, t, s.nextRun(t), st.advice.ticket(w.ID)) {
			t.queued = true
			kept = append(kept, st.waiting[i:]...)
			break
		}
	}
	clear(st.waiting[len(kept):])
	st.waiting = kept
}

// placeSuspect gives one task of a step that may be hopeless to a worker.
func (s *Scheduler) placeSuspect(now time.Time, v *poolView, st *step, pool string) {
	t, ok := st.mostFailed()
	if !ok || !s.mayStart(now, pool, t) {
		return
	}
	w := s.choose(now, v, st, t)
	if w != nil && s.startRun(now, w, t, s.nextRun(t), st.advice.ticket(w.ID)) {
		s.unqueue(t)
	}
}

// mayFit reports whether a worker where the step's job may run has room for a task.
func (v *poolView) mayFit(st *step) bool {
	js := st.occ.job
	if js.Home == "" {
		return true
	}
	for centre, room := range v.largestIn {
		if js.mayRunIn(centre) && room.Fits(st.Takes()) {
			return true
		}
	}
	return false
}

// choose returns the worker that suits a task best, or nil.
func (s *Scheduler) choose(now time.Time, v *poolView, st *step, t *task) *worker {
	var best *worker
	var bestScore float64
	for _, w := range v.workers {
		if !s.allows(now, st, w) || t.isOn(w) || (w.onTrial && w.runs.len() > 0) {
			continue
		}
		score := s.score(st, t, w)
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// allows reports whether a worker may run a task of the step now.
func (s *Scheduler) allows(now time.Time, st *step, w *worker) bool {
	return st.occ.job.mayRunIn(w.DataCentre) && s.suits(now, st, w)
}

// suits reports whether a worker could run a task of the step, in whichever data centre
// it is.
func (s *Scheduler) suits(now time.Time, st *step, w *worker) bool {
	if !w.free().Fits(st.Takes()) {
		s.looks++
		return false
	}
	return s.admits(now, st, w)
}

// admits reports whether a worker could run a task of the step if it had room.
func (s *Scheduler) admits(now time.Time, st *step, w *worker) bool {
	s.looks++
	if st.AntiAffinity > 0 && w.steps[st] >= st.AntiAffinity {
		return false
	}
	if st.Requires != "" && !slices.Contains(w.Labels, st.Requires) {
		return false
	}
	return !st.advice.asked || st.advice.allows(now, w.ID)
}

// Weights of the score of a worker; the unit is the share of a worker that is in use.
const (
	// weightRack makes a rack that is near the data outweigh any packing.
	weightRack = 4.0
	// weightSameRack and weightSameCentre keep the tasks of a job together, so that a
	// rack or a data centre that is lost holds up few jobs and not a part of each. A rack
	// outweighs any packing, a data centre half of it.
	weightSameRack   = 1.0
	weightSameCentre = 0.6
	// weightAvoid keeps a task off the worker on which it failed while others fit.
	weightAvoid = 8.0
	// weightSpread keeps tasks that last on different racks.
	weightSpread = 2.0
)

// score rates a worker for a task. Tasks that end are packed, so that other hosts
// run empty and may leave the pool; tasks that last are spread over racks.
func (s *Scheduler) score(st *step, t *task, w *worker) float64 {
	score := share(w.used, w.Capacity)
	if st.Fills {
		score = -score
	}
	if st.Affinity != "" && st.Affinity == w.Rack {
		score += weightRack
	}
	if st.SameRack {
		score += weightRack * float64(st.onRack(w.Rack)) / float64(st.Count)
	}
	switch {
	case st.LongRunning:
		score -= weightSpread * float64(st.onRack(w.Rack)) / float64(st.Count)
	case st.occ.onRacks[w.Rack] > 0:
		score += weightSameRack + weightSameCentre
	case st.occ.inCentres[w.DataCentre] > 0:
		score += weightSameCentre
	}
	if t.avoid == w.ID {
		score -= weightAvoid
	}
	return score
}

// onRack counts the step's tasks that run on a rack.
func (st *step) onRack(rack string) int {
	n := 0
	for _, t := range st.tasks {
		if t.run != nil && t.run.worker.Rack == rack {
			n++
		}
	}
	return n
}

// share is the larger share of processor and memory in use.
func share(used, capacity job.Room) float64 {
	var cpu, mem float64
	if capacity.CPU > 0 {
		cpu = float64(used.CPU) / float64(capacity.CPU)
	}
	if capacity.MemMB > 0 {
		mem = float64(used.MemMB) / float64(capacity.MemMB)
	}
	return max(cpu, mem)
}

// placeGang starts all tasks of a gang with one run number, or none.
func (s *Scheduler) placeGang(now time.Time, v *poolView, st *step) {
	if len(st.waiting) < st.Count || s.needsAdvice(now, v, st) {
		return
	}
	pool, _ := s.poolOf(st.occ.job)
	number := int64(0)
	checkpoint := ""
	for _, t := range st.tasks {
		if !s.mayStart(now, pool, t) {
			return
		}
		number = max(number, s.nextRun(t))
		checkpoint = cmp.Or(checkpoint, t.checkpoint)
	}
	chosen := s.chooseGang(now, v, st)
	if chosen == nil {
		s.widen(now, v, st)
		return
	}
	for i, t := range st.tasks {
		t.checkpoint = checkpoint
		if !s.startRun(now, chosen[i], t, number, st.advice.ticket(chosen[i].ID)) {
			return // no lease may be ordered: the tasks that wait stay in the list
		}
		t.queued = false
	}
	st.waiting = nil
}

// chooseGang finds a worker for each task of a gang, on one rack where the step
// asks for it and a rack has room.
func (s *Scheduler) chooseGang(now time.Time, v *poolView, st *step) []*worker {
	if st.SameRack {
		for _, rack := range v.racks(st.Affinity) {
			if c := s.fill(now, st, v.onRack(rack)); c != nil {
				return c
			}
		}
	}
	return s.fill(now, st, v.workers)
}

// fill assigns the gang's tasks to workers one after the other.
func (s *Scheduler) fill(now time.Time, st *step, workers []*worker) []*worker {
	var chosen []*worker
	taken := make(map[*worker]int)
	for len(chosen) < st.Count {
		var best *worker
		for _, w := range workers {
			need := st.Takes()
			need = job.Room{CPU: need.CPU * int64(taken[w]+1), MemMB: need.MemMB * int64(taken[w]+1), GPU: need.GPU * int64(taken[w]+1)}
			if !s.allows(now, st, w) || !w.free().Fits(need) || (st.AntiAffinity > 0 && taken[w] >= st.AntiAffinity) {
				continue
			}
			if best == nil || s.score(st, st.tasks[0], w) > s.score(st, st.tasks[0], best) {
				best = w
			}
		}
		if best == nil {
			return nil
		}
		taken[best]++
		chosen = append(chosen, best)
	}
	return chosen
}

// racks lists the pool's racks, the preferred one first.
func (v *poolView) racks(first string) []string {
	var racks []string
	for _, w := range v.workers {
		if !slices.Contains(racks, w.Rack) {
			racks = append(racks, w.Rack)
		}
	}
	slices.SortFunc(racks, func(a, b string) int {
		if (a == first) != (b == first) {
			if a == first {
				return -1
			}
			return 1
		}
		return cmp.Compare(a, b)
	})
	return racks
}

func (v *poolView) onRack(rack string) []*worker {
	var ws []*worker
	for _, w := range v.workers {
		if w.Rack == rack {
			ws = append(ws, w)
		}
	}
	return ws
}

// placeGap is how long to wait between two rounds of placement.
func (s *Scheduler) placeGap() time.Duration {
	steps := 0
	for _, list := range s.waiting.all() {
		steps += len(list)
	}
	return min(time.Duration(steps)*gapPerStep, maxPlaceGap)
}
