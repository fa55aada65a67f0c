package main

import (
	"context"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/godwitcross/godwitcross/standin/load"
)

// newLoad returns the command that measures the processor time of a task.
func newLoad() *cli.Command {
	var cfg load.Config
	return &cli.Command{
		Name: "load", Usage: "profile a leader under a steady load of short tasks",
		Description: "Prints the leader's processor time of a task by parts, and leaves CPU and allocation profiles.\n\nExample: standin load --starts 1000 --duration 8s --dir /tmp/load",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "starts", Usage: "tasks that start in a second", Value: 1000, Destination: &cfg.Starts},
			&cli.DurationFlag{Name: "duration", Usage: "duration of the measurement", Value: 8 * time.Second, Destination: &cfg.Duration},
			&cli.FloatFlag{Name: "capacity", Usage: "what the workers have, as a multiple of what the load needs", Value: 1.5, Destination: &cfg.Capacity},
			&cli.StringFlag{Name: "dir", Usage: "directory for settings, logs and profiles; a new one if empty", Destination: &cfg.Dir},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			var err error
			if cfg.Dir == "" {
				cfg.Dir, err = os.MkdirTemp("", "load-")
			} else {
				err = os.MkdirAll(cfg.Dir, 0o700)
			}
			if err != nil {
				return err
			}
			r, err := load.Measure(ctx, cfg)
			if err != nil {
				return err
			}
			r.Print(cmd.Root().Writer)
			return nil
		},
	}
}
