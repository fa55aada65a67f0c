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

// ErrGate is returned when a test failed that is not listed, or a listed one
// did not fail.
var ErrGate = eris.New("the tests do not pass the gate")

func newGate() *cli.Command {
	var list string
	var partial bool
	return &cli.Command{
		Name: "gate", Usage: "pass go test's failures that are listed as known, and only those",
		Description: "Reads the output of go test -json. A listed test that passes fails the gate, since its entry must go.\n\n" +
			"Example: go test -json work | bench gate --known-red KNOWN-RED.txt",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "known-red", Usage: "list of known failures", Destination: &list},
			&cli.BoolFlag{Name: "partial", Usage: "not all tests were run, so listed ones may be missing", Destination: &partial},
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
			return gate(cmd.Root().Writer, entries, tests, !partial)
		},
	}
}

func gate(w io.Writer, entries []known.Entry, tests known.Tests, complete bool) error {
	j := known.Evaluate(entries, tests.Results, complete)
	for _, e := range j.Known {
		fmt.Fprintf(w, "KNOWN RED  %s\n", e)
	}
	for _, v := range tests.Results {
		if !v.OK {
			fmt.Fprintf(w, "--- output of %s\n%s\n", v.Name, tests.Output[v.Name])
		}
	}
	passed := 0
	for _, v := range tests.Results {
		if v.OK {
			passed++
		}
	}
	fmt.Fprintf(w, "%d tests in %d packages passed, %d are known red\n", passed, tests.Packages, len(j.Known))
	if len(j.Errors) > 0 {
		return eris.Wrapf(ErrGate, "%s", errors.Join(j.Errors...))
	}
	return nil
}
