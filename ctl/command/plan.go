package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/godwitcross/godwitcross/fleet/configuration"
)

// Plan is what a change would do.
type Plan struct {
	// Base is the version that the plan was made against.
	Base configuration.Version
	configuration.Difference
}

func newPlan(c *Connection) *cli.Command {
	f := &changeFlags{}
	return &cli.Command{
		Name: "plan", Usage: "show what a change would do, without making it", ArgsUsage: "[FILE]",
		Description: "The change is made on a copy of the configuration in force, with every check that publish makes.\n\n" +
			"Example: ctl plan change.json",
		Flags: f.flags(),
		Action: func(_ context.Context, cmd *cli.Command) error {
			change, err := f.change(cmd)
			if err != nil {
				return badInput(err)
			}
			cfg, err := current(c)
			if err != nil {
				return exit(err)
			}
			if f.base < 0 {
				change.Base = cfg.Version
			}
			next, err := cfg.Apply(change, cfg.Version+1)
			if err != nil {
				return badInput(err)
			}
			p := Plan{Base: cfg.Version, Difference: configuration.Compare(cfg.Objects, next.Objects, change.Touched())}
			return printPlan(cmd.Root().Writer, c.Output, p)
		},
	}
}

func printPlan(w io.Writer, output string, p Plan) error {
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
		fmt.Fprintf(w, "%-14s %s from %s to %s\n", "move host", m.Host, orNone(string(m.From)), orNone(string(m.To)))
	}
	fmt.Fprintf(w, "%d objects, %d hosts move\n", len(p.Added)+len(p.Changed)+len(p.Deleted), len(p.Moves))
	return nil
}

func orNone(s string) string {
	if s == "" {
		return "nowhere"
	}
	return s
}
