package scheduling

import (
	"time"

	"github.com/godwitcross/godwitcross/fleet/job"
	"github.com/godwitcross/godwitcross/fleet/quota"
)

// countArrival adds the work of a new job to the demand of its queue.
func (s *Scheduler) countArrival(now time.Time, js *jobState) {
	if js.Times > 0 {
		return
	}
	d := s.taskDurations[js.Queue]
	work, longest := 0.0, time.Duration(0)
	chains := make([]time.Duration, len(js.Steps))
	for i, st := range js.Steps {
		for _, a := range st.After {
			chains[i] = max(chains[i], chains[a])
		}
		if st.LongRunning || st.Backfill || !s.fitsSomeHost(st) || s.account(js).Decide(job.Resources{}, st.Resources, 1) == quota.Full {
			continue
		}
		duration := d.Estimate(st.Estimate)
		chains[i] += duration
		longest = max(longest, chains[i])
		work += float64(int64(st.Count)*st.Resources.CPU) * duration.Seconds()
	}
	if work > 0 {
		s.demand.Add(now, js.Queue, work*d.MeanFactor(), longest)
	}
}

// arrivingLoads returns the capacity that arriving jobs will use in each pool when a host that is
// ordered now has joined it, in thousandths of a core.
func (s *Scheduler) arrivingLoads(now time.Time) map[string]int64 {
	loads := make(map[string]int64)
	for _, name := range s.demand.Queues() {
		if q, ok := s.knownQueue(name); ok {
			loads[q.Pool] += int64(s.demand.Load(now, name, s.joinDelay()))
		}
	}
	return loads
}

// joinTime is how long after its move a host takes part in the work of its pool.
const joinTime = 200 * time.Millisecond

// joinDelay returns how long after its order a host takes part in the work of its new pool.
func (s *Scheduler) joinDelay() time.Duration {
	return s.cfg.MoveTime + joinTime
}
