package command

import (
	"errors"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/ctl/client"
)

// Get requests a path from the first entry host that answers.
func (c *Connection) Get(path string, into any) error {
	return c.withFailover(func(h *client.Client) error { return h.Get(path, into) })
}

// Post sends a body to the first reachable entry host. It tries the next host only if
// no part of the request was sent.
func (c *Connection) Post(path string, body, into any) error {
	return c.withFailover(func(h *client.Client) error { return h.Post(path, body, into) })
}

// withFailover calls f with the client of each entry host in turn until f returns
// anything but ErrUnreachable.
func (c *Connection) withFailover(f func(h *client.Client) error) error {
	err := eris.Wrap(client.ErrUnreachable, "--entry names no host")
	for _, h := range c.Clients() {
		if err = f(h); !errors.Is(err, client.ErrUnreachable) {
			return err
		}
	}
	return err
}
