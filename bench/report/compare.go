package report

import (
	"math"

	"github.com/godwitcross/godwitcross/bench/bound"
	"github.com/godwitcross/godwitcross/bench/measure"
)

// Change is the kind of change of a figure between two runs.
type Change string

// Kinds of changes.
const (
	Same   Change = "same"
	Better Change = "better"
	Worse  Change = "worse"
	// Other is a change of a figure without a direction of improvement.
	Other Change = "changed"
	New   Change = "new"
	Gone  Change = "gone"
)

// noiseThreshold is the relative change up to which a figure that depends on the
// machine counts as the same.
const noiseThreshold = 0.05

// Row compares one figure of two runs.
type Row struct {
	Name          string
	Unit          measure.Unit
	Before, After float64
	Change        Change
	// Bounded is true if the figure has a bound. OK is then true if After is within
	// it.
	Bounded bool
	Bound   bound.Bound
	OK      bool
}

// Relative returns the change relative to Before, or 0 if Before is 0.
func (r Row) Relative() float64 {
	if r.Before == 0 {
		return 0
	}
	return (r.After - r.Before) / math.Abs(r.Before)
}

// Compare compares the figures of two runs. The rows are in the order of the second
// run, followed by the figures that only the first run has.
func Compare(before, after Document) []Row {
	old := make(map[string]measure.Figure)
	for _, f := range before.Figures {
		old[f.Name] = f
	}
	bounds := make(map[string]bound.Result)
	for _, v := range bound.Check(after.Figures) {
		bounds[v.Name] = v
	}
	var rows []Row
	for _, f := range after.Figures {
		previous, existed := old[f.Name]
		delete(old, f.Name)
		v, bounded := bounds[f.Name]
		r := Row{Name: f.Name, Unit: f.Unit, Before: previous.Value, After: f.Value, Bounded: bounded, Bound: v.Bound, OK: v.OK, Change: New}
		if existed {
			r.Change = classify(previous, f, direction(f, v.Bound, bounded))
		}
		rows = append(rows, r)
	}
	for _, f := range before.Figures {
		if _, gone := old[f.Name]; gone {
			rows = append(rows, Row{Name: f.Name, Unit: f.Unit, Before: f.Value, Change: Gone})
		}
	}
	return rows
}

// direction returns the figure's own direction of improvement, or else that of its
// bound.
func direction(f measure.Figure, b bound.Bound, bounded bool) measure.Direction {
	if f.Better != "" || !bounded {
		return f.Better
	}
	return b.Better()
}

func classify(before, after measure.Figure, better measure.Direction) Change {
	difference := after.Value - before.Value
	threshold := 0.0
	if !after.Deterministic {
		threshold = noiseThreshold * math.Abs(before.Value)
	}
	switch {
	case math.Abs(difference) <= threshold:
		return Same
	case better == "":
		return Other
	case difference < 0 == (better == measure.Lower):
		return Better
	}
	return Worse
}
