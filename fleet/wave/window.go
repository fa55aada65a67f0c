package wave

import (
	"time"

	"github.com/godwitcross/godwitcross/fleet/configuration"
)

const day = 24 * time.Hour

// Window is the part of each day in which a wave may disturb hosts.
type Window struct {
	// Start counts from midnight UTC.
	Start time.Duration
	// Length is at most a day.
	Length time.Duration
}

// NewWindow returns the window of a configured wave.
func NewWindow(w configuration.Wave) Window {
	return Window{Start: w.Start.Std(), Length: w.Window.Std()}
}

// Open returns the end of the window that is open at the moment. A window of a
// whole day never closes.
func (w Window) Open(now time.Time) (time.Time, bool) {
	if w.Length >= day {
		return now.Add(day), true
	}
	begin := now.UTC().Truncate(day).Add(w.Start)
	for _, b := range []time.Time{begin.Add(-day), begin} {
		if end := b.Add(w.Length); !now.Before(b) && now.Before(end) {
			return end, true
		}
	}
	return time.Time{}, false
}

// Next returns the moment itself while the window is open, else its next start.
func (w Window) Next(now time.Time) time.Time {
	if _, open := w.Open(now); open {
		return now
	}
	begin := now.UTC().Truncate(day).Add(w.Start)
	for begin.Before(now) {
		begin = begin.Add(day)
	}
	return begin
}

// Fits reports whether work of the length that begins now ends in the window.
func (w Window) Fits(now time.Time, length time.Duration) bool {
	end, open := w.Open(now)
	return open && !now.Add(length).After(end)
}
