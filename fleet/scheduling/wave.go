package scheduling

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// WaveProgress is the stored record of a maintenance wave.
type WaveProgress struct {
	Wave
	// FirstSeen is when the wave was first seen, by the wall clock in Unix milliseconds.
	FirstSeen int64
	// Begun lists the hosts whose maintenance has begun.
	Begun []HostID
	// Completed is set once maintenance has begun on all hosts of the wave.
	Completed bool
}

// wave is a maintenance wave and its progress.
type wave struct {
	WaveProgress
	begun map[HostID]bool
	// firstSeenAt is FirstSeen on this leader's clock.
	firstSeenAt time.Time
	// reported is the state that was last reported to the operators.
	reported string
	// drainStartedAt is when draining of a host for the wave began.
	drainStartedAt map[HostID]time.Time
}

func newWave(p WaveProgress) *wave {
	v := &wave{WaveProgress: p, begun: make(map[HostID]bool), drainStartedAt: make(map[HostID]time.Time)}
	for _, h := range p.Begun {
		v.begun[h] = true
	}
	return v
}

// DecodeWave decodes a wave's record.
func DecodeWave(b []byte) (WaveProgress, error) {
	var p WaveProgress
	err := json.Unmarshal(b, &p)
	return p, err
}

// RequestWave takes a wave that operators request. wall is the wall clock in Unix
// milliseconds. A wave with a known number replaces the hosts and limits of that wave,
// unless it is completed, and keeps its progress.
func (s *Scheduler) RequestWave(now time.Time, wall int64, w Wave) {
	v := s.waves[w.Number]
	if v == nil {
		v = newWave(WaveProgress{Wave: w, FirstSeen: wall})
		s.waves[w.Number] = v
		s.logDecision("wave requested", "", "Wave", w.Number, "Hosts", len(w.Hosts), "MaxCount", w.MaxCount, "DurationMs", w.Duration.Milliseconds())
		s.storeWave(v)
	}
	if v.firstSeenAt.IsZero() {
		v.firstSeenAt = msBefore(now, wall-v.FirstSeen)
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
		s.logDecision("encoding wave progress failed", "", "Wave", v.Number, "Error", err.Error())
		return
	}
	s.records = append(s.records, Record{Key: fmt.Sprintf("%s%d", WavePrefix, v.Number), Value: b})
}

// markMaintenanceBegun records that a host's maintenance has begun.
func (s *Scheduler) markMaintenanceBegun(now time.Time, v *wave, id HostID) {
	if v.begun[id] {
		return
	}
	v.begun[id] = true
	delete(v.drainStartedAt, id)
	s.logDecision("maintenance begun", "", "Wave", v.Number, "Host", string(id), "Begun", len(v.begun), "Of", len(v.Hosts),
		"AfterMs", now.Sub(v.firstSeenAt).Milliseconds())
	s.storeWave(v)
}

