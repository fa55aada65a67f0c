package placement

import (
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// Bounds of learning.
const (
	// sampleSize is how many attempts a template remembers.
	sampleSize = 40
	// minSamples is how many attempts must have ended before the learned size
	// replaces the declared one.
	minSamples = 8
	// maxTemplates bounds the templates that are remembered; a further one uses
	// declared sizes.
	maxTemplates = 4096
)

// sizeQuantile is the share of a template's attempts that the reserved size holds.
const sizeQuantile inventory.PartsPerMillion = 950_000

// Observation is what one attempt really used.
type Observation struct {
	Used    inventory.Size
	RunTime time.Duration
}

// Template is what is learned about the jobs of one template.
type Template struct {
	// Sample holds the last sampleSize observations; Next is the place of the
	// oldest one once it is full.
	Sample []Observation
	Next   int
}

// add remembers an observation and forgets the oldest when full.
func (t *Template) add(o Observation) {
	if len(t.Sample) < sampleSize {
		t.Sample = append(t.Sample, o)
		return
	}
	t.Sample[t.Next] = o
	t.Next = (t.Next + 1) % sampleSize
}

// Size returns the size that holds most attempts, and false while too few are
// known.
func (t *Template) Size() (inventory.Size, bool) {
	if t == nil || len(t.Sample) < minSamples {
		return inventory.Size{}, false
	}
	return inventory.Size{
		Cores:        quantile(t.Sample, func(o Observation) inventory.Cores { return o.Used.Cores }),
		Memory:       quantile(t.Sample, func(o Observation) inventory.Bytes { return o.Used.Memory }),
		Accelerators: quantile(t.Sample, func(o Observation) inventory.Accelerators { return o.Used.Accelerators }),
	}, true
}

// RunTime returns the run time that most attempts stay under, and false while
// too few are known.
func (t *Template) RunTime() (time.Duration, bool) {
	if t == nil || len(t.Sample) < minSamples {
		return 0, false
	}
	return quantile(t.Sample, func(o Observation) time.Duration { return o.RunTime }), true
}

// quantile returns the value that sizeQuantile of the observations stay at or under.
func quantile[T ~int | ~int64](sample []Observation, value func(Observation) T) T {
	values := make([]T, len(sample))
	for i, o := range sample {
		values[i] = value(o)
	}
	slices.Sort(values)
	last := int64(len(values) - 1)
	// Rounded up, so that a small sample yields its largest value.
	i := (last*int64(sizeQuantile) + int64(inventory.Whole) - 1) / int64(inventory.Whole)
	return values[i]
}
