package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
)

func newValidate() *cli.Command {
	return &cli.Command{
		Name: "validate", Usage: "check a configuration file by itself", ArgsUsage: "FILE",
		Description: "FILE is a whole configuration; - reads standard input. Nothing is asked of any host.\n" +
			"To check a file that holds only some objects against what is in force, use plan.\n\n" +
			"Example: ctl validate fleet.json",
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
