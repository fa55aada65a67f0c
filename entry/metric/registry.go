// Package metric holds the counters, gauges and histograms of an entry host and
// exports them as text and as JSON.
package metric

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

// Size and decay factor of the sample that each histogram keeps.
const (
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

// Label is one dimension of a metric.
type Label struct {
	Name, Value string
}

// Registry is a set of metrics by name and labels. It is safe for concurrent use.
type Registry struct {
	metrics metrics.Registry
	bound   boundValues
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{metrics: metrics.NewRegistry()}
}

// metricKey returns the name with its labels in the text format of scrapers.
func metricKey(name string, labels []Label) string {
	if len(labels) == 0 {
		return name
	}
	b := append(make([]byte, 0, 96), name...)
	for i, l := range labels {
		b = append(b, "{,"[min(i, 1)])
		b = append(append(b, l.Name...), '=')
		b = strconv.AppendQuote(b, l.Value)
	}
	return string(append(b, '}'))
}

// Count adds n to a counter.
func (r *Registry) Count(name string, n int64, labels ...Label) {
	r.metrics.GetOrRegister(metricKey(name, labels), metrics.NewCounter).(metrics.Counter).Inc(n)
}

// Gauge sets a gauge.
func (r *Registry) Gauge(name string, v int64, labels ...Label) {
	r.metrics.GetOrRegister(metricKey(name, labels), metrics.NewGauge).(metrics.Gauge).Update(v)
}

// Observe adds a duration to a histogram of microseconds.
func (r *Registry) Observe(name string, d time.Duration, labels ...Label) {
	h := r.metrics.GetOrRegister(metricKey(name, labels), newHistogram).(metrics.Histogram)
	h.Update(d.Microseconds())
}

// Histogram is a histogram of durations in microseconds.
type Histogram struct {
	h metrics.Histogram
}

// Observe adds a duration.
func (h Histogram) Observe(d time.Duration) {
	h.h.Update(d.Microseconds())
}

// Histogram returns the histogram of the name and labels.
func (r *Registry) Histogram(name string, labels ...Label) Histogram {
	return Histogram{r.metrics.GetOrRegister(metricKey(name, labels), newHistogram).(metrics.Histogram)}
}

// Counter is a counter of events.
type Counter struct {
	c metrics.Counter
}

// Add adds n to the counter.
func (c Counter) Add(n int64) {
	c.c.Inc(n)
}

// Counter returns the counter of the name and labels.
func (r *Registry) Counter(name string, labels ...Label) Counter {
	return Counter{r.metrics.GetOrRegister(metricKey(name, labels), metrics.NewCounter).(metrics.Counter)}
}

func newHistogram() metrics.Histogram {
	return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
}

// Point is the value of one metric at a point in time.
type Point struct {
	Name  string
	Value int64
	// Quantiles are set for histograms, in microseconds.
	Quantiles *Quantiles `json:",omitempty"`
}

// Quantiles are quantiles of a histogram, in microseconds.
type Quantiles struct {
	P50, P99, P999, Max float64
}

// Points returns all metrics sorted by name.
func (r *Registry) Points() []Point {
	var points []Point
	r.metrics.Each(func(name string, m any) {
		points = append(points, newPoint(name, m))
	})
	slices.SortFunc(points, func(a, b Point) int { return cmp.Compare(a.Name, b.Name) })
	return points
}

func newPoint(name string, m any) Point {
	switch m := m.(type) {
	case metrics.Counter:
		return Point{Name: name, Value: m.Count()}
	case metrics.Gauge:
		return Point{Name: name, Value: m.Value()}
	case metrics.Histogram:
		s := m.Snapshot()
		q := s.Percentiles([]float64{0.5, 0.99, 0.999})
		return Point{Name: name, Value: s.Count(), Quantiles: &Quantiles{P50: q[0], P99: q[1], P999: q[2], Max: float64(s.Max())}}
	}
	return Point{Name: name}
}

// WriteText writes all metrics in the text format of scrapers.
func (r *Registry) WriteText(w io.Writer) error {
	for _, p := range r.Points() {
		if err := writePoint(w, p); err != nil {
			return err
		}
	}
	return nil
}

func writePoint(w io.Writer, p Point) error {
	if p.Quantiles == nil {
		_, err := fmt.Fprintf(w, "%s %d\n", p.Name, p.Value)
		return err
	}
	name, labels, _ := strings.Cut(strings.TrimSuffix(p.Name, "}"), "{")
	if labels != "" {
		labels += ","
	}
	for _, q := range []struct {
		name  string
		value float64
	}{{"0.5", p.Quantiles.P50}, {"0.99", p.Quantiles.P99}, {"0.999", p.Quantiles.P999}, {"1", p.Quantiles.Max}} {
		if _, err := fmt.Fprintf(w, "%s{%squantile=%q} %g\n", name, labels, q.name, q.value); err != nil {
			return err
		}
	}
	suffix := ""
	if labels != "" {
		suffix = "{" + strings.TrimSuffix(labels, ",") + "}"
	}
	_, err := fmt.Fprintf(w, "%s_count%s %d\n", name, suffix, p.Value)
	return err
}
