// Package fairness decides which jobs of a workspace are within its share.
package fairness

import (
	"time"

	"github.com/godwitcross/godwitcross/fleet/workspace"
)

// DefaultWindow is the window of a Meter if none is configured.
const DefaultWindow = 5 * time.Second

// Meter counts the jobs of each workspace that are within its share: in each window, as many as its
// weight allows a second on average. Jobs beyond that don't use up the share, so a workspace that
// sends too many still gets all of its share.
type Meter struct {
	window time.Duration
	// counted are the times of the jobs within the share in the last window, in order. There are never more
	// than the weight times the window.
	counted map[workspace.Name][]time.Time
}

// NewMeter returns a meter with a window, or with DefaultWindow if that is 0.
func NewMeter(window time.Duration) *Meter {
	if window <= 0 {
		window = DefaultWindow
	}
	return &Meter{window: window, counted: make(map[workspace.Name][]time.Time)}
}

// Count counts a job that its workspace sent at a time, and reports whether it is beyond the share. Jobs of a
// workspace are counted in the order of their times; an earlier time than the last counts as the last. No
// job is beyond the share of a workspace without a weight.
func (m *Meter) Count(at time.Time, w workspace.Workspace) bool {
	if w.Weight <= 0 {
		return false
	}
	counted := m.counted[w.Name]
	if n := len(counted); n > 0 && at.Before(counted[n-1]) {
		at = counted[n-1]
	}
	expired := 0
	for expired < len(counted) && !counted[expired].After(at.Add(-m.window)) {
		expired++
	}
	counted = counted[expired:]
	isBeyond := float64(len(counted)) >= w.Weight*m.window.Seconds()
	if !isBeyond {
		counted = append(counted, at)
	}
	m.counted[w.Name] = counted
	return isBeyond
}
