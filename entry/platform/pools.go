package platform

import (
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/pool"
	"github.com/godwitcross/godwitcross/fleet/wave"
)

// hostCommand is the request body of a command to a host.
type hostCommand struct {
	Epoch  journal.Epoch
	Reboot wave.RebootID `json:",omitempty"`
}

// DrainedHosts returns the hosts that are drained and are neither rebooting nor admitted.
func (c *Client) DrainedHosts() ([]pool.PlatformHost, error) {
	var hosts []pool.PlatformHost
	err := c.call(fasthttp.MethodGet, "/pools/hosts?State="+string(pool.PlatformDrained), nil, &hosts, CallTimeout)
	return hosts, err
}

// Command sends a command to a host and returns the host's state after it, as the platform
// reports it. After ErrUncertain the command may have taken effect; it is idempotent, so it
// can be repeated. ErrRefused means that the platform has seen a newer epoch or doesn't
// know the host.
func (c *Client) Command(cmd pool.Command, epoch journal.Epoch) (pool.PlatformHost, error) {
	var h pool.PlatformHost
	path := "/pools/hosts/" + string(cmd.Host) + "/" + string(cmd.Verb)
	err := c.call(fasthttp.MethodPost, path, hostCommand{Epoch: epoch, Reboot: cmd.Reboot}, &h, CallTimeout)
	return h, err
}
