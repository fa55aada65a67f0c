package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
)

func newValidate() *cli.Command {
	return &cli.Command{
		Name: "validate", Usage: "validate a configuration file offline", ArgsUsage: "FILE",
		Description: "FILE is a complete configuration; - reads standard input. This command calls no entry host.\n" +
			"To check a file with only some objects against the configuration in force, use plan.\n\n" +
			"Example: ctl validate fleet.json",
		Action: func(_ context.Context, cmd *cli.Command) error {
			o, err := readObjects(cmd)
			if err != nil {
				return withInputExitCode(err)
			}
			if err := o.WithDefaults().Validate(); err != nil {
				return withInputExitCode(err)
			}
			fmt.Fprintf(cmd.Root().Writer, "valid: %d objects\n", len(o.Keys()))
			return nil
		},
	}
}
