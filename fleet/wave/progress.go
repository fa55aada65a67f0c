// Package wave plans maintenance waves: windows, the order of hosts, forecasts
// and the progress of each pass.
package wave

import (
	"maps"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// ErrPass is returned for a start that does not follow the last pass.
var ErrPass = eris.New("not the next pass of the wave")

// Pass counts the passes of a wave from 1.
type Pass int

// RebootID names one reboot; the platform runs each at most once.
type RebootID string

// NewRebootID returns the identity of the reboot of a host in a pass.
func NewRebootID(w inventory.WaveID, p Pass, h inventory.HostID) RebootID {
	return RebootID(string(w) + "/" + strconv.Itoa(int(p)) + "/" + string(h))
}

// Progress is how far the current pass of a wave is.
type Progress struct {
	// Pass is 0 before the first start and never falls.
	Pass    Pass
	Started time.Time
	// Finished is set once no host of the pass is left.
	Finished time.Time `json:",omitzero"`
	// Forecast is the end of the pass as it was foreseen at the start.
	Forecast time.Time `json:",omitzero"`
	// Rebooted holds the hosts whose reboot began in this pass; none of them is
	// rebooted again in it.
	Rebooted map[inventory.HostID]struct{} `json:",omitempty"`
	// Admitted counts the hosts that came back, and Away is the time that they
	// were unavailable together.
	Admitted int           `json:",omitempty"`
	Away     time.Duration `json:",omitempty"`
}

// Start returns the progress at the start of the next pass.
func (p Progress) Start(next Pass, at, forecast time.Time) (Progress, error) {
	if next != p.Pass+1 {
		return p, eris.Wrapf(ErrPass, "pass %d follows pass %d", next, p.Pass)
	}
	return Progress{Pass: next, Started: at, Forecast: forecast, Rebooted: make(map[inventory.HostID]struct{})}, nil
}

// Clone returns a copy that shares nothing with p.
func (p Progress) Clone() Progress {
	p.Rebooted = maps.Clone(p.Rebooted)
	return p
}

// Duration returns how long one host is away on average, or the expectation
// while none came back.
func (p Progress) Duration(expected time.Duration) time.Duration {
	if p.Admitted == 0 {
		return expected
	}
	return p.Away / time.Duration(p.Admitted)
}
