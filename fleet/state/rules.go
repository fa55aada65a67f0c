package state

import (
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/lease"
	"github.com/godwitcross/godwitcross/fleet/placement"
	"github.com/godwitcross/godwitcross/fleet/pool"
)

// Rules says what becomes of records of each kind while the log is away. A kind
// that is not listed is kept in order until its writer gives up.
func Rules() map[journal.Kind]journal.Rule {
	return map[journal.Kind]journal.Rule{
		// An operator learns at once that nothing was published.
		configuration.KindChange:   journal.Refuse,
		configuration.KindProposal: journal.Refuse,
		// The term of a claim counts from before the append, so a claim that
		// waits is worth nothing.
		lease.KindClaim: journal.Refuse,
		// A renewal says everything that the one before it said.
		lease.KindRenew: journal.Coalesce,
		// The keeper decides afresh once the log is back; what it decided before
		// may no longer be right.
		pool.KindGrant:    journal.Refuse,
		pool.KindReboot:   journal.Refuse,
		pool.KindHandOver: journal.Refuse,
		pool.KindAdmit:    journal.Refuse,
		pool.KindGiveBack: journal.Refuse,
		pool.KindHealth:   journal.Refuse,
		pool.KindPass:     journal.Refuse,
		pool.KindFinish:   journal.Refuse,
		// A snapshot that breaks off is written anew from a newer state.
		journal.KindSnapshotChunk: journal.Refuse,
		journal.KindCheckpoint:    journal.Refuse,
		// A submitter learns at once that no job was accepted.
		placement.KindSubmit: journal.Refuse,
		// Where a job starts is decided anew once the log is back.
		placement.KindStart: journal.Refuse,
	}
}
