package platform

import (
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/pool"
	"github.com/godwitcross/godwitcross/fleet/wave"
)

// hostCommand is the body of a command to a host.
type hostCommand struct {
	Epoch  journal.Epoch
	Reboot wave.RebootID `json:",omitempty"`
}

// DrainedHosts returns the hosts that are drained and neither reboot nor are
// admitted.
func (c *Client) DrainedHosts() ([]pool.PlatformHost, error) {
	var hosts []pool.PlatformHost
	err := c.call(fasthttp.MethodGet, "/pools/hosts?State="+string(pool.PlatformDrained), nil, &hosts, CallTimeout)
	return hosts, err
}

// Command sends a command to a host and returns the host as the platform tells of
// it afterwards. After ErrUncertain the command may have taken effect; it is
// idempotent. ErrRefused means an older epoch, or a host that the platform does
// not know.
func (c *Client) Command(cmd pool.Command, epoch journal.Epoch) (pool.PlatformHost, error) {
	var h pool.PlatformHost
	path := "/pools/hosts/" + string(cmd.Host) + "/" + string(cmd.Verb)
	err := c.call(fasthttp.MethodPost, path, hostCommand{Epoch: epoch, Reboot: cmd.Reboot}, &h, CallTimeout)
	return h, err
}
