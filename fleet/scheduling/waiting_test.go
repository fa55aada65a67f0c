package scheduling

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// waitingFaultKinds are the faults and requests that may affect the count of waiting jobs.
var waitingFaultKinds = slices.Concat(faultKinds, []string{
	"workers unhealthy", "burst of jobs", "jobs that fit nowhere", "scheduled jobs", "records repeated", "cancelled before it arrives",
})

// simulateWaiting simulates 12 s in which leaders forget ended jobs.
func simulateWaiting(seed int64, planned []plannedFault) *world {
	w := newDay(seed, planned)
	w.forgetInterval = 2 * time.Second
	w.cfg.Retention, w.leaders[0].s.cfg.Retention = 5*time.Second, 5*time.Second
	w.run(12 * time.Second)
	return w
}

// A leader must not report fewer waiting jobs than it was given, whatever happened to
// workers, to earlier leaders and to its orders.
func TestWaitingJobsAreNotUndercounted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := simulateWaiting(rapid.Int64Range(0, 1<<40).Draw(t, "seed"), drawFaults(t, waitingFaultKinds, 10, 75))
		require.Empty(t, slices.DeleteFunc(w.violations, func(v string) bool { return !strings.HasPrefix(v, "MIXED") }))
	})
}
