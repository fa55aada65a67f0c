package command

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/godwitcross/godwitcross/bench/bound"
	"github.com/godwitcross/godwitcross/bench/capacity"
	"github.com/godwitcross/godwitcross/bench/load"
	"github.com/godwitcross/godwitcross/bench/measure"
	"github.com/godwitcross/godwitcross/bench/policy"
	"github.com/godwitcross/godwitcross/bench/report"
)

// ErrArguments is returned for a wrong number of arguments.
var ErrArguments = eris.New("wrong arguments")

func newCompare() *cli.Command {
	return &cli.Command{
		Name: "compare", Usage: "compare the figures of two runs", ArgsUsage: "BEFORE.json AFTER.json",
		Description: "The files are the output of policy, load or capacity with --output json. A figure that depends on the machine\n" +
			"counts as the same within 5%. The command fails if a figure of AFTER is outside its bound.\n\n" +
			"Example: bench compare before.json after.json",
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 2 {
				return eris.Wrap(ErrArguments, "want BEFORE.json and AFTER.json")
			}
			before, err := report.Read(cmd.Args().Get(0))
			if err != nil {
				return err
			}
			after, err := report.Read(cmd.Args().Get(1))
			if err != nil {
				return err
			}
			if before.Group != after.Group || before.Seed != after.Seed {
				return eris.Wrapf(ErrArguments, "%s with seed %d can't be compared with %s with seed %d", before.Group, before.Seed, after.Group, after.Seed)
			}
			return writeComparison(cmd.Root().Writer, report.Compare(before, after))
		},
	}
}

func writeComparison(w io.Writer, rows []report.Row) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "FIGURE\tBEFORE\tAFTER\tUNIT\tCHANGE\tBY\tBOUND")
	var past []string
	for _, r := range rows {
		limit := ""
		if r.Bounded {
			limit = r.Bound.Range()
		}
		if r.Bounded && !r.OK {
			limit += " PAST"
			past = append(past, r.Name)
		}
		fmt.Fprintf(t, "%s\t%.6g\t%.6g\t%s\t%s\t%+.1f%%\t%s\n", r.Name, r.Before, r.After, r.Unit, r.Change, 100*r.Relative(), limit)
	}
	if err := t.Flush(); err != nil {
		return eris.Wrap(err, "writing the comparison")
	}
	if len(past) > 0 {
		return eris.Wrapf(ErrBound, "%s", strings.Join(past, ", "))
	}
	return nil
}

// groups returns the measurements by the name of their command.
func groups() map[string][]measure.Measurement {
	return map[string][]measure.Measurement{"policy": policy.Measurements, "load": load.Measurements, "capacity": capacity.Measurements}
}

func newBounds() *cli.Command {
	return &cli.Command{
		Name: "bounds", Usage: "print the table of bounds",
		Description: "Example: bench bounds",
		Action: func(_ context.Context, cmd *cli.Command) error {
			t := tabwriter.NewWriter(cmd.Root().Writer, 0, 4, 2, ' ', 0)
			fmt.Fprintln(t, "FIGURE\tBOUND\tTARGET AND SOURCE\tCOMMAND")
			for _, b := range bound.Table {
				fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", b.Figure, b.Range(), b.Source, commandOf(b.Figure))
			}
			return t.Flush()
		},
	}
}

// commandOf returns the command that measures the figure.
func commandOf(figure string) string {
	measurement, _, _ := strings.Cut(figure, ".")
	for group, all := range groups() {
		for _, m := range all {
			if m.Name == measurement {
				return "go run ./bench " + group + " " + measurement
			}
		}
	}
	return "no measurement"
}
