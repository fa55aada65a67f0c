// Package forecast estimates the work that arrives for queues and the capacity that it will use. It
// recognises turns, in which the demand of a queue jumps to a multiple and falls back seconds later,
// and predicts those that recur with a regular period. It reads no clock.
package forecast

import (
	"math"
	"time"
)

const (
	// bucketTime is the resolution of the counts.
	bucketTime = 25 * time.Millisecond
	// buckets is the number of buckets kept. It limits the chain of steps that is taken into account
	// to history.
	buckets = 400
	history = buckets * bucketTime
	// rateWindow is the time over which arrivals are averaged while the demand is steady.
	rateWindow = time.Second
	// onsetWindow is the longest window in which the first jobs of a turn are recognised. In the median,
	// turns with 20 jobs a second are recognised within 300 ms, with 14 within 500 ms.
	onsetWindow = 2 * time.Second
	// baseWindow is the time before such a window from which the usual rate is taken.
	baseWindow = 7 * time.Second
	// minBaseWindow is the least time from which a rate is taken.
	minBaseWindow = time.Second
	// maxEndWindow is the longest time in which the end of a turn is recognised.
	maxEndWindow = 4 * time.Second
	// minOnsetJobs is the least number of jobs in the window that count as a turn. Of a queue with one
	// job in 5 s, five come within 300 ms by chance less than once a month.
	minOnsetJobs = 5
	// minExpectedJobs is the same when a turn is predicted to begin.
	minExpectedJobs = 3
	// endJobs is the number of jobs that would be expected in the time in which at most maxEndJobs came,
	// if the turn went on. The chance of that is 1 in 2,000.
	endJobs    = 10
	maxEndJobs = 1
	// resumeTime is the time after the end of a turn in which the demand must not rise again, or the
	// turn has not ended.
	resumeTime = time.Second
	// levelWeight is how long a time of the present turn counts as much as the level of the last turn.
	levelWeight = 500 * time.Millisecond
	// chainSmoothing is the weight of a new job in the mean chain of a queue's jobs.
	chainSmoothing = 0.05
)

// bucket counts the arrivals within bucketTime. Work is in thousandths of a core times seconds.
type bucket struct {
	jobs int
	work float64
}

// Arrivals measures the jobs that arrive for one queue, and recognises its turns.
type Arrivals struct {
	ring [buckets]bucket
	// last is the number of the current bucket, counted from the Unix epoch; first is that of the
	// first job, 0 before it.
	first, last int64
	// chain is the mean duration of the longest chain of a job's steps, in seconds.
	chain float64
	// inTurn is set from the recognition of a turn to that of its end. onset is the bucket of its
	// first job, and endedAt the bucket after its last one.
	inTurn         bool
	onset, endedAt int64
	// level is the work per second in the last turn that has ended, 0 before the first.
	level float64
}

func number(t time.Time) int64 { return t.UnixNano() / int64(bucketTime) }

func startOf(n int64) time.Time { return time.Unix(0, n*int64(bucketTime)) }

// advance moves the ring to now and returns the number of the current bucket.
func (a *Arrivals) advance(now time.Time) int64 {
	n := number(now)
	for i := max(a.last+1, n-buckets+1); i <= n; i++ {
		a.ring[i%buckets] = bucket{}
	}
	a.last = max(a.last, n)
	return a.last
}

// Add counts a job: its work in thousandths of a core times seconds, and the duration of its
// longest chain of steps.
func (a *Arrivals) Add(now time.Time, work float64, chain time.Duration) {
	n := a.advance(now)
	if a.first == 0 {
		a.first, a.chain = n, chain.Seconds()
	}
	b := &a.ring[n%buckets]
	b.jobs++
	b.work += work
	a.chain += chainSmoothing * (chain.Seconds() - a.chain)
}

// sum adds up the buckets from one to before another.
func (a *Arrivals) sum(from, to int64) (out bucket) {
	for i := max(from, a.last-buckets+1); i < min(to, a.last+1); i++ {
		out.jobs += a.ring[i%buckets].jobs
		out.work += a.ring[i%buckets].work
	}
	return out
}

// Advance recognises the beginning and the end of turns. It has to be called several times in
// onsetWindow. isExpected is set if a turn is predicted to begin about now. It reports whether a turn
// has begun.
func (a *Arrivals) Advance(now time.Time, isExpected bool) bool {
	n := a.advance(now)
	if a.inTurn {
		a.findEnd(n)
		return false
	}
	return a.findOnset(n, isExpected)
}

