// Package capacity decides how many hosts a pool should hold. A pool keeps a buffer for
// peaks in busy hours and releases hosts to the spare pool in quiet hours.
package capacity

import (
	"slices"
	"time"
)

// Hosts is a number of whole hosts.
type Hosts int

// Observation is the demand of a pool since the last decision, and its current size.
type Observation struct {
	// PeakDemand is the highest number of hosts that its jobs requested at one time.
	PeakDemand Hosts
	// CurrentHosts is the number of hosts that the pool holds, including hosts in transit
	// to it.
	CurrentHosts Hosts
}

// Policy decides the size of one pool. It is called at regular intervals.
type Policy interface {
	// TargetHosts returns the number of hosts that the pool should hold from now on.
	TargetHosts(now time.Time, o Observation) Hosts
}

// FixedShare is a policy that always holds the same number of hosts.
type FixedShare struct {
	Hosts Hosts
}

// TargetHosts returns the fixed number of hosts.
func (f FixedShare) TargetHosts(time.Time, Observation) Hosts {
	return f.Hosts
}

// PeakOfWindow is a policy that holds the highest peak of a sliding window.
type PeakOfWindow struct {
	window time.Duration
	// peaks is in chronological order and strictly decreasing: a peak is dropped once a
	// later one is at least as high.
	peaks []timedPeak
}

type timedPeak struct {
	at   time.Time
	peak Hosts
}

// NewPeakOfWindow returns a policy with a sliding window of the given length.
func NewPeakOfWindow(window time.Duration) *PeakOfWindow {
	return &PeakOfWindow{window: window}
}

// TargetHosts returns the highest peak within the window.
func (p *PeakOfWindow) TargetHosts(now time.Time, o Observation) Hosts {
	for len(p.peaks) > 0 && p.peaks[len(p.peaks)-1].peak <= o.PeakDemand {
		p.peaks = p.peaks[:len(p.peaks)-1]
	}
	p.peaks = append(p.peaks, timedPeak{now, o.PeakDemand})
	for now.Sub(p.peaks[0].at) > p.window {
		p.peaks = p.peaks[1:]
	}
	return p.peaks[0].peak
}

// minRiseFactor is the least ratio between the expected peaks of a slot and of the slot
// before it at which hosts are added ahead of time.
const minRiseFactor = 1.5

// ForecastConfig configures a Forecast.
type ForecastConfig struct {
	// Slot is the length of the time slots of a day whose peaks are compared between
	// days. It divides a day evenly.
	Slot time.Duration
	// HistoryDays is the number of past peaks kept for each slot, one per day.
	HistoryDays int
	// Quantile, from 0 to 1, selects the expected peak of a slot from its past peaks.
	Quantile float64
	// LeadTime is how long before the start of a slot its hosts are requested. It covers
	// the time that a move takes.
	LeadTime time.Duration
	// RecentWindow is how long a peak of today is held, whatever the past days show.
	RecentWindow time.Duration
	// ScaleDownDelay is how long the pool must have excess hosts before any are released.
	ScaleDownDelay time.Duration
	// MinScaleDown is the smallest number of hosts that are released at once.
	MinScaleDown Hosts
}

// Forecast holds a quantile of the peaks of the same time slot on the past days, or the
// recent peak of today if that is higher. Hysteresis keeps hosts from moving back and
// forth: hosts are added at once, but released only after a delay and several at a time.
type Forecast struct {
	cfg    ForecastConfig
	recent *PeakOfWindow
	// peaks holds the last HistoryDays peaks of each slot of the day, oldest first.
	peaks map[int][]Hosts
	// slot is the current slot of the day, -1 before the first observation, and peak is
	// its highest peak so far.
	slot int
	peak Hosts
	// excessSince is when the pool began to hold at least MinScaleDown hosts too many;
	// zero if it doesn't.
	excessSince time.Time
}

// NewForecast returns a forecast without history.
func NewForecast(cfg ForecastConfig) *Forecast {
	return &Forecast{cfg: cfg, recent: NewPeakOfWindow(cfg.RecentWindow), peaks: make(map[int][]Hosts), slot: -1}
}

// TargetHosts returns the number of hosts to hold, based on the forecast and recent
// demand.
func (f *Forecast) TargetHosts(now time.Time, o Observation) Hosts {
	f.recordPeak(now, o.PeakDemand)
	want := max(f.recent.TargetHosts(now, o), f.slotStartForecast(now))
	if want >= o.CurrentHosts || o.CurrentHosts-want < f.cfg.MinScaleDown {
		f.excessSince = time.Time{}
		return max(want, o.CurrentHosts)
	}
	if f.excessSince.IsZero() {
		f.excessSince = now
	}
	if now.Sub(f.excessSince) < f.cfg.ScaleDownDelay {
		return o.CurrentHosts
	}
	return want
}

// slotStartForecast returns the expected peak of a slot that starts within LeadTime or has
// just started, if it is at least minRiseFactor times that of the slot before. Otherwise
// it returns 0, as today's peaks are the better estimate, for example on a holiday.
func (f *Forecast) slotStartForecast(now time.Time) Hosts {
	soon := now.Add(f.cfg.LeadTime)
	isSlotStart := f.slotOf(soon) != f.slotOf(now) || now.Sub(now.Truncate(f.cfg.Slot)) < f.cfg.RecentWindow
	expected := f.expectedPeak(soon)
	if !isSlotStart || float64(expected) < minRiseFactor*float64(f.expectedPeak(soon.Add(-f.cfg.Slot))) {
		return 0
	}
	return expected
}

func (f *Forecast) slotOf(now time.Time) int {
	return int(now.Sub(now.Truncate(24*time.Hour)) / f.cfg.Slot)
}

func (f *Forecast) recordPeak(now time.Time, peak Hosts) {
	if s := f.slotOf(now); s != f.slot {
		if f.slot >= 0 {
			f.closeSlot()
		}
		f.slot, f.peak = s, 0
	}
	f.peak = max(f.peak, peak)
}

// closeSlot adds the peak of the slot that has ended to its history.
func (f *Forecast) closeSlot() {
	p := append(f.peaks[f.slot], f.peak)
	if len(p) > f.cfg.HistoryDays {
		p = p[1:]
	}
	f.peaks[f.slot] = p
}

// expectedPeak returns the configured quantile of the past peaks of the slot that
// contains the time, or 0 without history.
func (f *Forecast) expectedPeak(at time.Time) Hosts {
	p := f.peaks[f.slotOf(at)]
	if len(p) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(p))
	return sorted[min(int(f.cfg.Quantile*float64(len(sorted))), len(sorted)-1)]
}
