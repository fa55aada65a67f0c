package main

import (
	"context"
	"fmt"
	"io"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/godwitcross/godwitcross/standin/check"
)

// newEstate returns the command that runs entry hosts on the simulated users' platform until it
// is interrupted.
func newEstate() *cli.Command {
	var verbose bool
	return &cli.Command{
		Name: "estate", Usage: "run two entry hosts on the simulated users' platform in one process",
		Flags: []cli.Flag{&cli.BoolFlag{Name: "verbose", Usage: "show the log lines of the entry hosts", Destination: &verbose}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			log := logrus.New()
			log.SetFormatter(&logrus.JSONFormatter{})
			if !verbose {
				log.SetOutput(io.Discard)
			}
			e, err := check.PlatformEstate()
			if err != nil {
				return err
			}
			defer e.Stop()
			hosts, err := check.PlatformHosts(e, log)
			if err != nil {
				return err
			}
			w := cmd.Root().Writer
			fmt.Fprintf(w, "%-10s http://%s\n%-10s http://%s\n%-10s http://%s\n", "store", e.StoreAddress(), "machines", e.CloudAddress(), "adviser", e.AdviceAddress())
			for _, h := range hosts {
				fmt.Fprintf(w, "%-10s callers http://%s readiness http://%s/v1/ready\n", h.Name, h.CallerAddress, h.ReadinessAddress)
			}
			fmt.Fprintf(w, `
Try in another shell:
  curl -i -X POST -H 'Host: jobs.example' -d '{"Spec":"x","Steps":[{"Count":3,"Cpu":1000}]}' http://%[1]s/desk/00000000000000a1
  curl -H 'Host: jobs.example' http://%[2]s/desk/00000000000000a1
  curl -X POST -H 'Host: jobs.example' -d '{"Spec":"lasts","Steps":[{"Count":1,"Cpu":1000,"LongRunning":true}]}' http://%[1]s/quotes/00000000000000a2
  curl -H 'Host: jobs.example' http://%[1]s/quotes/
  curl -i -X DELETE -H 'Host: jobs.example' http://%[2]s/quotes/00000000000000a2
  curl http://%[3]s/v1/machines

Stop with Ctrl-C.
`, hosts[0].CallerAddress, hosts[1].CallerAddress, e.CloudAddress())
			<-ctx.Done()
			for _, h := range hosts {
				h.Stop()
			}
			return nil
		},
	}
}
