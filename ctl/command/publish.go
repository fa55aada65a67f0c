package command

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/godwitcross/godwitcross/ctl/client"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/operation"
)

// The timeout and the poll interval when waiting for a change to be in force.
const (
	inForceTimeout      = 15 * time.Second
	inForcePollInterval = 100 * time.Millisecond
)

// changeFlags are the flags of the commands that take a change.
type changeFlags struct {
	base    int64
	remove  []string
	comment string
}

func (f *changeFlags) flags() []cli.Flag {
	return []cli.Flag{
		&cli.Int64Flag{Name: "base", Usage: "version that the change is based on; plan prints it", Value: -1, Destination: &f.base},
		&cli.StringSliceFlag{Name: "delete", Usage: "object to delete, as Kind/Name; may be given several times", Destination: &f.remove},
		&cli.StringFlag{Name: "comment", Usage: "free text that is stored with the record", Destination: &f.comment},
	}
}

// change builds the change from the file and the flags. Without a file, the change
// contains only the deletions.
func (f *changeFlags) change(cmd *cli.Command) (configuration.Change, error) {
	c := configuration.Change{Base: configuration.Version(f.base), Comment: f.comment}
	for _, key := range f.remove {
		var k configuration.Key
		if err := k.UnmarshalText([]byte(key)); err != nil {
			return c, eris.Wrap(err, "--delete")
		}
		c.Delete = append(c.Delete, k)
	}
	if cmd.Args().Len() == 0 && len(c.Delete) > 0 {
		return c, nil
	}
	o, err := readObjects(cmd)
	c.Set = o
	return c, err
}

func newPublish(c *Connection) *cli.Command {
	f := &changeFlags{}
	return &cli.Command{
		Name: "publish", Usage: "publish a change and wait until it is in force", ArgsUsage: "[FILE]",
		Description: "FILE holds the objects to set; - reads standard input. The whole change is refused if one of its objects\n" +
			"was changed after the base version: run plan again and review the other operator's change.\n" +
			"The command ends once the change is in force on every entry host named by --entry, or fails after 15 s.\n\n" +
			"Example: ctl --operator corchos-operator publish --base 12 --comment 'lend h7' change.json",
		Flags: f.flags(),
		Action: func(_ context.Context, cmd *cli.Command) error {
			if f.base < 0 {
				return withInputExitCode(eris.Wrap(ErrArguments, "--base is missing; plan prints the version in force"))
			}
			change, err := f.change(cmd)
			if err != nil {
				return withInputExitCode(err)
			}
			return withExitCode(publish(cmd.Root().Writer, c, change))
		},
	}
}

func publish(w io.Writer, c *Connection, change configuration.Change) error {
	p := operation.Publication{ID: journal.RecordID(uuid.NewString()), Change: change}
	var result journal.Result
	if err := c.Post("/changes", p, &result); err != nil {
		return eris.Wrapf(err, "publication %s", p.ID)
	}
	version := configuration.Version(result.Offset) + 1
	fmt.Fprintf(w, "accepted as version %d\n", version)
	return awaitInForce(w, c, version)
}

// awaitInForce waits until every entry host reports the version as in force, and
// returns ErrNotInForce after inForceTimeout.
func awaitInForce(w io.Writer, c *Connection, version configuration.Version) error {
	startedAt := time.Now()
	pending := c.Clients()
	for {
		pending = pendingHosts(w, pending, version, startedAt)
		if len(pending) == 0 {
			return nil
		}
		if time.Since(startedAt) > inForceTimeout {
			break
		}
		time.Sleep(inForcePollInterval)
	}
	for _, h := range pending {
		fmt.Fprintf(w, "not in force yet on %s\n", h.Address())
	}
	return eris.Wrapf(ErrNotInForce, "%d of %d hosts", len(pending), len(c.Entries))
}

// pendingHosts returns the hosts that do not report the version as in force yet, and
// prints the others.
func pendingHosts(w io.Writer, hosts []*client.Client, version configuration.Version, startedAt time.Time) []*client.Client {
	var pending []*client.Client
	for _, h := range hosts {
		var s operation.Status
		if err := h.Get("/status", &s); err != nil || s.Version < version {
			pending = append(pending, h)
			continue
		}
		fmt.Fprintf(w, "in force on %s after %s\n", s.Name, time.Since(startedAt).Round(time.Millisecond))
	}
	return pending
}

// ErrNotInForce means that the change is accepted, but some hosts did not report it as
// in force before the timeout.
var ErrNotInForce = eris.New("accepted, but not confirmed in force on every entry host")
