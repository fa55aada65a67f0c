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

// Waiting for a change to be in force.
const (
	inForceTimeout = 15 * time.Second
	inForcePause   = 100 * time.Millisecond
)

// changeFlags are the flags of the commands that make a change.
type changeFlags struct {
	base    int64
	remove  []string
	comment string
}

func (f *changeFlags) flags() []cli.Flag {
	return []cli.Flag{
		&cli.Int64Flag{Name: "base", Usage: "version that the change was made against; plan prints it", Value: -1, Destination: &f.base},
		&cli.StringSliceFlag{Name: "delete", Usage: "object to delete, as Kind/Name; may be given several times", Destination: &f.remove},
		&cli.StringFlag{Name: "comment", Usage: "free text that stays with the record", Destination: &f.comment},
	}
}

// change builds the change from the file and the flags. Without a file only the
// deletions are made.
func (f *changeFlags) change(cmd *cli.Command) (configuration.Change, error) {
	c := configuration.Change{Base: configuration.Version(f.base), Comment: f.comment}
	for _, text := range f.remove {
		var k configuration.Key
		if err := k.UnmarshalText([]byte(text)); err != nil {
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
		Name: "publish", Usage: "bring a change into force", ArgsUsage: "[FILE]",
		Description: "FILE holds the objects to set; - reads standard input. The change is refused as a whole if an object\n" +
			"that it touches was changed after the base version: run plan again and look at what the other operator did.\n" +
			"The command ends once the change is in force on every entry host named by --entry that can be reached.\n\n" +
			"Example: ctl --operator corchos-operator publish --base 12 --comment 'lend h7' change.json",
		Flags: f.flags(),
		Action: func(_ context.Context, cmd *cli.Command) error {
			if f.base < 0 {
				return badInput(eris.Wrap(ErrArguments, "--base is missing; plan prints the version in force"))
			}
			change, err := f.change(cmd)
			if err != nil {
				return badInput(err)
			}
			return exit(publish(cmd.Root().Writer, c, change))
		},
	}
}

func publish(w io.Writer, c *Connection, change configuration.Change) error {
	p := operation.Publication{ID: journal.RecordID(uuid.NewString()), Change: change}
	var v journal.Result
	if err := c.Post("/changes", p, &v); err != nil {
		return eris.Wrapf(err, "publication %s", p.ID)
	}
	version := configuration.Version(v.Offset) + 1
	fmt.Fprintf(w, "accepted as version %d\n", version)
	return awaitInForce(w, c, version)
}

// awaitInForce waits until every host that answers has the version.
func awaitInForce(w io.Writer, c *Connection, version configuration.Version) error {
	began := time.Now()
	waiting := c.Clients()
	for {
		waiting = stillWaiting(w, waiting, version, began)
		if len(waiting) == 0 {
			return nil
		}
		if time.Since(began) > inForceTimeout {
			break
		}
		time.Sleep(inForcePause)
	}
	for _, h := range waiting {
		fmt.Fprintf(w, "not in force yet on %s\n", h.Address())
	}
	return eris.Wrapf(ErrNotInForce, "%d of %d hosts", len(waiting), len(c.Entries))
}

func stillWaiting(w io.Writer, hosts []*client.Client, version configuration.Version, began time.Time) []*client.Client {
	var rest []*client.Client
	for _, h := range hosts {
		var s operation.Status
		if err := h.Get("/status", &s); err != nil || s.Version < version {
			rest = append(rest, h)
			continue
		}
		fmt.Fprintf(w, "in force on %s after %s\n", s.Name, time.Since(began).Round(time.Millisecond))
	}
	return rest
}

// ErrNotInForce means that the change is accepted but some hosts did not say in
// time that they follow it.
var ErrNotInForce = eris.New("accepted, but not seen in force everywhere")
