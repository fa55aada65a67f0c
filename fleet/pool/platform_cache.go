package pool

import (
	"time"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// MaxPlatformStateAge is how long an answer of the platform is valid. After that the
// command is sent again, which is idempotent and returns the current state.
const MaxPlatformStateAge = time.Minute

// PlatformCache caches the host states that the platform reported to the keeper. The
// keeper lists only the drained hosts, because the other states follow from the answers
// to commands. This keeps the list small while hundreds of hosts are drained or rebooted.
type PlatformCache struct {
	hosts   map[inventory.HostID]PlatformHost
	updated map[inventory.HostID]time.Time
}

// NewPlatformCache returns an empty PlatformCache.
func NewPlatformCache() *PlatformCache {
	return &PlatformCache{hosts: make(map[inventory.HostID]PlatformHost), updated: make(map[inventory.HostID]time.Time)}
}

// SetDrained stores the platform's list of drained hosts.
func (c *PlatformCache) SetDrained(now time.Time, drained []PlatformHost) {
	listed := make(map[inventory.HostID]bool, len(drained))
	for _, h := range drained {
		listed[h.ID] = true
		c.SetHost(now, h)
	}
	for id, h := range c.hosts {
		if !listed[id] && (h.State == PlatformDrained || now.Sub(c.updated[id]) > MaxPlatformStateAge) {
			delete(c.hosts, id)
			delete(c.updated, id)
		}
	}
}

// SetHost stores the answer to a command.
func (c *PlatformCache) SetHost(now time.Time, h PlatformHost) {
	c.hosts[h.ID], c.updated[h.ID] = h, now
}

// Hosts returns the cached states. The platform has admitted all other hosts, or is
// still draining or rebooting them.
func (c *PlatformCache) Hosts() map[inventory.HostID]PlatformHost {
	return c.hosts
}
