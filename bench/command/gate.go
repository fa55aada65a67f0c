package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/godwitcross/godwitcross/bench/known"
)

// ErrGate is returned when an unlisted test failed, or a listed one passed or was not
// run.
var ErrGate = eris.New("the tests do not pass the gate")

func newGate() *cli.Command {
	var list string
	var partial bool
	return &cli.Command{
		Name: "gate", Usage: "check go test output, permitting only failures listed as known",
		Description: "Reads the output of go test -json. A listed test that passes fails the gate, as its entry must be removed.\n\n" +
			"Example: go test -json work | bench gate --known-red KNOWN-RED.txt",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "known-red", Usage: "list of known failures", Destination: &list},
			&cli.BoolFlag{Name: "partial", Usage: "the run covers only some tests, so listed ones may be missing", Destination: &partial},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			entries, err := known.Read(list)
			if err != nil {
				return err
			}
			tests, err := known.ReadTests(os.Stdin)
			if err != nil {
				return err
			}
			return writeGateReport(cmd.Root().Writer, entries, tests, !partial)
		},
	}
}

func writeGateReport(w io.Writer, entries []known.Entry, tests known.Tests, complete bool) error {
	evaluation := known.Evaluate(entries, tests.Results, complete)
	for _, e := range evaluation.Known {
		fmt.Fprintf(w, "KNOWN RED  %s\n", e)
	}
	for _, r := range tests.Results {
		if !r.OK {
			fmt.Fprintf(w, "--- output of %s\n%s\n", r.Name, tests.Output[r.Name])
		}
	}
	passed := 0
	for _, r := range tests.Results {
		if r.OK {
			passed++
		}
	}
	fmt.Fprintf(w, "%d tests in %d packages passed, %d are known red\n", passed, tests.Packages, len(evaluation.Known))
	if len(evaluation.Errors) > 0 {
		return eris.Wrapf(ErrGate, "%s", errors.Join(evaluation.Errors...))
	}
	return nil
}
