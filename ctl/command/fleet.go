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
	var poolName string
	return &cli.Command{
		Name: "hosts", Usage: "show each host's pool and state",
		Description: "Example: ctl hosts --pool Prices",
		Flags:       []cli.Flag{&cli.StringFlag{Name: "pool", Usage: "show only hosts that are in this pool or moving to it", Destination: &poolName}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			var all []pool.HostStatus
			if err := c.Get("/hosts?Pool="+url.QueryEscape(poolName), &all); err != nil {
				return withExitCode(err)
			}
			return printItems(cmd.Root().Writer, c.Output, all, "HOST\tPOOL\tWANTED\tDATA CENTRE\tRACK\tSTATE\tWAVE", func(h pool.HostStatus) string {
				return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%s", h.ID, h.Pool, h.Desired, h.DataCentre, h.Rack, hostState(h.Host), h.Wave)
			})
		},
	}
}

// hostState returns the text of the STATE column: Failed or the host's phase.
func hostState(h pool.Host) string {
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
				return withExitCode(err)
			}
			return printItems(cmd.Root().Writer, c.Output, all, "POOL\tOWNER\tHOSTS\tUNAVAILABLE\tLIMIT\tBREACH", func(s pool.Status) string {
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
		Name: "waves", Usage: "show the progress of each maintenance wave and the forecast of its end",
		Description: "To stop a wave, publish it with Paused or Aborted set.\n\nExample: ctl waves",
		Action: func(_ context.Context, cmd *cli.Command) error {
			var all []pool.WaveStatus
			if err := c.Get("/waves", &all); err != nil {
				return withExitCode(err)
			}
			return printItems(cmd.Root().Writer, c.Output, all, "WAVE\tOWNER\tSTATE\tREBOOTED\tLEFT\tFAILED\tFORECAST\tREASON", func(s pool.WaveStatus) string {
				return fmt.Sprintf("%s\t%s\t%s\t%d\t%d\t%d\t%s\t%s", s.ID, s.Owner, s.State, s.Rebooted, s.Left, s.Failed, formatTime(s.Forecast), s.Reason)
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
				return withExitCode(err)
			}
			return printItems(cmd.Root().Writer, c.Output, all, "DUTY\tHOLDER\tEPOCH\tRENEWED AT RECORD", func(d operation.Duty) string {
				return fmt.Sprintf("%s\t%s\t%d\t%d", d.Duty, d.Holder, d.Epoch, d.Renewed)
			})
		},
	}
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339)
}
