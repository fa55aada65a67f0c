package report

import (
	"math"

	"github.com/godwitcross/godwitcross/bench/bound"
	"github.com/godwitcross/godwitcross/bench/measure"
)

// Change is what became of a figure between two runs.
type Change string

// The changes of figures.
const (
	Same   Change = "same"
	Better Change = "better"
	Worse  Change = "worse"
	// Other is a change of a figure for which neither direction is better.
	Other Change = "changed"
	New   Change = "new"
	Gone  Change = "gone"
)

// noise is the relative change below which a figure that depends on the machine
// counts as the same.
const noise = 0.05

// Row is one figure in two runs.
type Row struct {
	Name          string
	Unit          measure.Unit
	Before, After float64
	Change        Change
	// Bounded is true where the figure has a bound; OK then says whether After
	// is within it.
	Bounded bool
	Bound   bound.Bound
	OK      bool
}

// Relative returns the change as a share of the value before.
func (r Row) Relative() float64 {
	if r.Before == 0 {
		return 0
	}
	return (r.After - r.Before) / math.Abs(r.Before)
}

// Compare sets the figures of two runs beside each other, in the order of the
// second and with those that are gone at the end.
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
		was, had := old[f.Name]
		delete(old, f.Name)
		v, bounded := bounds[f.Name]
		r := Row{Name: f.Name, Unit: f.Unit, Before: was.Value, After: f.Value, Bounded: bounded, Bound: v.Bound, OK: v.OK, Change: New}
		if had {
			r.Change = change(was, f, direction(f, v.Bound, bounded))
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

// direction returns what the figure says of itself, or else its bound.
func direction(f measure.Figure, b bound.Bound, bounded bool) measure.Direction {
	if f.Better != "" || !bounded {
		return f.Better
	}
	return b.Better()
}

func change(before, after measure.Figure, better measure.Direction) Change {
	d := after.Value - before.Value
	least := 0.0
	if !after.Deterministic {
		least = noise * math.Abs(before.Value)
	}
	switch {
	case math.Abs(d) <= least:
		return Same
	case better == "":
		return Other
	case d < 0 == (better == measure.Lower):
		return Better
	}
	return Worse
}
