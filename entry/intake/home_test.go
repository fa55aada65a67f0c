package intake

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/job"
)

// All hosts derive the same home data centre for a job, and jobs are spread evenly.
func TestHomeDataCentre(t *testing.T) {
	centres := []string{"a", "b", "c"}
	one, other := New(Config{DataCentres: centres}), New(Config{DataCentres: centres})
	count := make(map[string]int)
	for i := range 3000 {
		j := job.Job{ID: job.ID(fmt.Sprintf("%016x", i*7919)), Steps: []job.Step{{Count: 1}}}
		require.Equal(t, one.homeDataCentre(j), other.homeDataCentre(j))
		count[one.homeDataCentre(j)]++
	}
	for _, c := range centres {
		require.InDelta(t, 1000, count[c], 150, c)
	}
}

func TestJobsWithoutHomeDataCentre(t *testing.T) {
	in := New(Config{DataCentres: []string{"a"}})
	require.Equal(t, "a", in.homeDataCentre(job.Job{Steps: []job.Step{{Count: 1}}}))
	require.Empty(t, in.homeDataCentre(job.Job{Steps: []job.Step{{Count: 1}, {Count: 1, LongRunning: true}}}))
	require.Empty(t, in.homeDataCentre(job.Job{Steps: []job.Step{{Count: 1, Affinity: "r1"}}}))
	require.Empty(t, New(Config{}).homeDataCentre(job.Job{Steps: []job.Step{{Count: 1}}}), "no data centres are configured")
}
