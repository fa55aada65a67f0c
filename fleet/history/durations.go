// Package history keeps what recent tasks took, with a bounded memory, and derives from it how long
// other tasks will take. It reads no clock.
package history

import (
	"math"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// windowSize is the number of values after which the older half is dropped: a queue's quantiles
	// are those of its last 200 to 400 tasks.
	windowSize = 200
	// maxValue bounds the recorded values: 17 minutes in milliseconds, or a factor of 1000 in
	// thousandths. Larger ones count as that.
	maxValue = 1 << 20
	// digits is the precision of the values in decimal digits.
	digits = 2
	// refreshShare is the share of new values from which quantiles are computed again.
	refreshShare = 20
)

// quantiles keeps the distribution of the last values.
type quantiles struct {
	histogram *hdrhistogram.WindowedHistogram
	// current counts the values in the current window, fresh those since the last summary.
	current, fresh int
	// sum is the summary of the values as of the last refresh; version counts these.
	sum     summary
	version int64
}

// summary describes a distribution.
type summary struct {
	count  int64
	median float64
	// spread is the standard deviation of the logarithms, from the quartiles: rare values that are much
	// larger don't change it.
	spread float64
	// values are the distinct values in rising order. above and weight are the counts of values at
	// least as large, and the sums of these.
	values, above, weight []float64
}

func newQuantiles() *quantiles {
	return &quantiles{histogram: hdrhistogram.NewWindowed(2, 1, maxValue, digits)}
}

func (q *quantiles) add(v float64) {
	// An error is only possible for values out of range.
	_ = q.histogram.Current.RecordValue(int64(min(max(v, 1), maxValue)))
	q.fresh++
	if q.current++; q.current == windowSize {
		q.refresh()
		q.histogram.Rotate()
		q.current = 0
	}
}

// summary returns a summary that lacks at most 1 in refreshShare of the values.
func (q *quantiles) summary() *summary {
	if int64(q.fresh) > q.sum.count/refreshShare {
		q.refresh()
	}
	return &q.sum
}

func (q *quantiles) refresh() {
	q.fresh = 0
	q.version++
	merged := q.histogram.Merge()
	s := summary{count: merged.TotalCount(), median: float64(merged.ValueAtQuantile(50))}
	low, high := float64(merged.ValueAtQuantile(25)), float64(merged.ValueAtQuantile(75))
	if low > 0 {
		s.spread = math.Log(high/low) / 1.349
	}
	for _, b := range merged.Distribution() {
		if b.Count > 0 {
			s.values = append(s.values, float64(b.From+b.To)/2)
			s.above = append(s.above, float64(b.Count))
		}
	}
	s.weight = make([]float64, len(s.values))
	for i := len(s.values) - 1; i >= 0; i-- {
		s.weight[i] = s.values[i] * s.above[i]
		if i+1 < len(s.values) {
			s.weight[i] += s.weight[i+1]
			s.above[i] += s.above[i+1]
		}
	}
	q.sum = s
}

// mean returns the mean of all values.
func (s *summary) mean() float64 {
	if s.count == 0 {
		return 0
	}
	return s.weight[0] / s.above[0]
}

// excess returns by how much the values above v exceed it on average, and how many there are.
func (s *summary) excess(v float64) (mean, count float64) {
	i := sort.SearchFloat64s(s.values, v)
	if i < len(s.values) && s.values[i] <= v {
		i++
	}
	if i == len(s.values) {
		return 0, 0
	}
	return s.weight[i]/s.above[i] - v, s.above[i]
}

// Prior knowledge about the durations of a queue's tasks.
const (
	// priorCount is the number of tasks as much as which the prior knowledge counts.
	priorCount = 4
	// priorSpread and declaredSpread are the spreads of the durations of a queue's tasks and of the
	// errors of declared durations, as standard deviations of the logarithms. Declared durations are off
	// by up to a factor of 1.9.
	priorSpread, declaredSpread = 0.3, 0.37
	// minSpread is the least spread, since durations differ by a tenth at any rate.
	minSpread = 0.05
	// unit is the ratio 1 in the histograms of ratios.
	unit = 1000.0
)

