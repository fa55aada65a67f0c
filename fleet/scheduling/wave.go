package scheduling

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// WaveProgress is the stored record of a wave.
type WaveProgress struct {
	Wave
	// FirstSeen is the time of day in Unix milliseconds at which it was first seen.
	FirstSeen int64
	// Begun lists the hosts whose maintenance has begun.
	Begun []HostID
	// Completed waves are reported as such.
	Completed bool
}

// wave is a wave of maintenance and how far it is.
type wave struct {
	WaveProgress
	begun map[HostID]bool
	// since is when it was first seen by this owner.
	since    time.Time
	reported string
	prepared map[HostID]time.Time
}

func newWave(p WaveProgress) *wave {
	v := &wave{WaveProgress: p, begun: make(map[HostID]bool), prepared: make(map[HostID]time.Time)}
	for _, h := range p.Begun {
		v.begun[h] = true
	}
	return v
}

// DecodeWave reads a wave's record.
func DecodeWave(b []byte) (WaveProgress, error) {
	var p WaveProgress
	err := json.Unmarshal(b, &p)
	return p, err
}

// RequestWave takes a wave that operators ask for. A wave with the number of a known
// one replaces its hosts and bounds, and keeps what has begun.
func (s *Scheduler) RequestWave(now time.Time, wall int64, w Wave) {
	v := s.waves[w.Number]
	if v == nil {
		v = newWave(WaveProgress{Wave: w, FirstSeen: wall})
		s.waves[w.Number] = v
		s.note("wave requested", "", "Wave", w.Number, "Hosts", len(w.Hosts), "MaxCount", w.MaxCount, "DurationMs", w.Duration.Milliseconds())
		s.storeWave(v)
	}
	if v.since.IsZero() {
		v.since = before(now, wall-v.FirstSeen)
	}
	if !v.Completed {
		v.Wave = w
	}
}

func (s *Scheduler) storeWave(v *wave) {
	v.Begun = v.Begun[:0]
	for h := range v.begun {
		v.Begun = append(v.Begun, h)
	}
	slices.Sort(v.Begun)
	b, err := json.Marshal(v.WaveProgress)
	if err != nil {
		s.note("wave not stored", "", "Wave", v.Number, "Error", err.Error())
		return
	}
	s.records = append(s.records, Record{Key: fmt.Sprintf("%s%d", WavePrefix, v.Number), Value: b})
}

// begun notes that a host's maintenance has begun.
func (s *Scheduler) begun(now time.Time, v *wave, id HostID) {
	if v.begun[id] {
		return
	}
	v.begun[id] = true
	delete(v.prepared, id)
	s.note("maintenance begun", "", "Wave", v.Number, "Host", string(id), "Begun", len(v.begun), "Of", len(v.Hosts),
		"AfterMs", now.Sub(v.since).Milliseconds())
	s.storeWave(v)
}

