package leader

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"net/url"
	"strings"

	"github.com/godwitcross/godwitcross/entry/metric"
	"github.com/godwitcross/godwitcross/entry/store"
	"github.com/godwitcross/godwitcross/fleet/job"
	"github.com/godwitcross/godwitcross/fleet/scheduling"
	"github.com/godwitcross/godwitcross/fleet/workspace"
)

// Keys of the work stream.
const (
	acceptedPrefix  = "j/"
	cancelledPrefix = "c/"
	// keyLeader is the key of the marker that a leader appends when it takes over. Work
	// after the marker belongs to that leader. The stored key stays "o", for owner.
	keyLeader = "o"
)

// The store takes keys of up to 255 bytes. maxPoolInKey bounds what a key holds of a pool's name,
// maxWorkspaceInKey the escaped name of a workspace; a longer one is replaced by a digest.
const (
	maxPoolInKey      = 200
	maxWorkspaceInKey = 34
)

// workspaceSeparator precedes the workspace in a key. Neither IDs nor escaped names contain it.
const workspaceSeparator = ":"

// AcceptedKey returns the key of a job that was accepted for a pool. A submission that is repeated
// after its queue has got another pool has a key of its own, so that the next leader knows both pools.
// So has a submission by another workspace, which doesn't replace the record of the first.
func AcceptedKey(id job.ID, pool string, by workspace.Name) string {
	return earlierAcceptedKey(id) + workspaceInKey(by) + "/" + pool[:min(len(pool), maxPoolInKey)]
}

// workspaceInKey returns the part of a key that tells apart workspaces, empty for none.
func workspaceInKey(name workspace.Name) string {
	if name == "" {
		return ""
	}
	escaped := url.QueryEscape(string(name))
	if len(escaped) > maxWorkspaceInKey {
		const digestBytes = (maxWorkspaceInKey - len("%-")) / 2
		sum := sha256.Sum256([]byte(name))
		escaped = "%-" + hex.EncodeToString(sum[:digestBytes]) // no escaped name contains "%-"
	}
	return workspaceSeparator + escaped
}

// earlierAcceptedKey returns the key of an accepted job in records of earlier versions of the program.
func earlierAcceptedKey(id job.ID) string {
	return acceptedPrefix + string(id)
}

// cancelledValue is the value of a cancellation by a caller without a workspace. The value of others is
// the workspace's name.
const cancelledValue = "1"

// CancelledKey returns the key of a job's cancellation by a workspace, or by a caller without one.
func CancelledKey(id job.ID, by workspace.Name) string {
	return cancelledPrefix + string(id) + workspaceInKey(by)
}

// Cancellation returns the record of a job's cancellation.
func Cancellation(id job.ID, by workspace.Name) store.Record {
	return store.Record{Key: CancelledKey(id, by), Value: []byte(cmp.Or(string(by), cancelledValue))}
}

// parseCancellation returns what a cancelled record holds, and false for other records.
func parseCancellation(r store.Record) (scheduling.Cancellation, bool) {
	rest, ok := strings.CutPrefix(r.Key, cancelledPrefix)
	if !ok {
		return scheduling.Cancellation{}, false
	}
	id, _, hasWorkspace := strings.Cut(rest, workspaceSeparator)
	c := scheduling.Cancellation{Job: job.ID(id)}
	if hasWorkspace {
		c.Workspace = workspace.Name(r.Value)
	}
	return c, true
}

// isAccepted reports whether a record is that of an accepted job.
func isAccepted(r store.Record) bool {
	return strings.HasPrefix(r.Key, acceptedPrefix)
}

func metricLabel(name, value string) metric.Label {
	return metric.Label{Name: name, Value: value}
}
