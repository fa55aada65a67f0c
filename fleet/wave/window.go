package wave

import (
	"time"

	"github.com/godwitcross/godwitcross/fleet/configuration"
)

const day = 24 * time.Hour

// Window is the part of each day in which a wave may disrupt hosts.
type Window struct {
	// Start is the time since midnight UTC.
	Start time.Duration
	// Length is at most one day.
	Length time.Duration
}

// NewWindow returns the window of the configured wave.
func NewWindow(w configuration.Wave) Window {
	return Window{Start: w.Start.AsDuration(), Length: w.Window.AsDuration()}
}

// Open returns the end of the window that is open at now, and whether one is open. A
// window as long as a day never closes.
func (w Window) Open(now time.Time) (time.Time, bool) {
	if w.Length >= day {
		return now.Add(day), true
	}
	todayStart := now.UTC().Truncate(day).Add(w.Start)
	for _, start := range []time.Time{todayStart.Add(-day), todayStart} {
		if end := start.Add(w.Length); !now.Before(start) && now.Before(end) {
			return end, true
		}
	}
	return time.Time{}, false
}

// Next returns now if the window is open, and otherwise the next start of the window.
func (w Window) Next(now time.Time) time.Time {
	if _, open := w.Open(now); open {
		return now
	}
	start := now.UTC().Truncate(day).Add(w.Start)
	for start.Before(now) {
		start = start.Add(day)
	}
	return start
}

// Fits reports whether work that starts now and takes length ends within the window.
func (w Window) Fits(now time.Time, length time.Duration) bool {
	end, open := w.Open(now)
	return open && !now.Add(length).After(end)
}
