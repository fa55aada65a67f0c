package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/godwitcross/godwitcross/fleet/operation"
)

// hostStatus is a host's status, or the error of requesting it.
type hostStatus struct {
	Address string
	operation.Status
	Error string `json:",omitempty"`
}

func newStatus(c *Connection) *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show the status of each entry host",
		Description: "Example: ctl --entry 127.0.0.1:8081 status",
		Action: func(_ context.Context, cmd *cli.Command) error {
			var all []hostStatus
			for _, h := range c.Clients() {
				s := hostStatus{Address: h.Address()}
				if err := h.Get("/status", &s.Status); err != nil {
					s.Error = err.Error()
				}
				all = append(all, s)
			}
			return printItems(cmd.Root().Writer, c.Output, all, "ADDRESS\tNAME\tREADY\tVERSION\tAPPLIED\tDIGEST", func(s hostStatus) string {
				ready := "yes"
				if s.NotReady+s.Error != "" {
					ready = s.NotReady + s.Error
				}
				return fmt.Sprintf("%s\t%s\t%s\t%d\t%d\t%016x", s.Address, s.Name, ready, s.Version, s.Next, s.Digest)
			})
		},
	}
}

// printItems writes the items as a table with one line per item, or as JSON.
func printItems[T any](w io.Writer, output string, items []T, header string, line func(T) string) error {
	if output == "json" {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(items)
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, header)
	for _, i := range items {
		fmt.Fprintln(t, line(i))
	}
	return t.Flush()
}
