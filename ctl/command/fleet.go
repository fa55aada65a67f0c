package command

import (
	"context"
	"fmt"
	"net/url"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/godwitcross/godwitcross/fleet/operation"
	"github.com/godwitcross/godwitcross/fleet/pool"
)

func newHosts(c *Connection) *cli.Command {
	var only string
	return &cli.Command{
		Name: "hosts", Usage: "show which pool each host is in and what happens to it",
		Description: "Example: ctl hosts --pool Prices",
		Flags:       []cli.Flag{&cli.StringFlag{Name: "pool", Usage: "show only hosts that are in this pool or go there", Destination: &only}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			var all []pool.HostStatus
			if err := c.Get("/hosts?Pool="+url.QueryEscape(only), &all); err != nil {
				return exit(err)
			}
			return printAll(cmd.Root().Writer, c.Output, all, "HOST\tPOOL\tWANTED\tDATA CENTRE\tRACK\tSTATE\tWAVE", func(h pool.HostStatus) string {
				return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%s", h.ID, h.Pool, h.Desired, h.DataCentre, h.Rack, stateOf(h.Host), h.Wave)
			})
		},
	}
}

// stateOf returns one word for what happens to the host.
func stateOf(h pool.Host) string {
	switch {
	case h.Failed:
		return "Failed"
	case h.Phase == pool.InService:
		return "InService"
	}
	return string(h.Phase)
}

func newPools(c *Connection) *cli.Command {
	return &cli.Command{
		Name: "pools", Usage: "show each pool's hosts against its availability budget",
		Description: "Example: ctl pools",
		Action: func(_ context.Context, cmd *cli.Command) error {
			var all []pool.Status
			if err := c.Get("/pools", &all); err != nil {
				return exit(err)
			}
			return printAll(cmd.Root().Writer, c.Output, all, "POOL\tOWNER\tHOSTS\tUNAVAILABLE\tLIMIT\tBREACH", func(s pool.Status) string {
				breach := ""
				for _, b := range s.Breaches {
					breach = fmt.Sprintf("%v", b)
				}
				return fmt.Sprintf("%s\t%s\t%d\t%d\t%d\t%s", s.ID, s.Owner, s.Count.Members, s.Unavailable, s.Limit, breach)
			})
		},
	}
}

func newWaves(c *Connection) *cli.Command {
	return &cli.Command{
		Name: "waves", Usage: "show how far each maintenance wave is and when it should end",
		Description: "Publish a wave with Paused or Aborted set to stop it.\n\nExample: ctl waves",
		Action: func(_ context.Context, cmd *cli.Command) error {
			var all []pool.WaveStatus
			if err := c.Get("/waves", &all); err != nil {
				return exit(err)
			}
			return printAll(cmd.Root().Writer, c.Output, all, "WAVE\tOWNER\tSTATE\tREBOOTED\tLEFT\tFAILED\tFORECAST\tREASON", func(s pool.WaveStatus) string {
				return fmt.Sprintf("%s\t%s\t%s\t%d\t%d\t%d\t%s\t%s", s.ID, s.Owner, s.State, s.Rebooted, s.Left, s.Failed, timeText(s.Forecast), s.Reason)
			})
		},
	}
}

func newDuties(c *Connection) *cli.Command {
	return &cli.Command{
		Name: "duties", Usage: "show which entry host holds each duty",
		Description: "Example: ctl duties",
		Action: func(_ context.Context, cmd *cli.Command) error {
			var all []operation.Duty
			if err := c.Get("/duties", &all); err != nil {
				return exit(err)
			}
			return printAll(cmd.Root().Writer, c.Output, all, "DUTY\tHOLDER\tEPOCH\tRENEWED AT RECORD", func(d operation.Duty) string {
				return fmt.Sprintf("%s\t%s\t%d\t%d", d.Duty, d.Holder, d.Epoch, d.Renewed)
			})
		},
	}
}

func timeText(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339)
}
