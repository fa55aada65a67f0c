package pool

import (
	"time"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// MaxToldAge is how long an answer of the platform is believed. Then the command
// is sent again, which changes nothing and tells the state.
const MaxToldAge = time.Minute

// Told is what the keeper knows of the platform's hosts. The platform is asked for
// its drained hosts only, because all else follows from the answers to commands;
// so the question stays small while hundreds of hosts are disturbed.
type Told struct {
	hosts map[inventory.HostID]PlatformHost
	at    map[inventory.HostID]time.Time
}

// NewTold returns a Told that knows nothing.
func NewTold() *Told {
	return &Told{hosts: make(map[inventory.HostID]PlatformHost), at: make(map[inventory.HostID]time.Time)}
}

// Listed takes over the platform's list of its drained hosts.
func (t *Told) Listed(now time.Time, drained []PlatformHost) {
	listed := make(map[inventory.HostID]bool, len(drained))
	for _, h := range drained {
		listed[h.ID] = true
		t.Answered(now, h)
	}
	for id, h := range t.hosts {
		if !listed[id] && (h.State == PlatformDrained || now.Sub(t.at[id]) > MaxToldAge) {
			delete(t.hosts, id)
			delete(t.at, id)
		}
	}
}

// Answered takes over the answer to a command.
func (t *Told) Answered(now time.Time, h PlatformHost) {
	t.hosts[h.ID], t.at[h.ID] = h, now
}

// Hosts returns what is known. The platform has admitted all other hosts, or is
// still draining or rebooting them.
func (t *Told) Hosts() map[inventory.HostID]PlatformHost {
	return t.hosts
}
