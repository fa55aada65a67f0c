// Package bound is the one table of regression bounds. A bound comes from a
// stated target, never from what was measured.
package bound

import (
	"fmt"
	"math"

	"github.com/godwitcross/godwitcross/bench/measure"
)

// Bound is the target of one figure.
type Bound struct {
	// Figure is the name of the figure.
	Figure string
	// Low and High bound the value, both included.
	Low, High float64
	// Source says where the target is stated, for example "brief, What must
	// always hold".
	Source string
}

// Better says which values are better: a bound from 0 is kept by lower ones, any
// other by higher ones.
func (b Bound) Better() measure.Direction {
	if b.Low <= 0 {
		return measure.Lower
	}
	return measure.Higher
}

// Range returns the bound as text.
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

// Verdict is a figure beside its bound.
type Verdict struct {
	measure.Figure
	Bound Bound
	OK    bool
}

// Check sets each figure that has a bound beside it.
func Check(figures []measure.Figure) []Verdict {
	byName := make(map[string]Bound, len(Table))
	for _, b := range Table {
		byName[b.Figure] = b
	}
	var out []Verdict
	for _, f := range figures {
		b, ok := byName[f.Name]
		if !ok {
			continue
		}
		out = append(out, Verdict{Figure: f, Bound: b, OK: f.Value >= b.Low && f.Value <= b.High})
	}
	return out
}
