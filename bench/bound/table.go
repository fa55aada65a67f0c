// Package bound is the one table of regression bounds. A bound comes from a
// stated target, never from what was measured.
package bound

import "github.com/godwitcross/godwitcross/bench/measure"

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
