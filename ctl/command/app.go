// Package command implements the commands of ctl.
package command

import (
	"context"
	"errors"

	"github.com/urfave/cli/v3"

	"github.com/godwitcross/godwitcross/ctl/client"
	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// Exit codes.
const (
	ExitFailed    = 1
	ExitInput     = 2
	ExitRefused   = 3
	ExitUncertain = 4
)

// Connection holds the global flags: how commands reach the entry hosts and write
// their output.
type Connection struct {
	// Entries are the addresses of the entry hosts' operator endpoints. Most commands
	// use the first host that answers.
	Entries  []string
	Operator string
	// Output is table or json.
	Output string
	// Security authenticates the entry hosts and the operator.
	Security Security
}

// Clients returns a client for each entry host.
func (c *Connection) Clients() []*client.Client {
	var out []*client.Client
	for _, a := range c.Entries {
		out = append(out, client.NewClient(client.Config{
			Address: a, Operator: inventory.OperatorID(c.Operator), Token: c.Security.token, TLS: c.Security.tls,
		}))
	}
	return out
}

// New returns the root command.
func New() *cli.Command {
	c := &Connection{}
	return &cli.Command{
		Name:  "ctl",
		Usage: "inspect and change the fleet",
		Description: "Commands call the operators' endpoint of entry hosts.\n\n" +
			"Exit codes: 0 success, 1 failure, 2 invalid input, 3 refused and nothing changed, 4 no answer and the outcome is unknown.",
		Before: func(ctx context.Context, _ *cli.Command) (context.Context, error) {
			if err := c.Security.load(); err != nil {
				return ctx, withInputExitCode(err)
			}
			return ctx, nil
		},
		Flags: append([]cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Usage: "IP:port of an entry host's operators' endpoint; may be given several times", Value: []string{"127.0.0.1:8081"}, Destination: &c.Entries, Sources: cli.EnvVars("GODWITCROSS_ENTRY")},
			&cli.StringFlag{Name: "operator", Usage: "name of the operator", Destination: &c.Operator, Sources: cli.EnvVars("GODWITCROSS_OPERATOR")},
			&cli.StringFlag{Name: "output", Usage: "table or json", Value: "table", Destination: &c.Output, Sources: cli.EnvVars("GODWITCROSS_OUTPUT")},
		}, c.Security.flags()...),
		Commands: []*cli.Command{
			newValidate(),
			newPlan(c),
			newPublish(c),
			newPropose(c),
			newProposals(c),
			newToken(),
			newConfiguration(c),
			newStatus(c),
			newHosts(c),
			newPools(c),
			newWaves(c),
			newDuties(c),
			newPeers(c),
			newExplain(c),
			newJobs(c),
			newSubmit(c),
			newCancel(c),
			newBill(c),
		},
	}
}

// withExitCode returns the error with the exit code that the help documents.
func withExitCode(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, client.ErrRefused):
		return cli.Exit("ctl: "+err.Error(), ExitRefused)
	case errors.Is(err, client.ErrUncertain):
		return cli.Exit("ctl: "+err.Error(), ExitUncertain)
	}
	return cli.Exit("ctl: "+err.Error(), ExitFailed)
}

func withInputExitCode(err error) error {
	return cli.Exit("ctl: "+err.Error(), ExitInput)
}
