// Package bound holds the table of regression bounds for measured figures. Each
// bound comes from a stated target, never from a measured value.
package bound

import (
	"fmt"
	"math"

	"github.com/godwitcross/godwitcross/bench/measure"
)

// Bound is the range of values allowed for one figure.
type Bound struct {
	// Figure is the figure's name.
	Figure string
	// Low and High are the inclusive limits of the value.
	Low, High float64
	// Source names the document that states the target, for example "brief, What
	// must always hold".
	Source string
}

// Better returns the direction of improvement: lower values for a bound that
// starts at 0, higher values for any other.
func (b Bound) Better() measure.Direction {
	if b.Low <= 0 {
		return measure.Lower
	}
	return measure.Higher
}

// Range returns the bound as text, for example "at most 1.1".
func (b Bound) Range() string {
	switch {
	case b.Low == b.High:
		return fmt.Sprintf("%g", b.Low)
	case math.IsInf(b.High, 1) || b.High == math.MaxFloat64:
		return fmt.Sprintf("at least %g", b.Low)
	case b.Low <= 0:
		return fmt.Sprintf("at most %g", b.High)
	}
	return fmt.Sprintf("%g to %g", b.Low, b.High)
}

// Result is a figure with its bound. OK is true if the value is within the bound.
type Result struct {
	measure.Figure
	Bound Bound
	OK    bool
}

// Check compares each figure that has a bound with it. Figures without a bound are
// left out.
func Check(figures []measure.Figure) []Result {
	byName := make(map[string]Bound, len(Table))
	for _, b := range Table {
		byName[b.Figure] = b
	}
	var out []Result
	for _, f := range figures {
		b, ok := byName[f.Name]
		if !ok {
			continue
		}
		out = append(out, Result{Figure: f, Bound: b, OK: f.Value >= b.Low && f.Value <= b.High})
	}
	return out
}