// findOnset recognises a turn: in the last onsetWindow or less came far more jobs than the rate
// before it lets expect. The test is that of a jump to several times the usual rate; a smaller rise
// is left to the average. Of the windows that pass, the turn began with the least likely one.
func (a *Arrivals) findOnset(n int64, isExpected bool) bool {
	least := minOnsetJobs
	if isExpected {
		least = minExpectedJobs
	}
	longest := int64(onsetWindow / bucketTime)
	base, jobs, best := a.baseJobs(n+1-longest), 0, 0.0
	begun := n
	for from := n; from > n-longest && from >= a.endedAt; from-- {
		came := a.sum(from, from+1).jobs
		jobs += came
		expected := base * (time.Duration(n+1-from) * bucketTime).Seconds()
		if came == 0 || float64(jobs) < 2*expected+3*math.Sqrt(expected)+float64(least)-1 || jobs < least {
			continue
		}
		if l := logLikelihood(float64(jobs), expected); l > best {
			best, begun = l, from
		}
	}
	if best == 0 {
		return false
	}
	a.inTurn = true
	if a.endedAt > 0 && begun-a.endedAt < int64(resumeTime/bucketTime) {
		return false
	}
	a.onset = begun
	return true
}

// logLikelihood returns the logarithm of how much likelier so many jobs are at the rate at which
// they came than at the expected rate.
func logLikelihood(jobs, expected float64) float64 {
	expected = max(expected, 0.01)
	return jobs*math.Log(jobs/expected) - (jobs - expected)
}

// baseJobs returns the jobs per second in baseWindow before a bucket, without those of the last
// turn. One more job is counted, since few jobs say little about the rate.
func (a *Arrivals) baseJobs(to int64) float64 {
	from := max(to-int64(baseWindow/bucketTime), a.first, a.endedAt)
	span := max(float64(to-from)*bucketTime.Seconds(), minBaseWindow.Seconds())
	return float64(a.sum(from, to).jobs+1) / span
}

// findEnd recognises the end of a turn by the jobs that don't come any more: in a time in which
// endJobs would come at the rate before it, at most maxEndJobs came.
func (a *Arrivals) findEnd(n int64) {
	since := 0
	for from := n; from > n-int64(maxEndWindow/bucketTime) && from > a.onset; from-- {
		since += a.sum(from, from+1).jobs
		if since > maxEndJobs {
			return
		}
		before := max(a.onset, from-2*int64(rateWindow/bucketTime))
		if float64(a.sum(before, from).jobs*int(n+1-from)) >= float64(endJobs*(from-before)) {
			a.endTurn(from)
			return
		}
	}
}

// endTurn records the end of a turn, in which the bucket at was the first without jobs.
func (a *Arrivals) endTurn(at int64) {
	a.inTurn, a.endedAt = false, at
	took := float64(at-a.onset) * bucketTime.Seconds()
	a.level = a.sum(a.onset, at).work / took
}

// Rate returns the work that arrives per second now, in thousandths of a core.
func (a *Arrivals) Rate(now time.Time) float64 {
	n := a.advance(now)
	window := int64(rateWindow / bucketTime)
	from := n + 1 - window
	switch {
	case a.inTurn && a.onset > from:
		elapsed := float64(n+1-a.onset) * bucketTime.Seconds()
		work, weight := a.sum(a.onset, n+1), 0.0
		if a.level > 0 {
			weight = levelWeight.Seconds()
		} else if work.jobs > 0 {
			// The first few jobs of a turn often come close together by chance.
			work.work *= 1 - 1/math.Sqrt(float64(work.jobs))
		}
		return (work.work + weight*a.level) / (elapsed + weight)
	case !a.inTurn && a.endedAt > from:
		from = a.endedAt
	}
	if span := n + 1 - from; span > 0 {
		return a.sum(from, n+1).work / (float64(span) * bucketTime.Seconds())
	}
	return 0
}

// Load returns the capacity that the queue's jobs will use after lead if the rate stays as it is, in
// thousandths of a core: each job uses its work evenly over its chain.
func (a *Arrivals) Load(now time.Time, lead time.Duration) float64 {
	rate := a.Rate(now)
	chain := min(a.chain, history.Seconds())
	ahead := lead.Seconds()
	if chain <= ahead {
		return rate
	}
	n := a.advance(now)
	known := a.sum(n+1-int64((chain-ahead)/bucketTime.Seconds()), n+1).work
	return (known + rate*ahead) / chain
}

// InTurn reports whether a turn was recognised that goes on.
func (a *Arrivals) InTurn() bool { return a.inTurn }
