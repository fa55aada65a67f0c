package configuration

import (
	"encoding/json"
	"slices"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/rotisserie/eris"
)

// KindChange is the kind of a record whose body is a Change to apply.
const KindChange journal.Kind = "Configuration.Change"

// Reducer applies published changes to the current configuration.
type Reducer struct {
	// current is replaced by each accepted change and never modified in place.
	current Configuration
	// proposals are the changes that await the approval of other owners, oldest
	// first. The slice is never modified in place.
	proposals []Proposal
}

// NewReducer returns a reducer with an empty configuration.
func NewReducer() *Reducer {
	return &Reducer{}
}

// Current returns the current configuration. It is never modified in place.
func (r *Reducer) Current() Configuration {
	return r.current
}

// Proposals returns the changes that await the approval of other owners, oldest
// first. The slice is never modified in place.
func (r *Reducer) Proposals() []Proposal {
	return r.proposals
}

// Kinds returns the kinds of records that the reducer applies.
func (r *Reducer) Kinds() []journal.Kind {
	return []journal.Kind{KindChange, KindProposal}
}

// Reduce applies a change or stores a proposal. An error is the reason why the
// record is rejected.
func (r *Reducer) Reduce(e journal.Entry) error {
	c, err := journal.DecodeBody[Change](e.Record)
	if err != nil {
		return err
	}
	digest, err := c.ContentDigest()
	if err != nil {
		return err
	}
	// With a base version in the future, no change made until then would count as a
	// conflict.
	if c.Base > r.current.Version {
		return eris.Wrapf(ErrStale, "the base version %d is after version %d in force", c.Base, r.current.Version)
	}
	by := inventory.OperatorID(e.Record.By)
	if e.Record.Kind == KindProposal {
		return r.reduceProposal(e, c, by, digest)
	}
	if err := r.current.Authorize(by, c, r.current.Approvals(r.proposals, digest)); err != nil {
		return err
	}
	// Offsets start at 0, but version 0 is the empty configuration.
	next, err := r.current.Apply(c, Version(e.Offset)+1)
	if err != nil {
		return err
	}
	r.current = next
	r.proposals = slices.DeleteFunc(slices.Clone(r.proposals), func(p Proposal) bool { return p.Digest == digest })
	return nil
}

// reduceProposal stores the change as approved by the owner of its author.
func (r *Reducer) reduceProposal(e journal.Entry, c Change, by inventory.OperatorID, digest string) error {
	author, ok := r.current.Operators[by]
	if !ok {
		return eris.Wrapf(ErrNotAuthorized, "operator %q is not known", by)
	}
	if len(c.Touched()) == 0 {
		return ErrEmpty
	}
	if err := r.current.checkStale(c); err != nil {
		return err
	}
	r.proposals = addProposal(r.proposals, Proposal{Owner: author.Owner, By: by, Offset: e.Offset, Digest: digest, Change: c})
	return nil
}

// reducerState is the JSON form of a Reducer.
type reducerState struct {
	Current   Configuration
	Proposals []Proposal `json:",omitempty"`
}

// MarshalState encodes the configuration and the proposals.
func (r *Reducer) MarshalState() ([]byte, error) {
	return json.Marshal(reducerState{Current: r.current, Proposals: r.proposals})
}

// UnmarshalState replaces the configuration and the proposals with decoded ones.
func (r *Reducer) UnmarshalState(b []byte) error {
	var s reducerState
	if err := json.Unmarshal(b, &s); err != nil {
		return err
	}
	claims, err := newClaims(s.Current.Objects)
	if err != nil {
		return err
	}
	s.Current.claims = claims
	r.current, r.proposals = s.Current, s.Proposals
	return nil
}