// tickWaves advances each open wave.
func (s *Scheduler) tickWaves(now time.Time) {
	numbers := make([]int64, 0, len(s.waves))
	for n := range s.waves {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	for _, n := range numbers {
		switch v := s.waves[n]; {
		case v.firstSeenAt.IsZero():
		case v.Completed:
			s.reportWave(v, true) // an earlier leader may have ended before its report
		default:
			s.tickWave(now, v)
		}
	}
}

func (s *Scheduler) tickWave(now time.Time, v *wave) {
	open, unlisted, down := s.openHosts(now, v)
	s.reportWave(v, len(open)+unlisted == 0)
	if v.Completed {
		return
	}
	for _, h := range open {
		if down >= v.MaxCount {
			return
		}
		if s.drainAndMaintain(now, v, h) || h.mayBeOrderedByEarlierLeader(now) {
			down++
		}
	}
}

// openHosts returns the wave's hosts whose maintenance hasn't begun, how many more of them no list
// has contained though they may stay, and how many hosts are down, or may be, because of the wave.
// The first of the hosts are those that an earlier leader may have ordered, as the next order fences
// that one; then they are ordered by rising interruption cost.
func (s *Scheduler) openHosts(now time.Time, v *wave) (open []*host, unlisted, down int) {
	for _, id := range v.Hosts {
		h := s.hosts.get(id)
		if h == nil {
			if !v.begun[id] && !s.hasLeft(id) {
				unlisted++
			}
			continue
		}
		if h.order.kind == maintainOrder || h.State == HostMaintenance {
			down++
		}
		if !v.begun[id] {
			open = append(open, h)
		}
	}
	slices.SortStableFunc(open, func(a, b *host) int {
		return cmp.Or(compareBool(b.mayBeOrderedByEarlierLeader(now), a.mayBeOrderedByEarlierLeader(now)), cmp.Compare(s.interruptionCost(a), s.interruptionCost(b)))
	})
	return open, unlisted, down
}

// interruptionCost returns the number of runs that maintenance of a host would interrupt,
// in which a long-running task counts for 11. A host whose draining has begun costs at
// most 1.
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

// drainAndMaintain drains a host for its maintenance and orders the maintenance once it
// interrupts no run, or may do so because the wave would be late. It reports whether the
// host counts as down from now on.
func (s *Scheduler) drainAndMaintain(now time.Time, v *wave, h *host) bool {
	if !s.isFree(now, h) {
		return false
	}
	w := s.workerOn(h)
	if w == nil {
		if h.Worker != "" {
			return false // its worker isn't registered yet
		}
		return s.maintain(now, v, h)
	}
	if s.isUnaccounted(w.ID) || (!w.contacted && w.unreachableSince.IsZero()) {
		return false // its runs aren't known yet
	}
	if _, ok := v.drainStartedAt[h.ID]; !ok {
		v.drainStartedAt[h.ID] = now
	}
	w.cordoned = true
	s.evacuate(now, w)
	if w.runs.len() > 0 && (!s.isUrgent(now, v) || !w.mayTakeDown(now)) {
		return true // a draining host counts towards MaxCount
	}
	return s.maintain(now, v, h)
}

// isUrgent reports whether the wave would be late if its hosts were drained first.
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
	// Hosts with long-running tasks may have to go one after the other.
	need := max(time.Duration(rounds)*(s.cfg.MaintenanceTime+drainTime), time.Duration(longRunning)*(s.cfg.MaintenanceTime+relocationTime))
	return now.Add(need).After(v.firstSeenAt.Add(v.Duration))
}

// hasLongRunning reports whether a long-running task runs on the worker.
func (w *worker) hasLongRunning() bool {
	for _, r := range w.runs.all() {
		if r.task.step.LongRunning {
			return true
		}
	}
	return false
}

// relocationTime is how long a long-running task takes until it is available on another
// worker.
const relocationTime = 2 * time.Second

// drainTime is how long tasks that end usually keep running on a host that gets no new
// ones: about two of the users' longer tasks.
const drainTime = 3 * time.Second

// evacuate stops the long-running tasks on a cordoned or draining worker, each when its
// step's disruption budget allows it and another worker has the capacity. They
// start elsewhere at once.
func (s *Scheduler) evacuate(now time.Time, w *worker) {
	if !w.unreachableSince.IsZero() {
		return // it answers no stop
	}
	for _, r := range w.runs.all() {
		if !r.task.step.LongRunning || r.phase != running || r.relocating {
			continue
		}
		mustLeave := w.Draining && now.Add(drainMargin).After(w.leavesAt)
		if !mustLeave && !mayInterrupt(now, r) {
			continue
		}
		if !s.fitsElsewhere(now, r) {
			s.addDataCentreFor(now, r)
			s.fullAt[w.Pool] = now
			continue
		}
		r.relocating = true
		s.logDecision("task relocated", r.task.job().ID, "Task", r.task.id().String(), "Run", r.number, "Worker", string(w.ID),
			"Away", r.task.step.unavailable(now, r.task), "MayMiss", r.task.step.MaxUnavailable)
		s.stopRun(now, r)
	}
}

// fitsElsewhere reports whether another worker can take the task of a run.
func (s *Scheduler) fitsElsewhere(now time.Time, r *run) bool {
	pool, ok := s.poolOf(r.task.job())
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

// maintain orders the maintenance of a host, or reserves the host for it first. It
// reports whether the host counts as down from now on.
func (s *Scheduler) maintain(now time.Time, v *wave, h *host) bool {
	if !s.isConfirmedForHosts(now) {
		return false
	}
	if !s.reserve(now, h, "") {
		return true // it counts towards MaxCount meanwhile
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
	s.logDecision("maintenance ordered", "", "Host", string(h.ID), "Wave", v.Number, "Token", token, "Runs", runs,
		"AfterMs", now.Sub(v.firstSeenAt).Milliseconds())
	h.order = hostOrder{kind: maintainOrder, wave: v.Number}
	delete(s.lapsedRuns, h.ID)
	s.emit(Maintain{Host: h.ID, Wave: v.Number, Token: token})
	return true
}

// reportWave reports to the operators when a wave has started and when maintenance has
// begun on all its hosts.
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
	s.logDecision("wave reported", "", "Wave", v.Number, "State", state)
	s.emit(ReportWave{Wave: v.Number, Completed: v.Completed})
}
