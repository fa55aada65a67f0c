// Command standin runs simulated platforms and backend servers for development and tests.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/godwitcross/godwitcross/standin/check"
	"github.com/godwitcross/godwitcross/standin/deployment"
	"github.com/godwitcross/godwitcross/standin/load"
)

func main() {
	load.ServeIfChild()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := &cli.Command{
		Name:     "standin",
		Usage:    "simulated platforms and backend servers for development and tests",
		Commands: []*cli.Command{newDev(), newSample(), newPlatform(), newBackend(), newEstate(), newSoak(), newLoad()},
	}
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// newSample returns the command that prints the sample configuration.
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

// newDev returns the command that runs the product's own path in one process.
func newDev() *cli.Command {
	var checkOnly, verbose bool
	var entries int
	return &cli.Command{
		Name: "dev", Usage: "run the product's own path in one process",
		Description: "Starts the platform, entry hosts, backend servers and workers on loopback addresses.\n\nExample: standin dev --check",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "check", Usage: "check each step of the path, print a line for each, and exit", Destination: &checkOnly},
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
			printInstructions(w, d)
			<-ctx.Done()
			return nil
		},
	}
}

// printInstructions prints the addresses of all parts and commands to try.
func printInstructions(w io.Writer, d *deployment.Deployment) {
	e := d.Entries[0].Settings
	var operators []string
	fmt.Fprintf(w, "%-20s http://%s\n", "platform", d.PlatformAddress)
	for _, e := range d.Entries {
		operators = append(operators, e.Settings.OperatorAddress)
		fmt.Fprintf(w, "%-20s callers http://%s operators http://%s\n", e.Settings.Name, e.Settings.CallerAddress, e.Settings.OperatorAddress)
	}
	fmt.Fprintf(w, `
Try in another shell, as a caller:
  curl -i -H 'Tenant: OrderDesk' http://%[1]s/services/Prices/tiles/42
  curl -i -X POST -H 'Tenant: Plant' -H 'Idempotency-Key: plan-1' http://%[1]s/services/BatchPlans/plans

as an operator of Corchos:
  export GODWITCROSS_TRANSPORT=plain-text GODWITCROSS_OPERATOR=corchos-operator
  export GODWITCROSS_ENTRY=%[2]s
  go run ./ctl status
  go run ./ctl pools
  go run ./ctl explain host Prices-01
  echo '{"Pools":{"Prices":{"Owner":"Corchos","Hosts":"Pool in (Prices,Counter)","Jobs":"Pool=Prices","Budget":{"MaxUnavailable":300000}}}}' > change.json
  go run ./ctl plan change.json
  go run ./ctl publish --base 1 change.json
  echo '[{"ID":"j1","Owner":"Corchos","Team":"Pressing","Labels":{"Pool":"BatchPlans"},"Template":"press","Command":"run 5s","Declared":{"Cores":4000,"Memory":1073741824}}]' > jobs.json
  go run ./ctl submit jobs.json
  go run ./ctl jobs
  go run ./ctl waves
  go run ./ctl bill --verify

as a scraper, and to inject a fault:
  curl http://%[3]s/metrics
  curl -X POST -d '{"Kind":"Down","Target":"log","Count":-1}' http://%[4]s/faults
  curl -X DELETE http://%[4]s/faults

Stop with Ctrl-C.
`, e.CallerAddress, strings.Join(operators, ","), e.OperatorAddress, d.PlatformAddress)
}
