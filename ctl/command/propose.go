package command

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"strings"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/operation"
)

// tokenBytes is the number of random bytes in a new token.
const tokenBytes = 32

func newPropose(c *Connection) *cli.Command {
	f := &changeFlags{}
	return &cli.Command{
		Name: "propose", Usage: "propose a change for another owner to publish", ArgsUsage: "[FILE]",
		Description: "Changes to data centres, new owners, and hosts that move to the other owner need the approval of both owners. One owner\n" +
			"proposes the change; an operator of the other owner publishes the same objects.\n\n" +
			"Example: ctl propose data-centre.json",
		Flags: f.flags(),
		Action: func(_ context.Context, cmd *cli.Command) error {
			change, err := f.change(cmd)
			if err != nil {
				return withInputExitCode(err)
			}
			p := operation.Publication{ID: journal.RecordID(uuid.NewString()), Change: change}
			var result journal.Result
			if err := c.Post("/proposals", p, &result); err != nil {
				return withExitCode(eris.Wrapf(err, "proposal %s", p.ID))
			}
			fmt.Fprintf(cmd.Root().Writer, "proposed; it waits for the other owners\n")
			return nil
		},
	}
}

func newProposals(c *Connection) *cli.Command {
	return &cli.Command{
		Name: "proposals", Usage: "show changes that wait for the approval of another owner",
		Description: "Example: ctl proposals\nWith --output json the output is the whole change, which the other owner can publish.",
		Action: func(_ context.Context, cmd *cli.Command) error {
			var all []configuration.Proposal
			if err := c.Get("/proposals", &all); err != nil {
				return withExitCode(err)
			}
			return printItems(cmd.Root().Writer, c.Output, all, "OWNER\tOPERATOR\tCONTENT\tOBJECTS\tCOMMENT", func(p configuration.Proposal) string {
				var keys []string
				for _, k := range p.Change.Touched() {
					keys = append(keys, k.String())
				}
				return fmt.Sprintf("%s\t%s\t%.12s\t%s\t%s", p.Owner, p.By, p.Digest, strings.Join(keys, " "), p.Change.Comment)
			})
		},
	}
}

func newToken() *cli.Command {
	return &cli.Command{
		Name: "token", Usage: "generate a token for an operator or a tenant",
		Description: "Prints a random token, which is not stored anywhere, and its digest for TokenDigests. Give the token to its bearer.\n\n" +
			"Example: ctl token",
		Action: func(_ context.Context, cmd *cli.Command) error {
			b := make([]byte, tokenBytes)
			if _, err := rand.Read(b); err != nil {
				return withExitCode(eris.Wrap(err, "generating a token"))
			}
			token := base64.RawURLEncoding.EncodeToString(b)
			fmt.Fprintf(cmd.Root().Writer, "token   %s\ndigest  %s\n", token, configuration.DigestToken([]byte(token)))
			return nil
		},
	}
}
