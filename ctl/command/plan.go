package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/godwitcross/godwitcross/ctl/client"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/operation"
)

func newPlan(c *Connection) *cli.Command {
	f := &changeFlags{}
	return &cli.Command{
		Name: "plan", Usage: "show the effects of a change without publishing it", ArgsUsage: "[FILE]",
		Description: "An entry host applies the change to a copy of the configuration in force, with every check of publish\n" +
			"except authorization, and returns the objects, hosts, budgets and waves that the change affects.\n\n" +
			"Example: ctl plan change.json",
		Flags: f.flags(),
		Action: func(_ context.Context, cmd *cli.Command) error {
			change, err := f.change(cmd)
			if err != nil {
				return withInputExitCode(err)
			}
			if f.base < 0 {
				var s operation.Status
				if err := c.Get("/status", &s); err != nil {
					return withExitCode(err)
				}
				change.Base = s.Version
			}
			var p operation.Plan
			err = c.Post("/plan", change, &p)
			if errors.Is(err, client.ErrRefused) {
				return withInputExitCode(err)
			}
			if err != nil {
				return withExitCode(err)
			}
			return printPlan(cmd.Root().Writer, c.Output, p)
		},
	}
}

func printPlan(w io.Writer, output string, p operation.Plan) error {
	if output == "json" {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(p)
	}
	fmt.Fprintf(w, "against version %d\n", p.Base)
	for _, group := range []struct {
		verb string
		keys []configuration.Key
	}{{"add", p.Added}, {"change", p.Changed}, {"delete", p.Deleted}, {"leave as it is", p.Unchanged}} {
		for _, k := range group.keys {
			fmt.Fprintf(w, "%-14s %s\n", group.verb, k)
		}
	}
	for _, id := range p.Budgets {
		fmt.Fprintf(w, "%-14s of Pool/%s\n", "change budget", id)
	}
	for _, m := range p.Moves {
		fmt.Fprintf(w, "%-14s %s from %s to %s\n", "move host", m.Host, orNowhere(string(m.From)), orNowhere(string(m.To)))
	}
	for _, v := range p.Waves {
		fmt.Fprintf(w, "%-14s %s would be %s, %d hosts left, end %s %s\n", "wave", v.ID, v.State, v.Left, orNowhere(formatTime(v.Forecast)), v.Reason)
	}
	fmt.Fprintf(w, "%d objects, %d hosts move\n", len(p.Added)+len(p.Changed)+len(p.Deleted), len(p.Moves))
	return nil
}

func orNowhere(s string) string {
	if s == "" {
		return "nowhere"
	}
	return s
}
