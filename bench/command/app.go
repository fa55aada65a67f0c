// Package command is the command line of the measurements.
package command

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/godwitcross/godwitcross/bench/capacity"
	"github.com/godwitcross/godwitcross/bench/known"
	"github.com/godwitcross/godwitcross/bench/load"
	"github.com/godwitcross/godwitcross/bench/measure"
	"github.com/godwitcross/godwitcross/bench/policy"
	"github.com/godwitcross/godwitcross/bench/report"
)

// options are the flags of all measurements.
type options struct {
	seed     uint64
	seconds  int
	output   string
	folder   string
	knownRed string
}

// New returns the command line.
func New() *cli.Command {
	return &cli.Command{
		Name:        "bench",
		Usage:       "measure decisions, load and capacity",
		Description: "Exit codes: 0 all figures within their bounds, 1 failed or past a bound.",
		Commands: []*cli.Command{
			newGroup("policy", "decisions in virtual time, the same figures every time", policy.Measurements),
			newGroup("load", "requests over loopback sockets", load.Measurements),
			newGroup("capacity", "growth of state, messages, processor time and memory", capacity.Measurements),
			newWhole(),
			newBounds(),
			newCompare(),
			newGate(),
		},
	}
}

func newGroup(name, usage string, all []measure.Measurement) *cli.Command {
	o := &options{}
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: "[MEASUREMENT...]",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the random numbers", Value: 1, Destination: &o.seed},
			&cli.IntFlag{Name: "seconds", Usage: "length of measurements over sockets", Value: 10, Destination: &o.seconds},
			&cli.StringFlag{Name: "output", Usage: "table or json", Value: "table", Destination: &o.output},
			&cli.StringFlag{Name: "report", Usage: "folder for one page with all figures and pictures", Destination: &o.folder},
			&cli.StringFlag{Name: "known-red", Usage: "list of known failures, which are printed and pass", Destination: &o.knownRed},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			entries, err := known.Read(o.knownRed)
			if err != nil {
				return err
			}
			figures, charts, err := run(all, cmd.Args().Slice(), *o)
			if err != nil {
				return err
			}
			d := report.Document{Group: name, Seed: o.seed, Seconds: o.seconds, Figures: figures}
			return finish(cmd.Root().Writer, *o, d, charts, entries)
		},
	}
}

func run(all []measure.Measurement, names []string, o options) ([]measure.Figure, []measure.Chart, error) {
	wanted := make(map[string]bool)
	for _, n := range names {
		wanted[n] = true
	}
	var figures []measure.Figure
	var charts []measure.Chart
	for _, m := range all {
		if len(names) > 0 && !wanted[m.Name] {
			continue
		}
		delete(wanted, m.Name)
		progress := func(text string) { fmt.Fprintf(os.Stderr, "%s: %s\n", m.Name, text) }
		f, err := m.Run(measure.Options{
			Seed: o.seed, Duration: time.Duration(o.seconds) * time.Second, Progress: progress,
			Chart: func(c measure.Chart) { charts = append(charts, c) },
		})
		if err != nil {
			return nil, nil, eris.Wrapf(err, "measuring %s", m.Name)
		}
		figures = append(figures, f...)
	}
	for n := range wanted {
		return nil, nil, eris.Errorf("there is no measurement %q", n)
	}
	return figures, charts, nil
}
