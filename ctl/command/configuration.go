package command

import (
	"context"
	"encoding/json"

	"github.com/urfave/cli/v3"

	"github.com/godwitcross/godwitcross/fleet/configuration"
)

func newConfiguration(c *Connection) *cli.Command {
	return &cli.Command{
		Name: "configuration", Usage: "print the objects in force as a file that publish takes",
		Description: "Example: ctl configuration > fleet.json",
		Action: func(_ context.Context, cmd *cli.Command) error {
			cfg, err := current(c)
			if err != nil {
				return exit(err)
			}
			e := json.NewEncoder(cmd.Root().Writer)
			e.SetIndent("", "  ")
			return e.Encode(cfg.Objects)
		},
	}
}

// current returns the configuration in force on the first host.
func current(c *Connection) (configuration.Configuration, error) {
	var cfg configuration.Configuration
	err := c.Get("/configuration", &cfg)
	return cfg, err
}
