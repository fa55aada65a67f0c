package command

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/godwitcross/godwitcross/fleet/membership"
)

// peersView is the answer to GET /peers.
type peersView struct {
	At    time.Time
	Peers []membership.Peer
}

func newPeers(c *Connection) *cli.Command {
	return &cli.Command{
		Name: "peers", Usage: "show the other entry hosts as one entry host sees them",
		Description: "Investigate a host whose APPLIED stays behind or whose DIGEST differs at the same APPLIED.\n\nExample: ctl peers",
		Action: func(_ context.Context, cmd *cli.Command) error {
			var v peersView
			if err := c.Get("/peers", &v); err != nil {
				return withExitCode(err)
			}
			return printItems(cmd.Root().Writer, c.Output, v.Peers, "HOST\tDATA CENTRE\tSTATE\tREACHABLE\tPLATFORM\tLEAVING\tAPPLIED\tDIGEST", func(p membership.Peer) string {
				return fmt.Sprintf("%s\t%s\t%v\t%t\t%t\t%t\t%d\t%016x", p.Name, p.DataCentre, p.State, p.Reachable, p.Platform, p.Leaving, p.Applied, p.Digest)
			})
		},
	}
}
