// Package command is the command line of the measurements.
package command

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

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
	// sideBySide is how many measurements run at once; at least 1. Those that
	// measure processor time run alone.
	sideBySide int
}

// policySideBySide is how many measurements of decisions run at once. Their
// verdicts are in virtual time and don't depend on it.
const policySideBySide = 4

// New returns the command line.
func New() *cli.Command {
	return &cli.Command{
		Name:        "bench",
		Usage:       "measure decisions, load and capacity",
		Description: "Exit codes: 0 all figures within their bounds, 1 failed or past a bound.",
		Commands: []*cli.Command{
			newGroup("policy", "decisions in virtual time, the same figures every time", policySideBySide, policy.Measurements),
			newGroup("load", "requests over loopback sockets", 1, load.Measurements),
			newGroup("capacity", "growth of state, messages, processor time and memory", 1, capacity.Measurements),
			newWhole(),
			newBounds(),
			newCompare(),
			newGate(),
		},
	}
}

func newGroup(name, usage string, sideBySide int, all []measure.Measurement) *cli.Command {
	o := &options{sideBySide: sideBySide}
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

// result is what one measurement returned.
type result struct {
	figures []measure.Figure
	charts  []measure.Chart
}

// run runs the named measurements, or all, some of them side by side, and returns
// what they measured in their order.
func run(all []measure.Measurement, names []string, o options) ([]measure.Figure, []measure.Chart, error) {
	chosen, err := choose(all, names)
	if err != nil {
		return nil, nil, err
	}
	results := make([]result, len(chosen))
	var g errgroup.Group
	g.SetLimit(o.sideBySide)
	for i, m := range chosen {
		g.Go(func() error {
			var err error
			results[i], err = runOne(m, o)
			return eris.Wrapf(err, "measuring %s", m.Name)
		})
	}
	if err := g.Wait(); err != nil {
		return nil, nil, err
	}
	var figures []measure.Figure
	var charts []measure.Chart
	for _, r := range results {
		figures = append(figures, r.figures...)
		charts = append(charts, r.charts...)
	}
	return figures, charts, nil
}

func runOne(m measure.Measurement, o options) (result, error) {
	var r result
	var err error
	r.figures, err = m.Run(measure.Options{
		Seed: o.seed, Duration: time.Duration(o.seconds) * time.Second,
		Progress: func(text string) { fmt.Fprintf(os.Stderr, "%s: %s\n", m.Name, text) },
		Chart:    func(c measure.Chart) { r.charts = append(r.charts, c) },
	})
	return r, err
}

// choose returns the named measurements, or all, in their order.
func choose(all []measure.Measurement, names []string) ([]measure.Measurement, error) {
	var chosen []measure.Measurement
	wanted := make(map[string]bool)
	for _, n := range names {
		wanted[n] = true
	}
	for _, m := range all {
		if len(names) == 0 || wanted[m.Name] {
			chosen = append(chosen, m)
		}
		delete(wanted, m.Name)
	}
	for n := range wanted {
		return nil, eris.Errorf("there is no measurement %q", n)
	}
	return chosen, nil
}
