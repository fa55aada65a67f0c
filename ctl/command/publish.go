package command

import (
	"context"
	"fmt"
	"os"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/journal"
)

// Publication is the body of POST /changes.
type Publication struct {
	ID     journal.RecordID
	Change configuration.Change
}

func readObjects(cmd *cli.Command) (configuration.Objects, error) {
	if cmd.Args().Len() != 1 {
		return configuration.Objects{}, eris.New("want one configuration file")
	}
	b, err := os.ReadFile(cmd.Args().First())
	if err != nil {
		return configuration.Objects{}, eris.Wrap(err, "reading the configuration")
	}
	return configuration.ParseObjects(b)
}

func newValidate(_ *Connection) *cli.Command {
	return &cli.Command{
		Name: "validate", Usage: "check a configuration file by itself", ArgsUsage: "FILE",
		Description: "Example: ctl validate fleet.json",
		Action: func(_ context.Context, cmd *cli.Command) error {
			o, err := readObjects(cmd)
			if err != nil {
				return badInput(err)
			}
			if err := o.WithDefaults().Validate(); err != nil {
				return badInput(err)
			}
			fmt.Fprintf(cmd.Root().Writer, "valid: %d objects\n", len(o.Keys()))
			return nil
		},
	}
}

func newPublish(c *Connection) *cli.Command {
	var base int64
	return &cli.Command{
		Name: "publish", Usage: "publish the objects of a file", ArgsUsage: "FILE",
		Description: "The change is refused if an object that it touches was changed after the base version.\n\n" +
			"Example: ctl --operator corchos-operator publish --base 12 fleet.json",
		Flags: []cli.Flag{&cli.Int64Flag{Name: "base", Usage: "version that the change was made against", Required: true, Destination: &base}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			o, err := readObjects(cmd)
			if err != nil {
				return badInput(err)
			}
			p := Publication{ID: journal.RecordID(uuid.NewString()), Change: configuration.Change{Base: configuration.Version(base), Set: o}}
			var v journal.Verdict
			if err := c.Clients()[0].Post("/changes", p, &v); err != nil {
				return exit(err)
			}
			fmt.Fprintf(cmd.Root().Writer, "accepted as version %d\n", v.Offset+1)
			return nil
		},
	}
}
