package command

import (
	"context"
	"encoding/json"

	"github.com/urfave/cli/v3"

	"github.com/godwitcross/godwitcross/fleet/configuration"
)

func newConfiguration(c *Connection) *cli.Command {
	return &cli.Command{
		Name: "configuration", Usage: "print the objects in force in the format of publish",
		Description: "Example: ctl configuration > fleet.json",
		Action: func(_ context.Context, cmd *cli.Command) error {
			cfg, err := currentConfiguration(c)
			if err != nil {
				return withExitCode(err)
			}
			e := json.NewEncoder(cmd.Root().Writer)
			e.SetIndent("", "  ")
			return e.Encode(cfg.Objects)
		},
	}
}

// currentConfiguration returns the configuration in force on the first host that
// answers.
func currentConfiguration(c *Connection) (configuration.Configuration, error) {
	var cfg configuration.Configuration
	err := c.Get("/configuration", &cfg)
	return cfg, err
}
