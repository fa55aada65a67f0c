package scheduling

import "time"

const (
	// rateWindow is over how long arrivals are counted: short against a peak of some
	// seconds, long enough that some ten jobs come in it.
	rateWindow = time.Second
	// rateBuckets divide the window.
	rateBuckets = 10
)

// rate counts the work that arrives, in thousandths of a core: what has to run at
// once, on average, so that as much ends as comes.
type rate struct {
	buckets [rateBuckets]float64
	// lastBucket is the bucket that is filled now, counted since the zero time.
	lastBucket int64
}

// advance moves the window on.
func (r *rate) advance(now time.Time) int64 {
	n := now.UnixNano() / int64(rateWindow/rateBuckets)
	for i := max(r.lastBucket+1, n-rateBuckets+1); i <= n; i++ {
		r.buckets[i%rateBuckets] = 0
	}
	r.lastBucket = max(r.lastBucket, n)
	return n
}

// add counts work of so many thousandths of a core for a time.
func (r *rate) add(now time.Time, cpu int64, duration time.Duration) {
	r.buckets[r.advance(now)%rateBuckets] += float64(cpu) * duration.Seconds()
}

// value returns the rate over the window.
func (r *rate) value(now time.Time) int64 {
	r.advance(now)
	sum := 0.0
	for _, b := range r.buckets {
		sum += b
	}
	return int64(sum / rateWindow.Seconds())
}

// countArrival counts the work of a new job for its pool.
func (s *Scheduler) countArrival(now time.Time, js *jobState) {
	pool, ok := s.poolOf(js)
	if !ok || js.Times > 0 {
		return
	}
	r := s.arrivals[pool]
	if r == nil {
		r = &rate{}
		s.arrivals[pool] = r
	}
	for _, st := range js.Steps {
		if !st.LongRunning && !st.Fills && s.fitsSomeHost(st) {
			r.add(now, int64(st.Count)*st.Room.CPU, s.taskDurations[js.Queue].estimate(st.Estimate))
		}
	}
}

// arrivalRate returns the rate of work that arrives for a pool.
func (s *Scheduler) arrivalRate(now time.Time, pool string) int64 {
	if r := s.arrivals[pool]; r != nil {
		return r.value(now)
	}
	return 0
}
