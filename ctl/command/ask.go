package command

import (
	"errors"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/ctl/client"
)

// Get reads a path from the first entry host that answers.
func (c *Connection) Get(path string, into any) error {
	return c.ask(func(h *client.Client) error { return h.Get(path, into) })
}

// Post sends a body through the first entry host that takes it. Another host is
// tried only if nothing of the request went out.
func (c *Connection) Post(path string, body, into any) error {
	return c.ask(func(h *client.Client) error { return h.Post(path, body, into) })
}

func (c *Connection) ask(f func(h *client.Client) error) error {
	err := eris.Wrap(client.ErrUnreachable, "--entry names no host")
	for _, h := range c.Clients() {
		if err = f(h); !errors.Is(err, client.ErrUnreachable) {
			return err
		}
	}
	return err
}
