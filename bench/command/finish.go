package command

import (
	"errors"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/bench/bound"
	"github.com/godwitcross/godwitcross/bench/known"
	"github.com/godwitcross/godwitcross/bench/measure"
	"github.com/godwitcross/godwitcross/bench/report"
)

// ErrBound is returned when a figure is outside its bound, or within it although it
// is listed as a known failure.
var ErrBound = eris.New("past the bound")

// writeResults prints the figures, writes the report page if one is requested, and
// returns an error if a figure is outside its bound and not a known failure, or is a
// known failure but within its bound.
func writeResults(w io.Writer, o options, d report.Document, charts []measure.Chart, entries []known.Entry) error {
	results := bound.Check(d.Figures)
	evaluation := known.Evaluate(entries, figureResults(results, d.Seed), false)
	notes := w
	if o.output == "json" {
		if err := d.Write(w); err != nil {
			return err
		}
		notes = io.Discard
	} else if err := writeTable(w, d.Figures, results); err != nil {
		return err
	}
	if o.reportDir != "" {
		path, err := report.WritePage(o.reportDir, d, charts)
		if err != nil {
			return err
		}
		fmt.Fprintf(notes, "report  %s\n", path)
	}
	for _, e := range evaluation.Known {
		fmt.Fprintf(notes, "KNOWN RED  %s\n", e)
	}
	return boundError(evaluation.Errors, results)
}

func figureResults(results []bound.Result, seed uint64) []known.Result {
	var out []known.Result
	for _, r := range results {
		out = append(out, known.Result{Kind: known.Figure, Name: r.Name, Seed: seed, OK: r.OK})
	}
	return out
}

// boundError joins the errors with one error for each figure outside its bound. It
// returns nil if there are no errors.
func boundError(errs []error, results []bound.Result) error {
	if len(errs) == 0 {
		return nil
	}
	for _, r := range results {
		if !r.OK {
			errs = append(errs, eris.Errorf("%s is %g and must be %s (%s)", r.Name, r.Value, r.Bound.Range(), r.Bound.Source))
		}
	}
	return eris.Wrapf(ErrBound, "%s", errors.Join(errs...))
}

func writeTable(w io.Writer, figures []measure.Figure, results []bound.Result) error {
	bounds := make(map[string]string, len(results))
	for _, r := range results {
		within := "yes"
		if !r.OK {
			within = "NO"
		}
		bounds[r.Name] = r.Bound.Range() + "\t" + within
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "FIGURE\tVALUE\tUNIT\tBOUND\tWITHIN")
	for _, f := range figures {
		fmt.Fprintf(t, "%s\t%.6g\t%s\t%s\n", f.Name, f.Value, f.Unit, bounds[f.Name])
	}
	return t.Flush()
}
