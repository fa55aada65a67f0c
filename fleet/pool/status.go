package pool

import (
	"time"

	"github.com/godwitcross/godwitcross/fleet/budget"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/wave"
)

// WaveState is how a wave stands.
type WaveState string

// The states of a wave.
const (
	WavePaused  WaveState = "Paused"
	WaveAborted WaveState = "Aborted"
	// WaveNoFit waves are due and not started, because their forecast is too late.
	WaveNoFit WaveState = "DoesNotFit"
	// WaveDue waves start their next pass now.
	WaveDue WaveState = "Due"
	// WaveWaiting waves wait for their window or their period.
	WaveWaiting WaveState = "Waiting"
	WaveRunning WaveState = "Running"
	WaveDone    WaveState = "Done"
)

// WaveStatus is what operators see of a wave.
type WaveStatus struct {
	ID    inventory.WaveID
	Owner inventory.OwnerID
	State WaveState
	// Reason is set for a wave that does not fit.
	Reason   string    `json:",omitempty"`
	Pass     wave.Pass `json:",omitempty"`
	Started  time.Time `json:",omitzero"`
	Finished time.Time `json:",omitzero"`
	// ForecastAtStart was made when the pass started, Forecast now.
	ForecastAtStart time.Time `json:",omitzero"`
	Forecast        time.Time `json:",omitzero"`
	// Rebooted hosts are those whose reboot began in the pass; Left ones wait for
	// it. Failed ones are in neither.
	Rebooted int
	Left     int
	Failed   int
}

// NewWaveStatus returns how the wave stands at the moment.
func NewWaveStatus(now time.Time, cfg configuration.Configuration, v *View, id inventory.WaveID) WaveStatus {
	w, p := cfg.Waves[id], v.Waves[id]
	s := WaveStatus{
		ID: id, Owner: w.Owner, Pass: p.Pass, Started: p.Started, Finished: p.Finished,
		ForecastAtStart: p.Forecast, Rebooted: len(p.Rebooted),
	}
	due := isDue(now, w, p)
	scope := p
	if due {
		scope = wave.Progress{}
	}
	var left []wave.Candidate
	for _, p := range w.Pools {
		left = append(left, unordered(v, p, scope)...)
	}
	s.Left, s.Failed = len(left), v.failedIn(w.Pools)
	end, err := wave.Check(now, w, left, v, hostDuration(w, p))
	s.Forecast = end
	_, open := wave.NewWindow(w).Open(now)
	switch {
	case w.Aborted:
		s.State = WaveAborted
	case w.Paused:
		s.State = WavePaused
	case due && err != nil && !w.Overrun:
		s.State, s.Reason = WaveNoFit, err.Error()
	case due && open:
		s.State = WaveDue
	case due:
		s.State = WaveWaiting
	case s.Left == 0 && !v.isWaveActive(id):
		s.State = WaveDone
	case open:
		s.State = WaveRunning
	default:
		s.State = WaveWaiting
	}
	return s
}

func (v *View) failedIn(pools []inventory.PoolID) int {
	n := 0
	for _, p := range pools {
		n += v.Count(budget.Domain{Pool: p}).Failed
	}
	return n
}

// isWaveActive reports whether the wave disturbs a host.
func (v *View) isWaveActive(id inventory.WaveID) bool {
	for host := range v.Active {
		if v.Hosts[host].Wave == id {
			return true
		}
	}
	return false
}
