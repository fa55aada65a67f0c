package state

import (
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/lease"
	"github.com/godwitcross/godwitcross/fleet/placement"
	"github.com/godwitcross/godwitcross/fleet/pool"
)

// BufferRules returns the buffering rule of each record kind for the time that the log is
// unavailable. Records of a kind that is not listed are kept in order until their writer
// abandons them.
func BufferRules() map[journal.Kind]journal.BufferRule {
	return map[journal.Kind]journal.BufferRule{
		// The operator is told immediately that nothing was published.
		configuration.KindChange:   journal.Refuse,
		configuration.KindProposal: journal.Refuse,
		// The lease term is counted from before the append, so a buffered claim would
		// use up its term while it waits.
		lease.KindClaim: journal.Refuse,
		// A renewal contains all information of the previous one.
		lease.KindRenew: journal.Coalesce,
		// The keeper decides anew when the log is available again; its earlier
		// decisions may no longer be valid.
		pool.KindGrant:    journal.Refuse,
		pool.KindReboot:   journal.Refuse,
		pool.KindHandOver: journal.Refuse,
		pool.KindAdmit:    journal.Refuse,
		pool.KindRelease:  journal.Refuse,
		pool.KindHealth:   journal.Refuse,
		pool.KindPass:     journal.Refuse,
		pool.KindFinish:   journal.Refuse,
		// An interrupted snapshot is written again from a newer state.
		journal.KindSnapshotChunk: journal.Refuse,
		journal.KindCheckpoint:    journal.Refuse,
		// The submitter is told immediately that no job was accepted.
		placement.KindSubmit: journal.Refuse,
		// Job placement is decided anew when the log is available again.
		placement.KindStart: journal.Refuse,
	}
}
