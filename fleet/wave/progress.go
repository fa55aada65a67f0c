// Package wave plans maintenance waves: their time windows, the order of hosts,
// completion forecasts and the progress of each pass.
package wave

import (
	"maps"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// ErrUnexpectedPass means that a pass does not directly follow the last one.
var ErrUnexpectedPass = eris.New("not the next pass of the wave")

// Pass is the number of a pass of a wave, counted from 1.
type Pass int

// RebootID identifies one reboot. The platform runs each at most once.
type RebootID string

// NewRebootID returns the ID of a host's reboot in a pass.
func NewRebootID(w inventory.WaveID, p Pass, h inventory.HostID) RebootID {
	return RebootID(string(w) + "/" + strconv.Itoa(int(p)) + "/" + string(h))
}

// Progress is the progress of the current pass of a wave.
type Progress struct {
	// Pass is 0 before the first start and never decreases.
	Pass    Pass
	Started time.Time
	// Finished is set once the pass has no hosts left to reboot.
	Finished time.Time `json:",omitzero"`
	// Forecast is the end of the pass as estimated at its start.
	Forecast time.Time `json:",omitzero"`
	// Rebooted holds the hosts whose reboot began in this pass. A host is rebooted only
	// once in a pass.
	Rebooted map[inventory.HostID]struct{} `json:",omitempty"`
	// Admitted counts the hosts that returned to service, and TotalDowntime is the sum of
	// the times that they were unavailable.
	Admitted      int           `json:",omitempty"`
	TotalDowntime time.Duration `json:"Away,omitempty"`
}

// Start returns the progress at the start of the pass next, or ErrUnexpectedPass if
// next does not directly follow the current pass.
func (p Progress) Start(next Pass, at, forecast time.Time) (Progress, error) {
	if next != p.Pass+1 {
		return p, eris.Wrapf(ErrUnexpectedPass, "pass %d follows pass %d", next, p.Pass)
	}
	return Progress{Pass: next, Started: at, Forecast: forecast, Rebooted: make(map[inventory.HostID]struct{})}, nil
}

// Clone returns a deep copy of p.
func (p Progress) Clone() Progress {
	p.Rebooted = maps.Clone(p.Rebooted)
	return p
}

// Duration returns the mean time that a host is unavailable, or expected as long as no
// host has returned to service.
func (p Progress) Duration(expected time.Duration) time.Duration {
	if p.Admitted == 0 {
		return expected
	}
	return p.TotalDowntime / time.Duration(p.Admitted)
}
