package placement

import (
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// Bounds of learned sizes.
const (
	// sampleSize is the number of attempts kept in a template's sample.
	sampleSize = 40
	// minSamples is the number of observations from which the learned size replaces the
	// declared one.
	minSamples = 8
	// maxTemplates bounds the templates with a sample; jobs of further templates use their
	// declared sizes.
	maxTemplates = 4096
)

// sizeQuantile is the share of a template's attempts that fit into the learned size.
const sizeQuantile inventory.PartsPerMillion = 950_000

// Observation is the actual usage of one attempt.
type Observation struct {
	Used    inventory.Size
	RunTime time.Duration
}

// Template holds the observations of the jobs of one template.
type Template struct {
	// Sample is a ring buffer of the last sampleSize observations. Once it is full, Next
	// is the index of the oldest one.
	Sample []Observation
	Next   int
}

// add adds an observation and overwrites the oldest one if the sample is full.
func (t *Template) add(o Observation) {
	if len(t.Sample) < sampleSize {
		t.Sample = append(t.Sample, o)
		return
	}
	t.Sample[t.Next] = o
	t.Next = (t.Next + 1) % sampleSize
}

// Size returns the sizeQuantile of the used sizes, and false while there are fewer than
// minSamples observations.
func (t *Template) Size() (inventory.Size, bool) {
	if t == nil || len(t.Sample) < minSamples {
		return inventory.Size{}, false
	}
	return inventory.Size{
		Cores:        quantile(t.Sample, func(o Observation) inventory.Millicores { return o.Used.Cores }),
		Memory:       quantile(t.Sample, func(o Observation) inventory.Bytes { return o.Used.Memory }),
		Accelerators: quantile(t.Sample, func(o Observation) inventory.Accelerators { return o.Used.Accelerators }),
	}, true
}

// RunTime returns the sizeQuantile of the run times, and false while there are fewer
// than minSamples observations.
func (t *Template) RunTime() (time.Duration, bool) {
	if t == nil || len(t.Sample) < minSamples {
		return 0, false
	}
	return quantile(t.Sample, func(o Observation) time.Duration { return o.RunTime }), true
}

// quantile returns the value that sizeQuantile of the observations do not exceed.
func quantile[T ~int | ~int64](sample []Observation, value func(Observation) T) T {
	values := make([]T, len(sample))
	for i, o := range sample {
		values[i] = value(o)
	}
	slices.Sort(values)
	last := int64(len(values) - 1)
	// The index is rounded up, so that a small sample yields its largest value.
	i := (last*int64(sizeQuantile) + int64(inventory.PartsPerWhole) - 1) / int64(inventory.PartsPerWhole)
	return values[i]
}
