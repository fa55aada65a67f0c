package leader

import (
	"strings"

	"github.com/godwitcross/godwitcross/entry/metric"

	"github.com/godwitcross/godwitcross/fleet/job"
)

// Keys of the work stream.
const (
	acceptedPrefix  = "j/"
	cancelledPrefix = "c/"
	// keyLeader is the key of the marker that a leader appends when it takes over. Work
	// after the marker belongs to that leader. The stored key stays "o", for owner.
	keyLeader = "o"
)

// AcceptedKey returns the key of an accepted job.
func AcceptedKey(id job.ID) string {
	return acceptedPrefix + string(id)
}

// CancelledKey returns the key of a job's cancellation.
func CancelledKey(id job.ID) string {
	return cancelledPrefix + string(id)
}

// jobIDFromKey returns the job ID after the prefix. It returns false if the key doesn't
// have the prefix.
func jobIDFromKey(key, prefix string) (job.ID, bool) {
	rest, ok := strings.CutPrefix(key, prefix)
	return job.ID(rest), ok
}

func metricLabel(name, value string) metric.Label {
	return metric.Label{Name: name, Value: value}
}
