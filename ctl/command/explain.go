package command

import (
	"context"
	"fmt"
	"net/url"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/godwitcross/godwitcross/fleet/admission"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/pool"
	"github.com/godwitcross/godwitcross/fleet/refusal"
)

func newExplain(c *Connection) *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "explain the state of a host, a job, a refusal or a record",
		Commands: []*cli.Command{
			{
				Name: "host", Usage: "why a host is in its pool and what it waits for", ArgsUsage: "HOST",
				Description: "Example: ctl explain host Prices-01",
				Action:      func(_ context.Context, cmd *cli.Command) error { return explainHost(c, cmd) },
			},
			{
				Name: "job", Usage: "why a job does not start", ArgsUsage: "JOB",
				Description: "Name an entry host of the job's data centre with --entry.\n\nExample: ctl explain job plan-17",
				Action: func(_ context.Context, cmd *cli.Command) error {
					id, err := oneArgument(cmd)
					if err != nil {
						return withInputExitCode(err)
					}
					return explainJob(c, cmd, id)
				},
			},
			{
				Name: "refusal", Usage: "what a Refusal-Reason means and how to resolve it; without a name, all reasons", ArgsUsage: "[REASON]",
				Description: "This command calls no entry host.\n\nExample: ctl explain refusal QueueFull",
				Action:      func(_ context.Context, cmd *cli.Command) error { return explainRefusal(c, cmd) },
			},
			{
				Name: "record", Usage: "the outcome of a record of the global stream", ArgsUsage: "ID",
				Description: "The errors of publish contain the ID of the publication.\n\nExample: ctl explain record 1c59b4ad-6020-4da4-ae90-79118e064014",
				Action:      func(_ context.Context, cmd *cli.Command) error { return explainRecord(c, cmd) },
			},
		},
	}
}

func oneArgument(cmd *cli.Command) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", eris.Wrapf(ErrArguments, "want one name, have %d", cmd.Args().Len())
	}
	return cmd.Args().First(), nil
}

func explainHost(c *Connection, cmd *cli.Command) error {
	id, err := oneArgument(cmd)
	if err != nil {
		return withInputExitCode(err)
	}
	var x pool.Explanation
	if err := c.Get("/explain/host?Host="+url.QueryEscape(id), &x); err != nil {
		return withExitCode(err)
	}
	return printItems(cmd.Root().Writer, c.Output, []pool.Explanation{x}, "HOST\tPOOL\tOWNER\tWANTED\tSINCE\tRECORD\tWHY\tWAITS", func(x pool.Explanation) string {
		return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s", x.Host, x.Pool, x.Owner, x.Desired, formatTime(x.Since), x.By, x.Why, x.Waits)
	})
}

func explainRefusal(c *Connection, cmd *cli.Command) error {
	all := refusal.All()
	if cmd.Args().Present() {
		e, ok := refusal.Explain(admission.Reason(cmd.Args().First()))
		if !ok {
			return withInputExitCode(eris.Wrapf(ErrArguments, "there is no reason %q", cmd.Args().First()))
		}
		all = []refusal.Explanation{e}
	}
	return printItems(cmd.Root().Writer, c.Output, all, "REASON\tMEANING\tWHAT HELPS", func(e refusal.Explanation) string {
		return fmt.Sprintf("%s\t%s\t%s", e.Reason, e.Meaning, e.Remedy)
	})
}

func explainRecord(c *Connection, cmd *cli.Command) error {
	id, err := oneArgument(cmd)
	if err != nil {
		return withInputExitCode(err)
	}
	var v journal.Result
	if err := c.Get("/explain/record?ID="+url.QueryEscape(id), &v); err != nil {
		return withExitCode(err)
	}
	return printItems(cmd.Root().Writer, c.Output, []journal.Result{v}, "RECORD\tOFFSET\tKIND\tBY\tOUTCOME\tREASON", func(v journal.Result) string {
		return fmt.Sprintf("%s\t%d\t%s\t%s\t%s\t%s", v.ID, v.Offset, v.Kind, v.By, v.Outcome, v.Reason)
	})
}