// Durations holds what the tasks of a queue took. A nil Durations holds nothing.
type Durations struct {
	// took is in milliseconds. declared and expected are ratios to the declared and the expected
	// duration, in thousandths.
	took, declared, expected *quantiles
}

// NewDurations returns a Durations without tasks.
func NewDurations() *Durations {
	return &Durations{took: newQuantiles(), declared: newQuantiles(), expected: newQuantiles()}
}

// Observe records what a task took, besides what its caller declared and what was expected of it when
// it started. Either may be 0 if it isn't known.
func (d *Durations) Observe(took, declared, expected time.Duration) {
	d.took.add(float64(took.Milliseconds()))
	if declared > 0 {
		d.declared.add(unit * float64(took) / float64(declared))
	}
	if expected > 0 {
		d.expected.add(unit * float64(took) / float64(expected))
	}
}

// ObserveAtLeast records a task that was stopped at an age. It counts as one that took as much longer
// as others did at that age; without it, the long tasks that get a second attempt would be missing.
func (d *Durations) ObserveAtLeast(age, expected time.Duration) {
	if expected <= 0 {
		return
	}
	v := unit * float64(age) / float64(expected)
	excess, n := d.expected.summary().excess(v)
	if n < minLonger {
		excess = unit
	}
	d.expected.add(v + excess)
}

// Estimate returns how long a task usually takes. What tasks took and what their callers declare, less
// the usual error, count by how precise each is: tasks that are all alike by what others took, very
// different ones whose callers know them by what is declared. Rare long tasks change nothing.
func (d *Durations) Estimate(declared time.Duration) time.Duration {
	if d == nil {
		return declared
	}
	took, ratio := d.took.summary(), d.declared.summary()
	switch {
	case took.count == 0:
		return declared
	case declared <= 0:
		return time.Duration(took.median) * time.Millisecond
	}
	own := variance(took, priorSpread)
	weight := variance(ratio, declaredSpread)
	weight /= weight + own
	weight *= float64(took.count) / (float64(took.count) + 0.5)
	corrected := math.Log(float64(declared))
	if ratio.count > 0 {
		corrected += math.Log(max(ratio.median, 1)/unit) * float64(ratio.count) / float64(ratio.count+priorCount)
	}
	median := math.Log(max(took.median, 1) * float64(time.Millisecond))
	return time.Duration(math.Exp(weight*median + (1-weight)*corrected))
}

// Version changes whenever Estimate does.
func (d *Durations) Version() int64 {
	if d == nil {
		return 0
	}
	d.took.summary()
	d.declared.summary()
	return d.took.version + d.declared.version
}

// variance returns the variance of the logarithms of a distribution, with a prior spread.
func variance(s *summary, prior float64) float64 {
	n, spread := float64(s.count), max(s.spread, minSpread)
	return (priorCount*prior*prior + n*spread*spread) / (priorCount + n)
}

// MeanFactor returns by how much the mean duration exceeds the usual one: the work of many tasks
// includes that of rare long ones.
func (d *Durations) MeanFactor() float64 {
	if d == nil {
		return 1
	}
	s := d.expected.summary()
	n := float64(s.count)
	return min(max((10+n*s.mean()/unit)/(10+n), 1), maxMeanFactor)
}

// maxMeanFactor bounds MeanFactor, as few tasks don't tell it.
const maxMeanFactor = 2

// Remaining returns how much longer a task will take on average that was expected to take some time
// and has run for an age. It returns false if too few tasks took that long to tell.
func (d *Durations) Remaining(expected, age time.Duration) (time.Duration, bool) {
	if d == nil || expected <= 0 {
		return 0, false
	}
	excess, n := d.expected.summary().excess(unit * float64(age) / float64(expected))
	return time.Duration(excess / unit * float64(expected)), n >= minLonger
}

// minLonger is the number of longer tasks from which Remaining tells the remaining time.
const minLonger = 3