// tickWaves takes each open wave a step further.
func (s *Scheduler) tickWaves(now time.Time) {
	numbers := make([]int64, 0, len(s.waves))
	for n := range s.waves {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	for _, n := range numbers {
		if v := s.waves[n]; !v.Completed && !v.since.IsZero() {
			s.tickWave(now, v)
		}
	}
}

func (s *Scheduler) tickWave(now time.Time, v *wave) {
	open, down := s.openHosts(v)
	s.reportWave(v, len(open) == 0)
	if v.Completed {
		return
	}
	for _, h := range open {
		if down >= v.MaxCount {
			return
		}
		if s.prepare(now, v, h) {
			down++
		}
	}
}

// openHosts returns the wave's hosts whose maintenance hasn't begun, those that are
// ready for it first, and how many are down for the wave or may be.
func (s *Scheduler) openHosts(v *wave) ([]*host, int) {
	var open []*host
	down := 0
	for _, id := range v.Hosts {
		h := s.hosts.get(id)
		if h == nil {
			continue // it has left the fleet
		}
		if h.order.kind == maintainOrder || (v.begun[id] && h.State == HostMaintenance) {
			down++
		}
		if !v.begun[id] {
			open = append(open, h)
		}
	}
	slices.SortStableFunc(open, func(a, b *host) int { return cmp.Compare(s.interruptionCost(a), s.interruptionCost(b)) })
	return open, down
}

// interruptionCost orders hosts by what their maintenance would interrupt.
func (s *Scheduler) interruptionCost(h *host) int {
	w := s.workerOn(h)
	if w == nil {
		return 0
	}
	n := 0
	for _, r := range w.runs.all() {
		n++
		if r.task.step.LongRunning {
			n += 10
		}
	}
	if w.cordoned {
		n = min(n, 1)
	}
	return n
}

// prepare empties a host for its maintenance and begins it once nothing is lost by
// it. It reports whether the host counts as down from now on.
func (s *Scheduler) prepare(now time.Time, v *wave, h *host) bool {
	if !s.isFree(now, h) {
		return false
	}
	w := s.workerOn(h)
	if w == nil {
		if h.Worker != "" {
			return false // its worker isn't known yet
		}
		return s.maintain(now, v, h)
	}
	if _, ok := s.unaccounted[w.ID]; ok || (!w.contacted && w.unreachableSince.IsZero()) {
		return false // what runs there isn't known
	}
	if _, ok := v.prepared[h.ID]; !ok {
		v.prepared[h.ID] = now
	}
	w.cordoned = true
	s.evacuate(now, w)
	if w.runs.len() > 0 && (!s.isUrgent(now, v) || !w.mayTakeDown(now)) {
		return true // it takes a place while it is emptied
	}
	return s.maintain(now, v, h)
}

// isUrgent reports whether the wave would be late if its hosts were emptied first.
func (s *Scheduler) isUrgent(now time.Time, v *wave) bool {
	left, longRunning := 0, 0
	for _, id := range v.Hosts {
		h := s.hosts.get(id)
		if h == nil || v.begun[id] {
			continue
		}
		left++
		if w := s.workerOn(h); w != nil && w.hasLongRunning() {
			longRunning++
		}
	}
	rounds := (left + v.MaxCount - 1) / max(v.MaxCount, 1)
	// Hosts with tasks that last may have to go one after the other.
	need := max(time.Duration(rounds)*(s.cfg.MaintenanceTime+drainTime), time.Duration(longRunning)*(s.cfg.MaintenanceTime+relocationTime))
	return now.Add(need).After(v.since.Add(v.Duration))
}

// hasLongRunning reports whether a task that lasts runs on the worker.
func (w *worker) hasLongRunning() bool {
	for _, r := range w.runs.all() {
		if r.task.step.LongRunning {
			return true
		}
	}
	return false
}

// relocationTime is how long a task that lasts takes until it is at work elsewhere.
const relocationTime = 2 * time.Second

// drainTime is how long tasks that end usually still run on a host that gets no
// new ones: about two of the users' longer tasks.
const drainTime = 3 * time.Second

// evacuate stops the tasks that last on a cordoned or draining worker, each when the
// others of its step are at work; they start elsewhere at once.
func (s *Scheduler) evacuate(now time.Time, w *worker) {
	for _, r := range w.runs.all() {
		if !r.task.step.LongRunning || r.phase != running || r.relocating {
			continue
		}
		leaves := w.Draining && now.Add(drainMargin).After(w.leavesAt)
		if !leaves && !mayInterrupt(now, r) {
			continue
		}
		if !s.fitsElsewhere(now, r) {
			s.addDataCentreFor(now, r)
			s.fullAt[w.Pool] = now
			continue
		}
		r.relocating = true
		s.note("task relocated", r.task.owner().ID, "Task", r.task.id().String(), "Run", r.number, "Worker", string(w.ID),
			"Away", r.task.step.unavailable(now, r.task), "MayMiss", r.task.step.MayMiss)
		s.stopRun(now, r)
	}
}

// fitsElsewhere reports whether another worker has room for a task that is stopped.
func (s *Scheduler) fitsElsewhere(now time.Time, r *run) bool {
	pool, ok := s.poolOf(r.task.owner())
	if !ok {
		return false
	}
	for _, w := range s.view(now, pool).workers {
		if w != r.worker && s.isEligible(now, r.task.step, w) {
			return true
		}
	}
	return false
}

func (s *Scheduler) maintain(now time.Time, v *wave, h *host) bool {
	if !s.isConfirmedForHosts(now) {
		return false
	}
	if !s.reserve(now, h, "") {
		return true // it takes a place meanwhile
	}
	token, ok := s.nextHostToken(now)
	if !ok {
		return false
	}
	runs := 0
	if w := s.workerOn(h); w != nil {
		runs = w.runs.len()
		w.hostOrdered = true
	}
	s.note("maintenance ordered", "", "Host", string(h.ID), "Wave", v.Number, "Token", token, "Runs", runs,
		"AfterMs", now.Sub(v.since).Milliseconds())
	h.order = hostOrder{kind: maintainOrder, wave: v.Number}
	s.emit(Maintain{Host: h.ID, Wave: v.Number, Token: token})
	return true
}

// reportWave tells the operators when a wave has started and when all its hosts
// have begun their maintenance.
func (s *Scheduler) reportWave(v *wave, done bool) {
	state := "running"
	if done && s.hosts.len() > 0 {
		state = "completed"
	}
	if v.reported == state {
		return
	}
	v.reported = state
	if state == "completed" {
		v.Completed = true
		s.storeWave(v)
	}
	s.note("wave reported", "", "Wave", v.Number, "State", state)
	s.emit(ReportWave{Wave: v.Number, Completed: v.Completed})
}
