package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/godwitcross/godwitcross/bench/measure"
	"github.com/godwitcross/godwitcross/bench/whole"
)

func newWhole() *cli.Command {
	var seed uint64
	var seconds int
	var verbose bool
	return &cli.Command{
		Name: "whole", Usage: "check the whole product under faults over loopback sockets",
		Description: "Nine entry hosts in three data centres serve bursts while a wave runs, the log is unreachable, a data\n" +
			"centre is cut off and entry hosts are replaced. The result depends on counts, never on speed.\n\n" +
			"Example: bench whole --seconds 30",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the random numbers", Value: 1, Destination: &seed},
			&cli.IntFlag{Name: "seconds", Usage: "length of the load, from 10 to 40", Value: 25, Destination: &seconds},
			&cli.BoolFlag{Name: "verbose", Usage: "show the log lines of the entry hosts", Destination: &verbose},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if seconds < 10 || seconds > 40 {
				return eris.Errorf("--seconds %d must be from 10 to 40", seconds)
			}
			log := logrus.New()
			log.SetFormatter(&logrus.JSONFormatter{})
			if !verbose {
				log.SetOutput(io.Discard)
			}
			began := time.Now()
			progress := func(text string) {
				fmt.Fprintf(os.Stderr, "%6.1fs %s\n", time.Since(began).Seconds(), text)
			}
			r, err := whole.Check(log, measure.Options{Seed: seed, Duration: time.Duration(seconds) * time.Second, Progress: progress})
			if err != nil {
				return err
			}
			for _, l := range r.Lines() {
				fmt.Fprintln(cmd.Root().Writer, l)
			}
			if len(r.Violations) > 0 {
				return eris.Wrapf(whole.ErrViolation, "%d times", len(r.Violations))
			}
			return nil
		},
	}
}
