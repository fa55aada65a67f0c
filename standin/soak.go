package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/godwitcross/godwitcross/standin/soak"
)

// newSoak returns the command that runs the soak test.
func newSoak() *cli.Command {
	var cfg soak.Config
	var seed, seeds, seconds int
	return &cli.Command{
		Name: "soak", Usage: "run entry hosts as processes under random faults and check the guarantees to callers and workers",
		Description: "Build the program first: go build -ldflags=-linkmode=external -o target/ ./platform/godwitcross\n\nExample: standin soak --seed 1 --seconds 10",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seed", Usage: "first seed of faults and jobs", Value: 1, Destination: &seed},
			&cli.IntFlag{Name: "seeds", Usage: "number of seeds, run one after the other", Value: 1, Destination: &seeds},
			&cli.IntFlag{Name: "seconds", Usage: "duration of fault injection for each seed, in seconds", Value: 10, Destination: &seconds},
			&cli.IntFlag{Name: "entry-hosts", Usage: "number of entry host processes", Value: 3, Destination: &cfg.Hosts},
			&cli.IntFlag{Name: "workers", Usage: "number of workers at the start, with half as many spare hosts", Value: 6, Destination: &cfg.Workers},
			&cli.BoolFlag{Name: "restarts", Usage: "restart workers under their ids and cut them off", Destination: &cfg.RestartWorkers},
			&cli.FloatFlag{Name: "late-orders", Usage: "share of orders that workers leave unanswered and carry out 2 to 12 s later, also in their next incarnation", Destination: &cfg.LateOrders},
			&cli.BoolFlag{Name: "keys", Usage: "have callers use keys of workspaces, and add and remove keys", Destination: &cfg.Keys},
			&cli.DurationFlag{Name: "retention", Usage: "how long the state of an ended job can be read", Value: 2 * time.Minute, Destination: &cfg.Retention},
			&cli.StringFlag{Name: "binary", Usage: "path of the entry host program", Value: "target/godwitcross", Destination: &cfg.Binary},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			cfg.Duration, cfg.Out = time.Duration(seconds)*time.Second, cmd.Root().Writer
			for i := range seeds {
				cfg.Seed = int64(seed + i)
				dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", cfg.Seed))
				if err != nil {
					return err
				}
				cfg.Dir = dir
				if err := soak.Run(ctx, cfg); err != nil {
					return err
				}
			}
			return nil
		},
	}
}
