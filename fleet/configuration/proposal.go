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

// KindProposal is the kind of records whose body is a Change that takes effect
// only once another owner publishes the same.
const KindProposal journal.Kind = "Configuration.Proposal"

// MaxProposals is how many proposals of one owner wait; a further one replaces
// the oldest of the same owner.
const MaxProposals = 8

// Proposal is one owner's agreement to a change that others must agree to.
type Proposal struct {
	Owner inventory.OwnerID
	By    inventory.OperatorID
	// Offset is that of the record that proposed it.
	Offset journal.Offset
	// Digest tells changes of the same content, whatever their base version and
	// comment.
	Digest string
	Change Change
}

// ContentDigest returns the SHA-256 digest of what the change sets and deletes,
// in hexadecimal.
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

// addProposal adds a proposal and drops the oldest of the same owner when it has
// MaxProposals already.
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

// Consents returns the owners that proposed the content of the digest and whose
// proposal is not stale: none of its objects changed after its base version.
func (cfg Configuration) Consents(pending []Proposal, digest string) []inventory.OwnerID {
	var owners []inventory.OwnerID
	for _, w := range pending {
		if w.Digest == digest && cfg.checkStale(w.Change) == nil {
			owners = append(owners, w.Owner)
		}
	}
	return owners
}
