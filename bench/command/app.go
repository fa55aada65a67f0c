// Package command implements the command line of bench.
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

// options holds the flags of the measurement commands.
type options struct {
	seed      uint64
	seconds   int
	output    string
	reportDir string
	knownRed  string
	// parallelism is the number of concurrent measurements, at least 1. Measurements
	// of processor time run alone.
	parallelism int
}

// policyParallelism is the number of concurrent policy measurements. They run in
// virtual time, so their figures don't depend on it.
const policyParallelism = 4

// New returns the root command.
func New() *cli.Command {
	return &cli.Command{
		Name:        "bench",
		Usage:       "measure decisions, load and capacity",
		Description: "Exit codes: 0 all figures within their bounds, 1 failed or outside a bound.",
		Commands: []*cli.Command{
			newGroup("policy", "measure decisions in virtual time, with reproducible figures", policyParallelism, policy.Measurements),
			newGroup("load", "measure requests over loopback sockets", 1, load.Measurements),
			newGroup("capacity", "measure the growth of state, messages, processor time and memory", 1, capacity.Measurements),
			newWhole(),
			newBounds(),
			newCompare(),
			newGate(),
		},
	}
}

func newGroup(name, usage string, parallelism int, all []measure.Measurement) *cli.Command {
	o := &options{parallelism: parallelism}
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: "[MEASUREMENT...]",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the random numbers", Value: 1, Destination: &o.seed},
			&cli.IntFlag{Name: "seconds", Usage: "length of measurements over sockets", Value: 10, Destination: &o.seconds},
			&cli.StringFlag{Name: "output", Usage: "table or json", Value: "table", Destination: &o.output},
			&cli.StringFlag{Name: "report", Usage: "directory for an HTML page with all figures and charts", Destination: &o.reportDir},
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
			return writeResults(cmd.Root().Writer, *o, d, charts, entries)
		},
	}
}

// measurementResult holds the figures and charts of one measurement.
type measurementResult struct {
	figures []measure.Figure
	charts  []measure.Chart
}

// run runs the named measurements, or all if none is named, with the parallelism of
// the options. It returns their figures and charts in the order of all.
func run(all []measure.Measurement, names []string, o options) ([]measure.Figure, []measure.Chart, error) {
	chosen, err := choose(all, names)
	if err != nil {
		return nil, nil, err
	}
	results := make([]measurementResult, len(chosen))
	var g errgroup.Group
	g.SetLimit(o.parallelism)
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

func runOne(m measure.Measurement, o options) (measurementResult, error) {
	var r measurementResult
	var err error
	r.figures, err = m.Run(measure.Options{
		Seed: o.seed, Duration: time.Duration(o.seconds) * time.Second,
		Progress: func(text string) { fmt.Fprintf(os.Stderr, "%s: %s\n", m.Name, text) },
		Chart:    func(c measure.Chart) { r.charts = append(r.charts, c) },
	})
	return r, err
}

// choose returns the named measurements, or all if none is named, in the order of all.
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
