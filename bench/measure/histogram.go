package measure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of histograms.
const (
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

// Histogram counts durations from 1 µs to 1 h with three significant digits.
// Use NewHistogram, as the zero value is not usable.
type Histogram struct {
	h *hdrhistogram.Histogram
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{h: hdrhistogram.New(1, histogramMax, histogramDigits)}
}

// Record counts a duration. A duration outside the range counts as the nearest limit.
func (h *Histogram) Record(d time.Duration) {
	_ = h.h.RecordValue(min(max(d.Microseconds(), 1), histogramMax))
}

// Merge adds the counts of the other histogram.
func (h *Histogram) Merge(other *Histogram) {
	h.h.Merge(other.h)
}

// Count returns the number of recorded durations.
func (h *Histogram) Count() int64 {
	return h.h.TotalCount()
}

// Quantile returns the duration at quantile q, which is from 0 to 1. It returns 0 for
// an empty histogram.
func (h *Histogram) Quantile(q float64) time.Duration {
	return time.Duration(h.h.ValueAtQuantile(100*q)) * time.Microsecond
}

// Figures returns the median, p99, p99.9 and maximum in milliseconds, as figures named
// with the suffixes _p50, _p99, _p999 and _max.
func (h *Histogram) Figures(name string, deterministic bool) []Figure {
	var out []Figure
	for _, quantile := range []struct {
		suffix string
		q      float64
	}{{"_p50", 0.5}, {"_p99", 0.99}, {"_p999", 0.999}, {"_max", 1}} {
		out = append(out, Figure{
			Name: name + quantile.suffix, Value: milliseconds(h.Quantile(quantile.q)), Unit: Milliseconds,
			Deterministic: deterministic, Better: Lower,
		})
	}
	return out
}

// Line returns the histogram as a chart line. X is the number of nines of the quantile
// (1 is 90%, 2 is 99%), Y the duration in milliseconds.
func (h *Histogram) Line(name string) Line {
	l := Line{Name: name}
	for i := range 13 {
		nines := float64(i) / 4
		l.Points = append(l.Points, Point{X: nines, Y: milliseconds(h.Quantile(quantileFromNines(nines)))})
	}
	return l
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
