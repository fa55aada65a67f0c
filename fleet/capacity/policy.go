// Package capacity decides how many hosts a pool holds: a buffer against peaks in
// busy hours, and hosts for the spare pool in quiet ones.
package capacity

import (
	"slices"
	"time"
)

// Hosts counts whole hosts.
type Hosts int

// Observation is what a pool asked for since the last decision.
type Observation struct {
	// Peak is the most hosts that its jobs asked for at one moment.
	Peak Hosts
	// Held is how many hosts the pool holds, those on their way included.
	Held Hosts
}

// Policy decides the size of one pool. It is asked at even intervals.
type Policy interface {
	// Want returns how many hosts the pool should hold from now on.
	Want(now time.Time, o Observation) Hosts
}

// FixedShare always holds the same number of hosts.
type FixedShare struct {
	Hosts Hosts
}

// Want returns the fixed number.
func (f FixedShare) Want(time.Time, Observation) Hosts {
	return f.Hosts
}

// PeakOfWindow holds the highest peak of the last time.
type PeakOfWindow struct {
	window time.Duration
	// peaks are in order of time, and each is lower than the one before it.
	peaks []datedPeak
}

type datedPeak struct {
	at   time.Time
	peak Hosts
}

// NewPeakOfWindow returns a policy that looks back as long as the window.
func NewPeakOfWindow(window time.Duration) *PeakOfWindow {
	return &PeakOfWindow{window: window}
}

// Want returns the highest peak that is not older than the window.
func (p *PeakOfWindow) Want(now time.Time, o Observation) Hosts {
	for len(p.peaks) > 0 && p.peaks[len(p.peaks)-1].peak <= o.Peak {
		p.peaks = p.peaks[:len(p.peaks)-1]
	}
	p.peaks = append(p.peaks, datedPeak{now, o.Peak})
	for now.Sub(p.peaks[0].at) > p.window {
		p.peaks = p.peaks[1:]
	}
	return p.peaks[0].peak
}

// riseFactor is how much more a slot must be expected to need than the one before
// it, so that hosts are taken beforehand.
const riseFactor = 1.5

// ForecastConfig is what a forecast is built from.
type ForecastConfig struct {
	// Slot is the part of a day whose peaks are compared between days. It divides
	// a day evenly.
	Slot time.Duration
	// Days is how many days are remembered for each slot.
	Days int
	// Quantile of the remembered peaks is held, from 0 to 1.
	Quantile float64
	// Lead is how early hosts are wanted, the time that a move takes.
	Lead time.Duration
	// Recent is how long a peak of today is held although no day before had it.
	Recent time.Duration
	// Hold is how long fewer hosts must be wanted before any are given up.
	Hold time.Duration
	// Step is the least number of hosts that are given up.
	Step Hosts
}

// Forecast holds a quantile of the peaks that the same time of the last days had,
// and what today has asked for lately. Hysteresis keeps hosts from moving to and
// fro: it takes hosts at once and gives them up late and several at a time.
type Forecast struct {
	cfg    ForecastConfig
	recent *PeakOfWindow
	// peaks holds the last Days peaks of each slot of the day, oldest first.
	peaks map[int][]Hosts
	// slot is the slot of the day that is going on, and peak its highest so far.
	slot int
	peak Hosts
	// lowerSince is since when fewer hosts are wanted; zero while none are.
	lowerSince time.Time
}

// NewForecast returns a forecast that remembers no day.
func NewForecast(cfg ForecastConfig) *Forecast {
	return &Forecast{cfg: cfg, recent: NewPeakOfWindow(cfg.Recent), peaks: make(map[int][]Hosts), slot: -1}
}

// Want returns the hosts to hold.
func (f *Forecast) Want(now time.Time, o Observation) Hosts {
	f.remember(now, o.Peak)
	want := max(f.recent.Want(now, o), f.beginning(now))
	if want >= o.Held || o.Held-want < f.cfg.Step {
		f.lowerSince = time.Time{}
		return max(want, o.Held)
	}
	if f.lowerSince.IsZero() {
		f.lowerSince = now
	}
	if now.Sub(f.lowerSince) < f.cfg.Hold {
		return o.Held
	}
	return want
}

// beginning returns what is expected of a slot that begins soon or has just begun,
// if more is expected than of the slot before. Otherwise today's own peaks tell
// more, for example on a holiday.
func (f *Forecast) beginning(now time.Time) Hosts {
	soon := now.Add(f.cfg.Lead)
	isEdge := f.slotOf(soon) != f.slotOf(now) || now.Sub(now.Truncate(f.cfg.Slot)) < f.cfg.Recent
	expected := f.expected(soon)
	if !isEdge || float64(expected) < riseFactor*float64(f.expected(soon.Add(-f.cfg.Slot))) {
		return 0
	}
	return expected
}

func (f *Forecast) slotOf(now time.Time) int {
	return int(now.Sub(now.Truncate(24*time.Hour)) / f.cfg.Slot)
}

func (f *Forecast) remember(now time.Time, peak Hosts) {
	if s := f.slotOf(now); s != f.slot {
		if f.slot >= 0 {
			f.close()
		}
		f.slot, f.peak = s, 0
	}
	f.peak = max(f.peak, peak)
}

// close adds the peak of the slot that ended.
func (f *Forecast) close() {
	p := append(f.peaks[f.slot], f.peak)
	if len(p) > f.cfg.Days {
		p = p[1:]
	}
	f.peaks[f.slot] = p
}

// expected returns the quantile of the remembered peaks of a moment's slot.
func (f *Forecast) expected(at time.Time) Hosts {
	p := f.peaks[f.slotOf(at)]
	if len(p) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(p))
	return sorted[min(int(f.cfg.Quantile*float64(len(sorted))), len(sorted)-1)]
}
