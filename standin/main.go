// Command standin runs small stand-ins for the platform and for backend servers.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/godwitcross/godwitcross/standin/check"
	"github.com/godwitcross/godwitcross/standin/deployment"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := &cli.Command{
		Name:     "standin",
		Usage:    "stand-ins for the platform and for backend servers",
		Commands: []*cli.Command{newDev(), newSample()},
	}
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func newSample() *cli.Command {
	return &cli.Command{
		Name: "sample", Usage: "print the sample configuration",
		Action: func(_ context.Context, cmd *cli.Command) error {
			e := json.NewEncoder(cmd.Root().Writer)
			e.SetIndent("", "  ")
			return e.Encode(deployment.Sample())
		},
	}
}

func newDev() *cli.Command {
	var checkOnly, verbose bool
	var entries int
	return &cli.Command{
		Name: "dev", Usage: "run the whole path in one process",
		Description: "Starts the platform, entry hosts, backend servers and workers on loopback addresses.\n\nExample: standin dev --check",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "check", Usage: "walk the whole path, print a line for each step, and end", Destination: &checkOnly},
			&cli.BoolFlag{Name: "verbose", Usage: "show the log lines of the entry hosts", Destination: &verbose},
			&cli.IntFlag{Name: "entry-hosts", Usage: "entry hosts in each data centre", Value: 1, Destination: &entries},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			log := logrus.New()
			log.SetFormatter(&logrus.JSONFormatter{})
			if !verbose {
				log.SetOutput(io.Discard)
			}
			d, err := deployment.Start(deployment.Options{Log: log, EntryHosts: entries, NoticeTime: 200 * time.Millisecond, StopTime: 10 * time.Second})
			if err != nil {
				return err
			}
			defer d.Stop()
			w := cmd.Root().Writer
			if checkOnly {
				return check.Run(w, d)
			}
			if err := check.Steps[0].Run(d); err != nil {
				return err
			}
			printWelcome(w, d)
			<-ctx.Done()
			return nil
		},
	}
}

func printWelcome(w io.Writer, d *deployment.Deployment) {
	e := d.Entries[0].Settings
	fmt.Fprintf(w, "platform          http://%s\n", d.PlatformAddress)
	for _, e := range d.Entries {
		fmt.Fprintf(w, "%-20s callers http://%s operators http://%s\n", e.Settings.Name, e.Settings.CallerAddress, e.Settings.OperatorAddress)
	}
	fmt.Fprintf(w, "\nTry in another shell:\n"+
		"  curl -i -H 'Tenant: OrderDesk' http://%s/services/Prices/tiles/42\n"+
		"  curl -i -X POST -H 'Tenant: Plant' -H 'Idempotency-Key: plan-1' http://%s/services/BatchPlans/plans\n"+
		"  go run ./ctl --transport plain-text --entry %s status\n"+
		"  curl http://%s/metrics\n"+
		"Stop with Ctrl-C.\n", e.CallerAddress, e.CallerAddress, e.OperatorAddress, e.OperatorAddress)
}
