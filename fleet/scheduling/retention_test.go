package scheduling

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/job"
)

// A new leader whose wall clock was an hour ahead forgot all ended jobs at once: their callers were told that
// they don't exist (LOST), and a repeated submission ran again (TWICE).
func TestClockAheadForgetsNoEndedJob(t *testing.T) {
	ended := job.ID("00112233445566ab")
	wall := testStart.UnixMilli()
	running := testJob(1)
	running.AcceptedAt = wall - 100
	restored := Restored{Jobs: []job.Job{running}, Progress: map[job.ID]job.Progress{ended: {State: job.Completed, EndedAt: wall - 1000}}}
	for name, ahead := range map[string]time.Duration{"exact": 0, "ahead": time.Hour} {
		t.Run(name, func(t *testing.T) {
			s := New(testStart, testConfig())
			s.Restore(testStart, wall+ahead.Milliseconds(), restored)
			s.Forget(testStart.Add(s.cfg.Retention - 2*time.Second))
			_, _, known := s.State(ended)
			require.True(t, known)
			s.Forget(testStart.Add(s.cfg.Retention))
			_, _, known = s.State(ended)
			require.False(t, known)
		})
	}
}
