package pool

import (
	"time"

	"github.com/godwitcross/godwitcross/fleet/budget"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/wave"
)

// WaveState is the state of a wave.
type WaveState string

// The states of a wave.
const (
	WavePaused  WaveState = "Paused"
	WaveAborted WaveState = "Aborted"
	// WaveNoFit waves are due but not started, because the forecast says that they would
	// end too late.
	WaveNoFit WaveState = "DoesNotFit"
	// WaveDue waves can start their next pass now.
	WaveDue WaveState = "Due"
	// WaveWaiting waves wait for their window or for the next period.
	WaveWaiting WaveState = "Waiting"
	WaveRunning WaveState = "Running"
	WaveDone    WaveState = "Done"
)

// WaveStatus is a wave as reported to operators.
type WaveStatus struct {
	ID    inventory.WaveID
	Owner inventory.OwnerID
	State WaveState
	// Reason is set in the state WaveNoFit.
	Reason   string    `json:",omitempty"`
	Pass     wave.Pass `json:",omitempty"`
	Started  time.Time `json:",omitzero"`
	Finished time.Time `json:",omitzero"`
	// ForecastAtStart was made when the pass started; Forecast is the current one.
	ForecastAtStart time.Time `json:",omitzero"`
	Forecast        time.Time `json:",omitzero"`
	// Rebooted counts the hosts whose reboot started in the pass, and Left those that
	// still have to reboot. Left doesn't include failed hosts.
	Rebooted int
	Left     int
	Failed   int
}

// NewWaveStatus returns the status of a wave at the time now.
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
	var pending []wave.Candidate
	for _, p := range w.Pools {
		pending = append(pending, unorderedCandidates(v, p, scope)...)
	}
	s.Left, s.Failed = len(pending), v.countFailed(w.Pools)
	end, err := wave.ForecastInPeriod(now, w, pending, v, hostDowntime(w, p))
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

func (v *View) countFailed(pools []inventory.PoolID) int {
	n := 0
	for _, p := range pools {
		n += v.Count(budget.Domain{Pool: p}).Failed
	}
	return n
}

// isWaveActive reports whether a host drains or reboots for the wave.
func (v *View) isWaveActive(id inventory.WaveID) bool {
	for host := range v.Active {
		if v.Hosts[host].Wave == id {
			return true
		}
	}
	return false
}
