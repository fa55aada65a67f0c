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

// ErrBound is returned when a figure is past its bound, or is within it
// although it is listed as a known failure.
var ErrBound = eris.New("past the bound")

// finish prints the figures, writes the page, and judges by bounds and by the
// list of known failures.
func finish(w io.Writer, o options, d report.Document, charts []measure.Chart, entries []known.Entry) error {
	verdicts := bound.Check(d.Figures)
	j := known.Evaluate(entries, figureVerdicts(verdicts, d.Seed), false)
	notes := w
	if o.output == "json" {
		if err := d.Write(w); err != nil {
			return err
		}
		notes = io.Discard
	} else if err := writeTable(w, d.Figures, verdicts); err != nil {
		return err
	}
	if o.folder != "" {
		path, err := report.WritePage(o.folder, d, charts)
		if err != nil {
			return err
		}
		fmt.Fprintf(notes, "report  %s\n", path)
	}
	for _, e := range j.Known {
		fmt.Fprintf(notes, "KNOWN RED  %s\n", e)
	}
	return explain(j.Errors, verdicts)
}

func figureVerdicts(verdicts []bound.Result, seed uint64) []known.Result {
	var out []known.Result
	for _, v := range verdicts {
		out = append(out, known.Result{Kind: known.Figure, Name: v.Name, Seed: seed, OK: v.OK})
	}
	return out
}

// explain joins the errors with the bounds of the figures that they name.
func explain(errs []error, verdicts []bound.Result) error {
	if len(errs) == 0 {
		return nil
	}
	for _, v := range verdicts {
		if !v.OK {
			errs = append(errs, eris.Errorf("%s is %g and must be %s (%s)", v.Name, v.Value, v.Bound.Range(), v.Bound.Source))
		}
	}
	return eris.Wrapf(ErrBound, "%s", errors.Join(errs...))
}

func writeTable(w io.Writer, figures []measure.Figure, verdicts []bound.Result) error {
	bounds := make(map[string]string, len(verdicts))
	for _, v := range verdicts {
		within := "yes"
		if !v.OK {
			within = "NO"
		}
		bounds[v.Name] = v.Bound.Range() + "\t" + within
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "FIGURE\tVALUE\tUNIT\tBOUND\tWITHIN")
	for _, f := range figures {
		fmt.Fprintf(t, "%s\t%.6g\t%s\t%s\n", f.Name, f.Value, f.Unit, bounds[f.Name])
	}
	return t.Flush()
}
