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
	// keyLeader marks in the order of the work where an owner took over.
	keyLeader = "o"
)

// AcceptedKey is the key of an accepted job.
func AcceptedKey(id job.ID) string {
	return acceptedPrefix + string(id)
}

// CancelledKey is the key of a job's cancellation.
func CancelledKey(id job.ID) string {
	return cancelledPrefix + string(id)
}

// jobIDOf returns the job that a key with the prefix is about.
func jobIDOf(key, prefix string) (job.ID, bool) {
	rest, ok := strings.CutPrefix(key, prefix)
	return job.ID(rest), ok
}

func metricLabel(name, value string) metric.Label {
	return metric.Label{Name: name, Value: value}
}
