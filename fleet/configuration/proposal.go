package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/rotisserie/eris"
)

// KindProposal is the kind of a record whose body is a Change that takes effect
// only when another owner publishes a change of the same content.
const KindProposal journal.Kind = "Configuration.Proposal"

// MaxProposals is the maximum number of pending proposals per owner. A further
// proposal replaces the oldest of the same owner.
const MaxProposals = 8

// Proposal is a change that one owner has approved and that still needs the approval
// of others.
type Proposal struct {
	Owner inventory.OwnerID
	By    inventory.OperatorID
	// Offset is the offset of the proposal's record.
	Offset journal.Offset
	// Digest identifies the content of the change, without its base version and
	// comment.
	Digest string
	Change Change
}

// ContentDigest returns the hexadecimal SHA-256 digest of what the change sets and
// deletes.
func (c Change) ContentDigest() (string, error) {
	deleted := slices.Clone(c.Delete)
	SortKeys(deleted)
	b, err := json.Marshal(Change{Set: c.Set.WithDefaults(), Delete: deleted})
	if err != nil {
		return "", eris.Wrap(err, "encoding a change")
	}
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:]), nil
}

// addProposal returns the pending proposals with p added. It replaces one of the same
// owner and content, and drops the owner's oldest if the owner has MaxProposals.
func addProposal(pending []Proposal, p Proposal) []Proposal {
	pending = slices.DeleteFunc(slices.Clone(pending), func(w Proposal) bool {
		return w.Owner == p.Owner && w.Digest == p.Digest
	})
	count := 0
	for _, w := range pending {
		if w.Owner == p.Owner {
			count++
		}
	}
	if count >= MaxProposals {
		oldest := slices.IndexFunc(pending, func(w Proposal) bool { return w.Owner == p.Owner })
		pending = slices.Delete(pending, oldest, oldest+1)
	}
	return append(pending, p)
}

// Approvals returns the owners with a pending proposal of that digest that is not
// stale, that is, none of its objects changed after its base version.
func (cfg Configuration) Approvals(pending []Proposal, digest string) []inventory.OwnerID {
	var owners []inventory.OwnerID
	for _, w := range pending {
		if w.Digest == digest && cfg.checkStale(w.Change) == nil {
			owners = append(owners, w.Owner)
		}
	}
	return owners
}
